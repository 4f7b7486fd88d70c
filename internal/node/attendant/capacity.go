package attendant

import (
	"fmt"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/plantainwheel/plantainwheel/internal/node/acceptor"
	"github.com/plantainwheel/plantainwheel/internal/peer/forwarder"
	"golang.org/x/sys/unix"
)

const (
	// defaultMemoryMB is the memory that a node without a known limit shares among its clients.
	defaultMemoryMB = 256
	// fileDescriptors is the number of descriptors that are left for files.
	fileDescriptors = 200
	// hopBytes is what the nodes add to the header of a request that they forward.
	hopBytes = 4 << 10
	// reasonNoMemory means that the requests in progress take up the node's memory.
	reasonNoMemory = "no-memory"
	// acceptorLinesPerSecond limits the log lines on connections that are closed and requests that are refused for their sake.
	acceptorLinesPerSecond = 2
)

// share is the part of a VM's capacity that the clients of a server may take up. What all servers leave of the descriptors is
// for the target, the other nodes and the store.
type share struct {
	descriptors float64
	// unread is the share of the memory for bytes that the kernel has received and the server has not read, requests that for
	// requests in progress.
	unread, requests float64
	// receiveBytes is the maximum size of the kernel's receive buffer of a connection.
	receiveBytes int
}

// minReceiveBytes is the minimum size of the kernel's receive buffer of a connection. On a VM with little memory there are fewer
// connections instead.
const minReceiveBytes = 16 << 10

var (
	callerShare  = share{descriptors: 0.32, unread: 0.2, requests: 0.11, receiveBytes: 64 << 10}
	peerShare    = share{descriptors: 0.28, unread: 0.2, requests: 0.09, receiveBytes: 64 << 10}
	controlShare = share{descriptors: 0.05, unread: 0.02, requests: 0.02, receiveBytes: 16 << 10}
	// smallShare is for servers that the platform and the target call a few times in a second.
	smallShare = share{descriptors: 0.02, unread: 0.01, requests: 0.01, receiveBytes: 16 << 10}
)

// apply sets the bounds of a server on a VM with the given number of descriptors and memory in MiB.
func (s *share) apply(srv *server, descriptors, memoryMB int) {
	memory := float64(memoryMB) * (1 << 20)
	conns := max(s.descriptors*float64(descriptors-fileDescriptors), 1)
	receiveBytes := min(max(s.unread*memory/conns, minReceiveBytes), float64(s.receiveBytes))
	srv.receiveBytes = int(receiveBytes)
	srv.acceptor.MaxConns = max(int(min(conns, s.unread*memory/receiveBytes)), 1)
	srv.acceptor.MaxBytes = int64(s.requests * memory)
}

// descriptors returns the number of file descriptors that the process may open.
func (a *Attendant) descriptors() int {
	n := a.Settings.MaxFDs
	var files unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &files); err == nil && (n == 0 || files.Cur < uint64(n)) {
		n = int(min(files.Cur, 1<<20))
	}
	return n
}

// boundServer bounds what the clients of a server may take up, and counts what it refuses.
func (a *Attendant) boundServer(s *server, part share) *server {
	memoryMB := a.Settings.MemoryMB
	if memoryMB == 0 {
		memoryMB = defaultMemoryMB
	}
	part.apply(s, a.descriptors(), memoryMB)
	counters := map[acceptor.Reason]*metrics.Counter{}
	for _, reason := range acceptor.Reasons {
		counters[reason] = a.Metrics.NewCounter(fmt.Sprintf("server_refusals_total{server=%q,reason=%q}", s.name, string(reason)))
	}
	s.acceptor.OnRefuse = func(reason acceptor.Reason) {
		counters[reason].Inc()
		if reason == acceptor.IdleTimeout {
			return
		}
		ok, dropped := a.acceptorLogLimiter.Allow(time.Now())
		if ok {
			a.Log.Warn().Str("server", s.name).Str("reason", string(reason)).Int("lines-left-out", dropped).Msg("client refused or disconnected")
		}
	}
	return s
}

// callerLimits returns the operator's limits, or the defaults for those that are not known.
func (a *Attendant) callerLimits() acceptor.Limits {
	limits := defaultLimits()
	table := a.keeper.Table()
	if table == nil {
		return limits
	}
	configured := &table.Config.Limits
	if configured.MaxHeaderBytes > 0 {
		limits.HeaderBytes = configured.MaxHeaderBytes
	}
	if configured.HeaderTimeout > 0 {
		limits.HeaderTimeout = configured.HeaderTimeout
	}
	if configured.IdleTimeout > 0 {
		limits.IdleTimeout = configured.IdleTimeout
	}
	return limits
}

// peerLimits returns the limits on requests of other nodes, which add to the headers of their clients' requests and keep idle
// connections for a time of their own.
func (a *Attendant) peerLimits() acceptor.Limits {
	limits := a.callerLimits()
	limits.HeaderBytes += hopBytes
	limits.IdleTimeout = idleTimeout
	return limits
}

// refuseCaller answers a request of a client that has not run.
func (a *Attendant) refuseCaller(w http.ResponseWriter, r *http.Request) {
	a.gateway.RefuseUnread(w, r, reasonNoMemory)
}

// refusePeer answers a request of another node that has not run.
func refusePeer(w http.ResponseWriter, _ *http.Request) { forwarder.WriteRefusal(w, reasonNoMemory) }
