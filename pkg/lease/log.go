package lease

import (
	"maps"
	"slices"
	"time"

	"radishturn.example/radishturn/pkg/control/wire"
	"radishturn.example/radishturn/pkg/events"
	"radishturn.example/radishturn/pkg/routing"
	"radishturn.example/radishturn/pkg/view"
)

// logChanges logs a change of the routing table or of the evacuated zones, for an
// instance with configFromLeader. Version is the version of the replicated state that
// next is from.
func logChanges(old, next *view.View, version uint64) {
	if table := next.Routing.Version(); table != old.Routing.Version() {
		events.Emit(events.TableInForce, table, old.Routing.Version(), len(next.Routing.Table.Routes), len(next.Routing.Table.Services))
		logCallers(old.Routing, next.Routing)
	}
	if !maps.Equal(old.Evacuated, next.Evacuated) {
		events.Emit(events.ZonesEvacuated, slices.Sorted(maps.Keys(next.Evacuated)), version)
	}
}

// logCallers logs the accounts of a new table, if it has any or the old one had.
func logCallers(old, next *routing.Index) {
	if !next.NeedsKeys() && (old == nil || !old.NeedsKeys()) {
		return
	}
	keys := 0
	for i := range next.Table.Callers {
		keys += len(next.Table.Callers[i].Keys)
	}
	events.Emit(events.CallersInForce, next.Version(), len(next.Table.Callers), keys)
}

// logOlderState logs that a reply holds an older state than h, or a whole routing table
// that is older than the one held. The holder ignores what is older.
func logOlderState(r *wire.RenewalReply, h *holder) {
	d := r.Delta
	if d == nil {
		return
	}
	held := h.view.Routing.Version()
	table := held
	if d.Table != nil {
		table = d.Table.To
	}
	if d.To < h.configVersion || table < held {
		events.Emit(events.OlderStateIgnored, r.Leader, d.To, h.configVersion, table, held)
	}
}

// controlContact detects that control has been unreachable for longer than a lease.
type controlContact struct {
	// lastSuccess is when a renewal last succeeded, or when the instance started.
	lastSuccess time.Duration
	lost        bool
}

// recordFailure records a failed renewal. It returns the time since the last
// success, and true when that first exceeds the limit.
func (c *controlContact) recordFailure(now, limit time.Duration) (time.Duration, bool) {
	sinceSuccess := now - c.lastSuccess
	if c.lost || sinceSuccess < limit {
		return sinceSuccess, false
	}
	c.lost = true
	return sinceSuccess, true
}

func (c *controlContact) recordSuccess(now time.Duration) { c.lastSuccess, c.lost = now, false }
