package reporter

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
	"github.com/plantainwheel/plantainwheel/internal/fleet/tracker"
)

// kindNames are the names of the kinds in metrics. Kinds without a name are counted as "other".
var kindNames = map[byte]string{
	kindDirect: "report", kindRelay: "report-to-relay", kindUsage: "usage", kindUsageRelay: "usage-to-relay",
	kindBatch: "batch", kindCrashes: "crashes", 6: "demand", 7: "data-centre-demand",
}

// traffic is a class of datagrams. far is set for those to other data centres.
type traffic struct {
	kind byte
	far  bool
}

type sentCounters struct{ datagrams, bytes *metrics.Counter }

// count counts a datagram that is sent. The bytes are those of the datagram without the headers of the network.
func (r *Reporter) count(raw []byte, to tracker.Member) {
	if r.Metrics == nil || len(raw) == 0 {
		return
	}
	class := traffic{kind: raw[0], far: to.DataCentre != r.Tracker.DataCentre}
	c := r.sent[class]
	if c == nil {
		kind, ok := kindNames[class.kind]
		if !ok {
			kind = "other"
		}
		scope := "same"
		if class.far {
			scope = "other"
		}
		c = &sentCounters{
			datagrams: r.Metrics.GetOrCreateCounter(fmt.Sprintf("peer_datagrams_sent_total{kind=%q,scope=%q}", kind, scope)),
			bytes:     r.Metrics.GetOrCreateCounter(fmt.Sprintf("peer_bytes_sent_total{kind=%q,scope=%q}", kind, scope)),
		}
		if r.sent == nil {
			r.sent = map[traffic]*sentCounters{}
		}
		r.sent[class] = c
	}
	c.datagrams.Inc()
	c.bytes.Add(len(raw))
}
