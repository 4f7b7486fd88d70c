package reducer

import (
	"encoding/json"
	"errors"
	"fmt"
)

// ErrMalformed reports a record that cannot be decoded, has no ID or does not have exactly one operation.
var ErrMalformed = errors.New("malformed record")

// Record is one entry of the fleet's stream. Exactly one operation is set.
type Record struct {
	// ID makes the record idempotent: a second record with the same ID is ignored.
	ID        string     `json:"id"`
	Change    *Change    `json:"change,omitempty"`
	Join      *Join      `json:"join,omitempty"`
	Leave     *Leave     `json:"leave,omitempty"`
	Fence     *Fence     `json:"fence,omitempty"`
	Transfer  *Transfer  `json:"transfer,omitempty"`
	Witnesses *Witnesses `json:"witnesses,omitempty"`
	Snapshot  *Snapshot  `json:"snapshot,omitempty"`
}

// Change puts or deletes one declared resource.
type Change struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Base is the resource version that the change is based on; 0 means that the resource must not exist.
	Base   int64           `json:"base"`
	Delete bool            `json:"delete,omitempty"`
	Spec   json.RawMessage `json:"spec,omitempty"`
}

// Join adds a node to the membership and removes earlier incarnations on the same VM.
type Join struct {
	Member Member `json:"member"`
}

// Leave removes a node that has already stopped granting IDs and lending tokens.
type Leave struct {
	Member string `json:"member"`
	// Successor is the member that took over the node's grant table; empty if none did.
	Successor string `json:"successor,omitempty"`
	// LoanMS is how long the node's loans may last after this record, in milliseconds; 0 means their full
	// lifetime.
	LoanMS int64 `json:"loan-ms,omitempty"`
}

// Fence removes a node that is presumed dead but may still be running.
type Fence struct {
	Member string `json:"member"`
	// Ended reports whether an operator has confirmed that the VM has stopped for good.
	Ended bool `json:"ended,omitempty"`
}

// Transfer moves rate slots from a holder that has already stopped lending from them.
type Transfer struct {
	From  string `json:"from"`
	Moves []Move `json:"moves"`
	// LoanMS is how long loans from the slots may last after this record, in milliseconds; 0 means their
	// full lifetime.
	LoanMS int64 `json:"loan-ms,omitempty"`
}

// Move assigns slots to a member.
type Move struct {
	To    string `json:"to"`
	Slots []int  `json:"slots"`
}

// Slots lists all slots that the transfer moves.
func (t Transfer) Slots() []int {
	var list []int
	for _, m := range t.Moves {
		list = append(list, m.Slots...)
	}
	return list
}

// Witnesses replaces the set of members whose majority confirms that a node's state is recent.
type Witnesses struct {
	// Base is the offset of the record that set the witness set to be replaced.
	Base    int64    `json:"base"`
	Members []string `json:"members"`
}

// Snapshot is the state as of an offset. It allows older records to expire.
type Snapshot struct {
	AsOf  int64           `json:"as-of"`
	State json.RawMessage `json:"state"`
}

// Decode parses a record and checks that it has an ID and exactly one operation.
func Decode(data []byte) (Record, error) {
	var rec Record
	if err := json.Unmarshal(data, &rec); err != nil {
		return Record{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if n := rec.operations(); n != 1 {
		return Record{}, fmt.Errorf("%w: %d operations, want 1", ErrMalformed, n)
	}
	if rec.ID == "" {
		return Record{}, fmt.Errorf("%w: no id", ErrMalformed)
	}
	return rec, nil
}

// Encode serializes a record.
func Encode(rec Record) ([]byte, error) {
	data, err := json.Marshal(rec)
	if err != nil {
		return nil, fmt.Errorf("encode record: %w", err)
	}
	return data, nil
}

func (r Record) operations() int {
	set := []bool{
		r.Change != nil, r.Join != nil, r.Leave != nil, r.Fence != nil,
		r.Transfer != nil, r.Witnesses != nil, r.Snapshot != nil,
	}
	n := 0
	for _, ok := range set {
		if ok {
			n++
		}
	}
	return n
}
