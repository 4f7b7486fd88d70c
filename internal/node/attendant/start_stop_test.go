package attendant_test

import "testing"

// TestStopRightAfterStart guards against a node that stops while its tasks are still starting. It needs the race detector.
func TestStopRightAfterStart(t *testing.T) {
	f := newFleet(t, 1)
	for range 30 {
		f.restart(0)
	}
}
