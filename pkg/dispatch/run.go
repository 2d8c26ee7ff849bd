package dispatch

import (
	"context"
	"errors"
	"time"

	"radishturn.example/radishturn/pkg/events"
	"radishturn.example/radishturn/pkg/pool"
)

// Run opens connections before they are needed, takes over the latest view and
// reports evidence at a fixed interval. It returns when ctx is done.
func (e *Engine) Run(ctx context.Context) error {
	go e.pauses.Run(ctx)
	// After a start, the other instances must be known before the targets can be
	// divided among them.
	if !e.awaitInstances(ctx) {
		return nil
	}
	preconnect := time.NewTicker(e.preconnectInterval())
	defer preconnect.Stop()
	refresh := time.NewTicker(refreshInterval)
	defer refresh.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-refresh.C:
			e.registryState()
			e.reportCosts()
			e.refreshMoves()
			preconnect.Reset(e.preconnectInterval())
		case <-preconnect.C:
			e.preconnectOne()
		}
	}
}

// startDelay is how long Run does nothing after the start, unless a view shows that the
// fleet has restarted: its instances are recorded then. startPoll is how often it checks.
const (
	startDelay = time.Second
	startPoll  = 20 * time.Millisecond
)

// awaitInstances waits until the other instances are known. It returns false if ctx is done
// before.
func (e *Engine) awaitInstances(ctx context.Context) bool {
	for until := time.Now().Add(startDelay); time.Now().Before(until); {
		if current := e.current(); current.ready() && current.restarted(time.Now()) {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(startPoll):
		}
	}
	return true
}

// refreshInterval is how often the latest view is taken over, also without requests,
// and how often request costs are reported.
const refreshInterval = 200 * time.Millisecond

func (e *Engine) preconnectOne() {
	select {
	case t := <-e.registry.preconnects:
		go func() {
			switch err := t.pool.Preconnect(); {
			case errors.Is(err, pool.ErrNoCapacity):
				e.preconnectAgain(t)
			case err != nil:
				events.Emit(events.PreconnectFailed, t.ID, err)
			}
		}()
	default:
	}
}
