// Package waiter pauses until a time has passed or a context ends.
package waiter

import (
	"context"
	"time"
)

// Sleep pauses for a span. It says whether the span has passed before ctx ended.
func Sleep(ctx context.Context, span time.Duration) bool {
	if span <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(span)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// Every runs a step at once and then once per span, until ctx ends.
func Every(ctx context.Context, span time.Duration, step func(context.Context)) {
	tick := time.NewTicker(span)
	defer tick.Stop()
	for {
		step(ctx)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}
