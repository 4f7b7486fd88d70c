package loader

import (
	"encoding/json"
	"fmt"
	"time"
)

// Duration is a duration that is written as text in settings, such as "250ms".
type Duration struct{ time.Duration }

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return fmt.Errorf("duration, allowed: text such as \"250ms\"")
	}
	v, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("duration %q, allowed: text such as \"250ms\"", text)
	}
	d.Duration = v
	return nil
}

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(d.String()) }

// Settings are the configuration of one node.
type Settings struct {
	// VM is the name of the VM that the node runs on.
	VM string `json:"vm" validate:"kebab"`
	// DataCentre is the name of the VM's data centre.
	DataCentre string `json:"data-centre" validate:"kebab"`
	// CallerListen is the listen address for requests from callers.
	CallerListen string `json:"caller-listen" validate:"address"`
	// TargetListen is the loopback listen address for the target beside the node.
	TargetListen string `json:"target-listen" validate:"loopback"`
	// PeerListen is the listen address for other nodes. It is also the address under which they reach this node.
	PeerListen string `json:"peer-listen" validate:"address"`
	// OperatorListen is the listen address of the operator API.
	OperatorListen string `json:"operator-listen" validate:"address"`
	// MetricsListen is the listen address for metrics.
	MetricsListen string `json:"metrics-listen" validate:"address"`
	// PlatformURL is the URL of the platform's log service.
	PlatformURL string `json:"platform-url" validate:"url"`
	// Stream is the name of the stream in the log service.
	Stream string `json:"stream" validate:"kebab"`
	// Seeds are addresses of nodes from which to fetch the state while the platform is down.
	Seeds []string `json:"seeds" validate:"dive,address"`
	// FleetToken is the shared credential for requests between nodes, at least 16 characters.
	FleetToken string `json:"fleet-token" validate:"omitempty,min=16"`
	// OperatorToken is the credential of operators, at least 16 characters.
	OperatorToken string `json:"operator-token" validate:"omitempty,min=16"`
	// TLS enables mutual TLS between nodes.
	TLS *TLS `json:"tls"`
	// LogLevel is the minimum severity that is logged.
	LogLevel string `json:"log-level" validate:"oneof=debug info warn error"`
	// OverloadControl enables admission control, load-aware routing, rate limits and retry limits.
	OverloadControl bool `json:"control"`
	// ConfirmationTTL is how long evidence that the node's state is up to date remains valid.
	ConfirmationTTL Duration `json:"confirmation" validate:"span=100ms 1m"`
	// ExchangeEvery is the interval between gossip exchanges with other nodes.
	ExchangeEvery Duration `json:"exchange-every" validate:"span=10ms 10s"`
	// SuspectAfter is how long a node may be silent before it is fenced.
	SuspectAfter Duration `json:"suspect-after" validate:"span=200ms 10m"`
	// SnapshotEvery is the interval between snapshots in the stream.
	SnapshotEvery Duration `json:"snapshot-every" validate:"span=100ms 24h"`
	// Retention is how long request IDs are kept for deduplication.
	Retention Duration `json:"retention" validate:"span=1s 24h"`
	// DrainTimeout limits the duration of a graceful shutdown.
	DrainTimeout Duration `json:"drain-within" validate:"span=100ms 10m"`
	// RetryBudget is the maximum number of retries of a request, including those of its child calls.
	RetryBudget int `json:"retries" validate:"min=0,max=100"`
	// MaxBodyBytes limits the size of request and response bodies.
	MaxBodyBytes int64 `json:"max-body-bytes" validate:"min=1,max=67108864"`
	// Witnesses is the number of witness nodes. A majority of them must confirm a change.
	Witnesses int `json:"witnesses" validate:"min=1,max=15"`
}

// TLS are the paths of a node's certificate and key, and of the CA certificate of the fleet.
type TLS struct {
	CertFile string `json:"cert-file" validate:"required,file"`
	KeyFile  string `json:"key-file" validate:"required,file"`
	CAFile   string `json:"ca-file" validate:"required,file"`
}

// Default returns the default settings, which suit a single node on loopback addresses.
func Default() Settings {
	return Settings{
		VM:              "vm-1",
		DataCentre:      "dc-1",
		CallerListen:    "127.0.0.1:7400",
		TargetListen:    "127.0.0.1:7401",
		PeerListen:      "127.0.0.1:7402",
		OperatorListen:  "127.0.0.1:7403",
		MetricsListen:   "127.0.0.1:7404",
		PlatformURL:     "http://127.0.0.1:7500",
		Stream:          "plantainwheel",
		LogLevel:        "info",
		OverloadControl: true,
		ConfirmationTTL: Duration{3 * time.Second},
		ExchangeEvery:   Duration{time.Second},
		SuspectAfter:    Duration{4 * time.Second},
		SnapshotEvery:   Duration{time.Minute},
		Retention:       Duration{10 * time.Minute},
		DrainTimeout:    Duration{10 * time.Second},
		RetryBudget:     3,
		MaxBodyBytes:    1 << 20,
		Witnesses:       7,
	}
}
