package tracker

// evacuated returns the names of the evacuated data centres, or nil.
func (t *Tracker) evacuated() map[string]bool {
	if t.Evacuated == nil {
		return nil
	}
	return t.Evacuated()
}

// OnlyEvacuated reports whether targets of the service are in evacuated data centres and no other target of it accepts
// requests.
func (t *Tracker) OnlyEvacuated(service string) bool {
	evacuated := t.evacuated()
	if len(evacuated) == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	found := false
	for _, p := range t.peersOf(service) {
		switch {
		case p.State != Ready || t.statements[p.incarnation()].leaving:
		case !evacuated[p.DataCentre]:
			return false
		default:
			found = true
		}
	}
	return found
}
