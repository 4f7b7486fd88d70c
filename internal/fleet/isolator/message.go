package isolator

import (
	"time"

	"github.com/plantainwheel/plantainwheel/internal/policy/quarantiner"
)

//go:generate msgp -file message.go -o message_gen.go -io=false -tests=false -unexported

//msgp:tuple message crashRecord
//msgp:limit arrays:4096 maps:10

// message is what a node tells others of crashes. It is encoded as a list of its fields in this order.
type message struct {
	Node string
	// Digest is that of all crashes that the node knows.
	Digest uint64
	// Reply is set in the reply to a message with another digest.
	Reply   bool
	Crashes []crashRecord `msg:",allownil"`
}

// crashRecord is a crash and the requests that had begun at the target. The age bounds how long a crash counts, so that it
// does not depend on the clocks of VMs.
type crashRecord struct {
	ID      string
	Node    string
	Service string
	Version string
	AgeMs   int64
	// Suspects and Cleared hold signatures, one after the other.
	Suspects []byte `msg:",allownil"`
	Cleared  []byte `msg:",allownil"`
}

const (
	// maxIDBytes bounds the identifiers in a record, and maxAge its age.
	maxIDBytes = 256
	maxAge     = 24 * time.Hour
)

// newRecord returns the record of a crash.
func newRecord(now time.Duration, c *quarantiner.Crash) crashRecord {
	r := crashRecord{ID: c.ID, Node: c.Node, Service: c.Service, Version: c.Version, AgeMs: (now - c.At).Milliseconds()}
	for _, v := range c.Suspects {
		if v.Cleared {
			r.Cleared = append(r.Cleared, v.Signature[:]...)
		} else {
			r.Suspects = append(r.Suspects, v.Signature[:]...)
		}
	}
	return r
}

// crash returns the crash of a record, or false if the record is not valid.
func (r *crashRecord) crash(now time.Duration) (quarantiner.Crash, bool) {
	size := len(quarantiner.Signature{})
	age := time.Duration(r.AgeMs) * time.Millisecond
	valid := r.ID != "" && len(r.ID) <= maxIDBytes && len(r.Node) <= maxIDBytes && len(r.Service) <= maxIDBytes && len(r.Version) <= maxIDBytes &&
		r.AgeMs >= 0 && r.AgeMs <= maxAge.Milliseconds() &&
		len(r.Suspects)%size == 0 && len(r.Cleared)%size == 0 && len(r.Suspects)+len(r.Cleared) <= size*quarantiner.MaxSuspects
	if !valid {
		return quarantiner.Crash{}, false
	}
	c := quarantiner.Crash{Incarnation: quarantiner.Incarnation{ID: r.ID, Service: r.Service, Version: r.Version}, Node: r.Node, At: now - age}
	for cleared, list := range map[bool][]byte{false: r.Suspects, true: r.Cleared} {
		for ; len(list) > 0; list = list[size:] {
			c.Suspects = append(c.Suspects, quarantiner.Verdict{Signature: quarantiner.Signature(list[:size]), Cleared: cleared})
		}
	}
	return c, true
}
