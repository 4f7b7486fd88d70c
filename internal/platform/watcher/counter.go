package watcher

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/plantainwheel/plantainwheel/platform"
)

// CountingStore counts the calls of a store by kind and topic, because each of them is paid for.
type CountingStore struct {
	Store   Store
	Metrics *metrics.Set
}

func (s *CountingStore) count(kind, topic string) {
	s.Metrics.GetOrCreateCounter(`store_calls_total{kind="` + kind + `",topic="` + topic + `"}`).Inc()
}

// Put implements Store.
func (s *CountingStore) Put(ctx context.Context, topic, key string, value []byte) (platform.Era, error) {
	s.count("put", topic)
	return s.Store.Put(ctx, topic, key, value)
}

// Read implements Store.
func (s *CountingStore) Read(ctx context.Context, topic string, from int64, wait time.Duration) (platform.Batch, error) {
	s.count("read", topic)
	return s.Store.Read(ctx, topic, from, wait)
}

// Newest implements Store.
func (s *CountingStore) Newest(ctx context.Context, topic string) (platform.Batch, error) {
	s.count("newest", topic)
	return s.Store.Newest(ctx, topic)
}
