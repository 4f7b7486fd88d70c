package launcher_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/load/generator"
	"github.com/plantainwheel/plantainwheel/internal/setting/loader"
	"gotest.tools/v3/assert"
)

// writePEM writes one block to a file and returns its path.
func writePEM(t *testing.T, dir, name, kind string, data []byte) string {
	path := filepath.Join(dir, name)
	assert.NilError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data}), 0o600))
	return path
}

// writeCertificate writes a self-signed certificate for the addresses. The same file serves as the CA file.
func writeCertificate(t *testing.T, addresses ...string) *loader.TLS {
	dir := t.TempDir()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	cert := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "fleet"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		KeyUsage:    x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	for _, a := range addresses {
		cert.IPAddresses = append(cert.IPAddresses, net.ParseIP(a))
	}
	der, err := x509.CreateCertificate(rand.Reader, cert, cert, &key.PublicKey, key)
	assert.NilError(t, err)
	private, err := x509.MarshalECPrivateKey(key)
	assert.NilError(t, err)
	path := writePEM(t, dir, "cert.pem", "CERTIFICATE", der)
	return &loader.TLS{CertFile: path, CAFile: path, KeyFile: writePEM(t, dir, "key.pem", "EC PRIVATE KEY", private)}
}

// TestMutualTLS checks that a fleet serves requests when its nodes use mutual TLS between each other, and
// that the peer port rejects a client without a certificate.
func TestMutualTLS(t *testing.T) {
	p := prefix(20)
	tlsFiles := writeCertificate(t, p+".1", p+".2", p+".3")
	fleet := startFleet(t, 20, 3, time.Millisecond, func(cfg *loader.Settings) { cfg.TLS = tlsFiles })
	g := &generator.Generator{Client: generator.NewClient(10), Plan: generator.Plan{
		Entries:  fleet.CallerURLs(),
		Duration: loader.Duration{Duration: 500 * time.Millisecond},
		Phases:   []generator.Phase{{Rate: 100}},
		Classes:  []generator.Class{{Name: "r", Method: http.MethodGet, Path: "/r", Share: 1, Timeout: loader.Duration{Duration: 2 * time.Second}}},
	}}
	results, err := g.Run(context.Background())
	assert.NilError(t, err)
	for _, r := range results {
		assert.Assert(t, r.Good, "%+v", r)
	}
	uncertified := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}}
	_, err = uncertified.Get("https://" + p + ".1:7402/")
	assert.ErrorContains(t, err, "certificate required")
}

// TestPlannedStop checks that every request succeeds, over real sockets, when one node of a fleet under load
// stops gracefully.
func TestPlannedStop(t *testing.T) {
	fleet := startFleet(t, 21, 4, 5*time.Millisecond, nil)
	g := &generator.Generator{Client: generator.NewClient(50), Plan: generator.Plan{
		Entries:  fleet.CallerURLs()[:3],
		Duration: loader.Duration{Duration: 4 * time.Second},
		Phases:   []generator.Phase{{Rate: 200}},
		Classes:  []generator.Class{{Name: "r", Method: http.MethodGet, Path: "/r", Share: 1, Timeout: loader.Duration{Duration: 2 * time.Second}}},
	}}
	stopped := make(chan error, 1)
	time.AfterFunc(time.Second, func() { stopped <- fleet.StopNode(fleet.VMs[3].Name) })
	results, err := g.Run(context.Background())
	assert.NilError(t, err)
	assert.NilError(t, <-stopped)
	for _, r := range results {
		assert.Assert(t, r.Good, "%+v", r)
	}
}
