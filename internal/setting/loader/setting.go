package loader

import (
	"encoding/json"
	"fmt"
	"time"
)

// Duration is a time span that settings write as text, such as "250ms".
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

// Settings configure one node.
type Settings struct {
	// VM names the VM that the node runs on.
	VM string `json:"vm" validate:"kebab"`
	// DataCentre names the data centre of the VM.
	DataCentre string `json:"data-centre" validate:"kebab"`
	// CallerListen is the address for callers.
	CallerListen string `json:"caller-listen" validate:"address"`
	// TargetListen is the loopback address for the target beside the node.
	TargetListen string `json:"target-listen" validate:"loopback"`
	// PeerListen is the address for other nodes; they reach the node by it.
	PeerListen string `json:"peer-listen" validate:"address"`
	// OperatorListen is the address for operators.
	OperatorListen string `json:"operator-listen" validate:"address"`
	// MetricsListen is the address for metrics.
	MetricsListen string `json:"metrics-listen" validate:"address"`
	// PlatformURL is the address of the platform's log service.
	PlatformURL string `json:"platform-url" validate:"url"`
	// Stream names the stream in the log service.
	Stream string `json:"stream" validate:"kebab"`
	// Seeds are peer addresses to ask for the state when the platform is down.
	Seeds []string `json:"seeds" validate:"dive,address"`
	// FleetToken is the credential that nodes show to each other, at least 16 characters.
	FleetToken string `json:"fleet-token" validate:"omitempty,min=16"`
	// OperatorToken is the credential of operators, at least 16 characters.
	OperatorToken string `json:"operator-token" validate:"omitempty,min=16"`
	// TLS turns on mutual TLS between nodes.
	TLS *TLS `json:"tls"`
	// LogLevel is the least severity that is logged.
	LogLevel string `json:"log-level" validate:"oneof=debug info warn error"`
	// Control turns admission, routing by load, rates and retry limits on.
	Control bool `json:"control"`
	// Confirmation is how long evidence of a recent fold lasts.
	Confirmation Duration `json:"confirmation" validate:"span=100ms 1m"`
	// ExchangeEvery is the time between exchanges with peers.
	ExchangeEvery Duration `json:"exchange-every" validate:"span=10ms 10s"`
	// SuspectAfter is the silence after which a node is fenced.
	SuspectAfter Duration `json:"suspect-after" validate:"span=200ms 10m"`
	// SnapshotEvery is the time between snapshots in the stream.
	SnapshotEvery Duration `json:"snapshot-every" validate:"span=100ms 24h"`
	// Retention is how long request ids are remembered.
	Retention Duration `json:"retention" validate:"span=1s 24h"`
	// DrainWithin bounds a graceful stop.
	DrainWithin Duration `json:"drain-within" validate:"span=100ms 10m"`
	// Retries is the number of retries of a whole request.
	Retries int `json:"retries" validate:"min=0,max=100"`
	// MaxBodyBytes bounds request and answer bodies.
	MaxBodyBytes int64 `json:"max-body-bytes" validate:"min=1,max=67108864"`
	// Witnesses is the number of nodes whose majority confirms a change.
	Witnesses int `json:"witnesses" validate:"min=1,max=15"`
}

// TLS names the files of a node's certificate and of the authority that signs the fleet's.
type TLS struct {
	CertFile string `json:"cert-file" validate:"required,file"`
	KeyFile  string `json:"key-file" validate:"required,file"`
	CAFile   string `json:"ca-file" validate:"required,file"`
}

// Default returns settings that run a single node on loopback.
func Default() Settings {
	return Settings{
		VM:             "vm-1",
		DataCentre:     "dc-1",
		CallerListen:   "127.0.0.1:7400",
		TargetListen:   "127.0.0.1:7401",
		PeerListen:     "127.0.0.1:7402",
		OperatorListen: "127.0.0.1:7403",
		MetricsListen:  "127.0.0.1:7404",
		PlatformURL:    "http://127.0.0.1:7500",
		Stream:         "plantainwheel",
		LogLevel:       "info",
		Control:        true,
		Confirmation:   Duration{3 * time.Second},
		ExchangeEvery:  Duration{time.Second},
		SuspectAfter:   Duration{4 * time.Second},
		SnapshotEvery:  Duration{time.Minute},
		Retention:      Duration{10 * time.Minute},
		DrainWithin:    Duration{10 * time.Second},
		Retries:        3,
		MaxBodyBytes:   1 << 20,
		Witnesses:      7,
	}
}
