package attendant

import (
	"runtime"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/policy/scaler"
	"golang.org/x/sys/unix"
)

// processorsInterval is the interval at which the number of processors is decided. A change stops all goroutines for some
// tens of microseconds.
const processorsInterval = 250 * time.Millisecond

// processors sets the number of processors that the runtime uses by the processor time that the process uses. Only tick
// uses it, after Build has set the limit. Without a limit, the number stays as it is.
type processors struct {
	limit int
	// used is the processor time of the process at the time at.
	used time.Duration
	at   time.Time
}

// init sets the number of the VM's cores. The runtime counts the processors of the host, and threads in excess of the VM's
// cores wait for each other. The node starts with all of them, since it starts with the most work.
func (p *processors) init(cores int) {
	p.limit = cores
	runtime.GOMAXPROCS(cores)
}

// tick decides the number of processors, at most once per interval.
func (p *processors) tick(now time.Time) {
	span := now.Sub(p.at)
	if p.limit <= 1 || span < processorsInterval {
		return
	}
	var usage unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &usage) != nil {
		return
	}
	used := time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	if !p.at.IsZero() {
		current := runtime.GOMAXPROCS(0)
		if next := scaler.Processors(current, p.limit, (used-p.used).Seconds()/span.Seconds()); next != current {
			runtime.GOMAXPROCS(next)
		}
	}
	p.used, p.at = used, now
}
