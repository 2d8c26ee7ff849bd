package server

import (
	"context"
	"time"

	"radishturn.example/radishturn/pkg/control/wire"
	"radishturn.example/radishturn/pkg/events"
	"radishturn.example/radishturn/pkg/state"
	"radishturn.example/radishturn/pkg/view"
)

// takeEvidence uses what an entry reports, once for each sequence.
func (n *session) takeEvidence(ctx context.Context, r *wire.Renewal) error {
	if r.Evidence == nil || !n.firstSight(r) {
		return nil
	}
	if err := n.recordDeaths(ctx, r.Evidence.Deaths); err != nil {
		return err
	}
	n.noteWarmth(r.Evidence)
	n.markTaken(r)
	for _, sink := range n.sinks {
		sink.Evidence(r.Instance.ID, *r.Evidence)
	}
	return nil
}

// firstSight reports whether the evidence has not been taken. Before the
// holder's first renewal in this term nothing of it has been taken.
func (n *session) firstSight(r *wire.Renewal) bool {
	n.lock.Lock()
	defer n.lock.Unlock()
	h := n.holders[r.Instance.ID]
	return h == nil || h.boot != r.Boot || r.EvidenceSequence > h.evidence
}

func (n *session) markTaken(r *wire.Renewal) {
	n.lock.Lock()
	defer n.lock.Unlock()
	h := n.holders[r.Instance.ID]
	if h == nil || h.boot != r.Boot {
		h = &holder{boot: r.Boot}
		n.holders[r.Instance.ID] = h
	}
	h.evidence = r.EvidenceSequence
}

// recordDeaths counts deaths in the replicated state; two distinct deaths
// condemn a fingerprint on all instances. Counting one twice changes nothing.
func (n *session) recordDeaths(ctx context.Context, deaths []view.Death) error {
	if len(deaths) == 0 {
		return nil
	}
	command := &state.Deaths{At: time.Now()}
	for _, d := range deaths {
		command.Deaths = append(command.Deaths, state.Death(d))
	}
	result, err := n.propose(ctx, "record deaths", &state.Command{Deaths: command})
	if err != nil {
		return err
	}
	for _, f := range result.Condemned {
		events.Emit(events.FingerprintCondemn, uint64(f), len(deaths))
	}
	return nil
}

// noteWarmth adjusts the cold load of targets.
func (n *session) noteWarmth(e *view.Evidence) {
	if len(e.Cold) == 0 && len(e.Warm) == 0 {
		return
	}
	n.lock.Lock()
	defer n.lock.Unlock()
	changed := false
	for _, w := range e.Warm {
		changed = n.warmth.Warm(n.now(), w.Target, w.Boot) || changed
	}
	for _, c := range e.Cold {
		changed = n.warmth.Cold(n.now(), c.Target, c.Boot) || changed
	}
	if changed {
		n.setLimits()
	}
}
