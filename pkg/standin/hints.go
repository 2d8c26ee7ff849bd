package standin

import (
	"encoding/json"
	"net/http"

	"radishturn.example/radishturn/pkg/targetproto"
)

// hints returns what the target says of itself under a behaviour.
func (t *target) hints(b *behaviour) hints {
	if b.stale != nil {
		return *b.stale
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
			InFlight:    int(t.counters.inFlight.now.Load()),
			Connections: int(t.counters.connections.now.Load()),
		},
	}
	if b.health != nil {
		h.health.Healthy = *b.health
	}
	if b.load != nil {
		h.load.InFlight = *b.load
	}
	return h
}

// serveHealth answers from a frozen target too if it was told what to say.
func (t *target) serveHealth(w http.ResponseWriter, r *http.Request) {
	b := t.behaviour.Load()
	if b.health == nil && !waitFrozen(r.Context(), b) {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, t.hints(b).health)
}

func (t *target) serveLoad(w http.ResponseWriter, r *http.Request) {
	b := t.behaviour.Load()
	if b.load == nil && !waitFrozen(r.Context(), b) {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, t.hints(b).load)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", contentTypeJSON)
	json.NewEncoder(w).Encode(v) // the client is gone
}
