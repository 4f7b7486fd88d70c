package executor

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/plantainwheel/plantainwheel/internal/route/transporter"
	"golang.org/x/sys/unix"
)

const (
	// targetIdleTimeout is how long an idle connection to the target is kept open.
	targetIdleTimeout = 6 * time.Second
	// minConnections is the number of idle connections that are kept in any case.
	minConnections = 16
	// connectionBytes is the memory of an idle connection: two buffers of 4 KiB, the stacks of two goroutines, and the
	// kernel's socket. memoryShare is the share of the VM's memory for idle connections.
	connectionBytes = 32 << 10
	memoryShare     = 0.06
	// descriptorShare is the share of the file descriptors that idle connections to the target may use.
	descriptorShare = 0.25
)

// NewPool returns a pool of connections to the target, which counts the connections it opens.
func NewPool(set *metrics.Set) *transporter.Pool {
	opened := set.NewCounter("target_connections_opened_total")
	byReason := map[transporter.DialReason]*metrics.Counter{}
	for _, reason := range transporter.DialReasons {
		byReason[reason] = set.NewCounter(fmt.Sprintf("target_connections_opened_by_reason_total{reason=%q}", string(reason)))
	}
	return &transporter.Pool{IdleTimeout: targetIdleTimeout, FreshIdle: maxIdleNonIdempotent, OnDial: func(reason transporter.DialReason) {
		opened.Inc()
		byReason[reason].Inc()
	}}
}

// MaxConnections returns the maximum number of idle connections to a target, and the number of open ones above which an
// idle one is closed, or 0 if there is none. slots and maxConns are what the target and its service declare, and memoryMB
// is the memory of the VM in MiB; each is 0 if unknown.
func MaxConnections(slots, maxConns, memoryMB int) (idle, open int) {
	if slots <= 0 {
		return 0, maxConns
	}
	var files unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &files); err != nil {
		files.Cur = 1024
	}
	return maxConnections(slots, maxConns, memoryMB, files.Cur)
}

func maxConnections(slots, maxConns, memoryMB int, files uint64) (idle, open int) {
	// All slots may be taken by requests of the next moment. The queue keeps fewer running.
	idle = slots
	if maxConns > 0 {
		idle = min(idle, maxConns)
	}
	if memoryMB > 0 {
		idle = min(idle, max(int(memoryShare*float64(memoryMB)*(1<<20)/connectionBytes), minConnections))
	}
	if affordable := descriptorShare * float64(files); float64(idle) > affordable {
		idle = max(int(affordable), minConnections)
	}
	return idle, maxConns
}
