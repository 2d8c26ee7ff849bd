package dispatch

import (
	"time"

	"radishturn.example/radishturn/pkg/events"
	"radishturn.example/radishturn/pkg/pool"
)

const (
	// minRestartedShare is the share of instances that have restarted uncleanly from which
	// on connections are scarce: below it, the connections of the processes before fit into
	// those that the fleet does not use (see usableConnectionShare).
	minRestartedShare = 0.1
	// startCaution is how long new connections wait for a reset after an instance has
	// learned that the fleet has restarted. Each reset prolongs it.
	startCaution = 2 * time.Second
	// restartPreconnectInterval is preconnectInterval after a restart of the fleet. 90
	// connections are opened within 0.4 s and take 6 ms of a target's slot each, which is
	// a tenth of what the targets can do in that time.
	restartPreconnectInterval = 4 * time.Millisecond
)

// restarted reports whether so many instances have restarted uncleanly that targets may
// count more connections of processes that have ended than the fleet leaves unused.
func (rs *registryState) restarted(now time.Time) bool {
	r := rs.view.Restarts
	return r.Share >= minRestartedShare && now.Before(r.Until) && rs.limited
}

// restrained reports whether this instance opens connections outside its subset only for
// want of others: the fleet has restarted, and targets may still be at their limits. The
// subsets of all instances together take half of what the targets accept.
func (e *Engine) restrained(current currentView, now time.Time) bool {
	return current.restarted(now) && e.registry.shared.ResetGuard.Active()
}

// prepareForResets makes new connections wait for a reset from the first view on which
// shows that the fleet has restarted.
func prepareForResets(guard *pool.ResetGuard, old, next *registryState, now time.Time) {
	if guard == nil || !next.restarted(now) || old.restarted(now) {
		return
	}
	guard.ExpectResets(startCaution)
	events.Emit(events.FleetRestarted, next.view.Restarts.Share, next.view.Restarts.Until.Sub(now).Milliseconds())
}

func (e *Engine) preconnectInterval() time.Duration {
	if e.current().restarted(time.Now()) {
		return restartPreconnectInterval
	}
	return preconnectInterval
}

// preconnectAgain queues a target that has accepted no connection for another attempt, after
// the pause that its reset has caused, while the fleet restarts.
func (e *Engine) preconnectAgain(t *target) {
	time.AfterFunc(t.pool.OpenPause(), func() {
		if e.current().restarted(time.Now()) {
			e.registry.requestPreconnect(t)
		}
	})
}
