package watcher_test

import (
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/platform"
)

// TestReaderKilledWithEvacuation guards against an evacuation that does not reach the followers because the only node
// that has read the new record is killed before it has passed it on. 2.5 s is half of the print network's evacuate_ms.
func TestReaderKilledWithEvacuation(t *testing.T) {
	t.Parallel()
	d := startDataCentre(t, 12, true)
	d.confirmed()
	ranked := d.ranked()
	reader, others := ranked[0], ranked[1:]
	// The reader answers nobody any more, and reads the record.
	reader.fail(healthy, silent)
	d.store.Put(platform.ConfigTopic, platform.EvacuationKeyPrefix+"a", []byte("{}"))
	began := time.Now()
	evacuated := func(n *neighbour) bool { return n.evacuations.Evacuated()["a"] }
	d.allWithin(time.Second, "record read", ranked[:1], evacuated)
	reader.fail(refusing, refusing)
	d.allWithin(2500*time.Millisecond-time.Since(began), "evacuation in force", others, evacuated)
	t.Logf("in force after %s", time.Since(began))
	reader.fail(healthy, healthy)
	d.store.Put(platform.ConfigTopic, platform.EvacuationKeyPrefix+"a", nil)
	d.allWithin(5*time.Second, "evacuation lifted", d.nodes, func(n *neighbour) bool { return !evacuated(n) })
}
