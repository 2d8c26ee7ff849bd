package lease

import (
	"maps"
	"slices"
	"time"

	"radishturn.example/radishturn/pkg/events"
	"radishturn.example/radishturn/pkg/view"
)

// announceChanges writes what an instance that follows the leader believes anew.
func announceChanges(old, next *view.View) {
	if version := next.Routing.Version(); version != old.Routing.Version() {
		table := next.Routing.Table
		events.Emit(events.TableInForce, version, old.Routing.Version(), len(table.Routes), len(table.Services))
	}
	if !maps.Equal(old.Evacuated, next.Evacuated) {
		events.Emit(events.ZonesEvacuated, slices.Sorted(maps.Keys(next.Evacuated)))
	}
}

// contact notices when control cannot be reached for longer than a lease.
type contact struct {
	// renewed is when a renewal last succeeded, or when the instance started.
	renewed time.Duration
	lost    bool
}

// failed takes in a failed renewal. It returns how long none has succeeded, and
// true when that first exceeds the limit.
func (c *contact) failed(now, limit time.Duration) (time.Duration, bool) {
	silence := now - c.renewed
	if c.lost || silence < limit {
		return silence, false
	}
	c.lost = true
	return silence, true
}

func (c *contact) succeeded(now time.Duration) { c.renewed, c.lost = now, false }
