package runner

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	stdlog "log"
	"os"

	"github.com/VictoriaMetrics/metrics"
	"github.com/plantainwheel/plantainwheel/internal/setting/loader"
)

// ErrCertificate reports that the configured files contain no usable certificate.
var ErrCertificate = errors.New("certificate is unusable")

// newTLS returns the configuration for mutual TLS between nodes, or nil if TLS is not configured. The
// certificate is reloaded for each connection, so that a renewed one takes effect immediately.
func newTLS(cfg loader.Settings) (*tls.Config, error) {
	if cfg.TLS == nil {
		return nil, nil
	}
	pem, err := os.ReadFile(cfg.TLS.CAFile)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCertificate, err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("%w: no certificate in %s", ErrCertificate, cfg.TLS.CAFile)
	}
	load := func() (*tls.Certificate, error) {
		cert, err := tls.LoadX509KeyPair(cfg.TLS.CertFile, cfg.TLS.KeyFile)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrCertificate, err)
		}
		return &cert, nil
	}
	if _, err := load(); err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:           tls.VersionTLS13,
		RootCAs:              pool,
		ClientCAs:            pool,
		ClientAuth:           tls.RequireAndVerifyClientCert,
		GetCertificate:       func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return load() },
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return load() },
	}, nil
}

// discardLogger returns a logger that discards the HTTP server's messages about broken connections.
func discardLogger() *stdlog.Logger { return stdlog.New(io.Discard, "", 0) }

func writeProcessMetrics(w io.Writer) { metrics.WriteProcessMetrics(w) }
