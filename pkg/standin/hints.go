package standin

import (
	"encoding/json"
	"net/http"

	"radishturn.example/radishturn/pkg/targetproto"
)

// hints returns the health and the load that the target reports under the
// behaviour.
func (t *target) hints(b *behaviour) hints {
	if b.staleHints != nil {
		return *b.staleHints
	}
	h := hints{
		health: targetproto.Health{
			Healthy:   !b.draining,
			State:     t.state(),
			Boot:      *t.boot.Load(),
			Version:   t.Version,
			Snapshots: t.heldSnapshots(),
		},
		load: targetproto.Load{
			InFlight:    int(t.counters.inFlight.current.Load()),
			Connections: int(t.counters.connections.current.Load()),
		},
	}
	if b.reportedHealth != nil {
		h.health.Healthy = *b.reportedHealth
	}
	if b.reportedLoad != nil {
		h.load.InFlight = *b.reportedLoad
	}
	return h
}

// serveHealth serves the health hint. A frozen target replies only if a fault
// sets the reported health.
func (t *target) serveHealth(w http.ResponseWriter, r *http.Request) {
	b := t.behaviour.Load()
	if b.reportedHealth == nil && !waitWhileFrozen(r.Context(), b) {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, t.hints(b).health)
}

func (t *target) serveLoad(w http.ResponseWriter, r *http.Request) {
	b := t.behaviour.Load()
	if b.reportedLoad == nil && !waitWhileFrozen(r.Context(), b) {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, t.hints(b).load)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", contentTypeJSON)
	json.NewEncoder(w).Encode(v) // a write fails only if the client is gone
}
