package injector

import (
	"slices"
	"sync"
	"time"

	"github.com/plantainwheel/plantainwheel/platform"
)

// minEvacuationTime is added to the duration of an evacuation, which is checked only after the bound.
const minEvacuationTime = 6 * time.Second

// evacuations hold the data centres that the operator has evacuated at any time, and whether they are at present.
type evacuations struct {
	mu      sync.Mutex
	current map[string]bool
	// paused is set while the records may be lost together with all nodes.
	paused bool
}

// evacuate evacuates the data centre and lifts the evacuation after the given time, unless it is evacuated already.
func (inj *Injector) evacuate(dataCentre string, duration time.Duration) {
	e := &inj.evacuations
	e.mu.Lock()
	if e.current[dataCentre] {
		e.mu.Unlock()
		return
	}
	if e.current == nil {
		e.current = map[string]bool{}
	}
	e.current[dataCentre] = true
	inj.writeEvacuation(dataCentre)
	e.mu.Unlock()
	time.Sleep(minEvacuationTime + duration)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.current[dataCentre] = false
	inj.writeEvacuation(dataCentre)
}

// writeEvacuation writes the present state of a data centre. The caller holds the mutex of the evacuations.
func (inj *Injector) writeEvacuation(dataCentre string) {
	key := platform.EvacuationKeyPrefix + dataCentre
	if !inj.evacuations.current[dataCentre] {
		inj.Evacuated(dataCentre, false, time.Now())
		inj.Fleet.Store.Put(platform.ConfigTopic, key, nil)
		return
	}
	inj.Fleet.Store.Put(platform.ConfigTopic, key, []byte("{}"))
	if !inj.evacuations.paused {
		inj.Evacuated(dataCentre, true, time.Now())
	}
}

// pauseEvacuations records that evacuations need not be in force, because their records may be lost with all nodes that
// know of them.
func (inj *Injector) pauseEvacuations() {
	e := &inj.evacuations
	e.mu.Lock()
	defer e.mu.Unlock()
	e.paused = true
	for dataCentre := range e.current {
		inj.Evacuated(dataCentre, false, time.Now())
	}
}

// rewriteEvacuations writes the present state of all data centres again, because the store may have lost it.
func (inj *Injector) rewriteEvacuations() {
	e := &inj.evacuations
	e.mu.Lock()
	defer e.mu.Unlock()
	e.paused = false
	var names []string
	for dataCentre := range e.current {
		names = append(names, dataCentre)
	}
	slices.Sort(names)
	for _, dataCentre := range names {
		inj.writeEvacuation(dataCentre)
	}
}
