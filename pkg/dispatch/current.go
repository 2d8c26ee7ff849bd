package dispatch

import (
	"time"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/view"
)

// pinnedView is what a call keeps of the configuration from its arrival, however long it
// waits, besides its route with the services that it names: an answer is from the
// services of one configuration version.
type pinnedView struct {
	// tableVersion is the version of the routing table that was in force.
	tableVersion uint64
}

// currentView is the registry state in force at one moment: targets, availability zones,
// moves, quarantine, costs. A decision takes it as an argument.
//
// Invariant: nothing that outlives a decision holds one. What waits, for a reply, a
// timer, a place in a queue or a connection, reads it again afterwards.
type currentView struct{ *registryState }

// current returns the view in force now.
func (e *Engine) current() currentView { return currentView{e.registryState()} }

// moveOf returns the move of a service's traffic between versions that is in progress, if
// there is one.
func (v currentView) moveOf(s model.ServiceID) (view.Move, bool) {
	move, ok := v.view.Moves[moveKey(s)]
	return move, ok
}

// admits reports whether a target, chosen earlier, may still be sent a request: the same
// process is listed and not leaving, its availability zone is not evacuated, and it has
// not stated that it wants none.
func (v currentView) admits(t *target, now time.Duration) bool {
	listed := v.targets[t.ID]
	if listed == nil || listed.process != t.process || listed.Leaving || v.view.Evacuated[listed.AvailabilityZone] {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.wrongTarget && t.notice.allows(now)
}

// quarantines reports whether the request of a call is quarantined.
func (v currentView) quarantines(c *Call) bool {
	return len(v.view.Quarantined) > 0 && v.view.Quarantined[fingerprintOf(c.Request)]
}
