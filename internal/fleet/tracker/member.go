package tracker

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
)

// ErrMember is returned for a member record that cannot be used.
var ErrMember = errors.New("unusable member record")

// maxSlots bounds the slots of a target, whose sums over the fleet must stay exact.
const maxSlots = 1 << 20

// DecodeMember decodes the member record with the given key. Records may come from another writer: one that is malformed, or
// names an address, a state or a number that no node would write, is rejected as a whole.
func DecodeMember(key string, raw []byte) (Member, error) {
	var m Member
	if err := json.Unmarshal(raw, &m); err != nil {
		return Member{}, fmt.Errorf("%w: %w", ErrMember, err)
	}
	if err := m.check(key); err != nil {
		return Member{}, fmt.Errorf("%w: %w", ErrMember, err)
	}
	return m, nil
}

func (m *Member) check(key string) error {
	switch {
	case m.Node == "" || m.Node != key:
		return fmt.Errorf("node %q", m.Node)
	case m.Slots < 0 || m.Slots > maxSlots:
		return fmt.Errorf("%d slots", m.Slots)
	case m.StartedAtMs < 0:
		return fmt.Errorf("started at %d ms", m.StartedAtMs)
	case m.DepartedAtMs < 0:
		return fmt.Errorf("departed at %d ms", m.DepartedAtMs)
	}
	switch m.State {
	case Ready, Draining, Gone, Stopping, "":
	default:
		return fmt.Errorf("state %q", m.State)
	}
	for _, address := range []string{m.Address, m.ControlAddress, m.ReportAddress} {
		if err := checkAddress(address); err != nil {
			return err
		}
	}
	return nil
}

// checkAddress checks an "IPv4:port", which may be missing.
func checkAddress(address string) error {
	if address == "" {
		return nil
	}
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return err
	}
	if !a.Addr().Is4() || a.Addr().IsUnspecified() || a.Port() == 0 {
		return fmt.Errorf("address %q", address)
	}
	return nil
}
