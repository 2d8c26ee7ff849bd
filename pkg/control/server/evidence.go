package server

import (
	"context"
	"time"

	"radishturn.example/radishturn/pkg/control/wire"
	"radishturn.example/radishturn/pkg/events"
	"radishturn.example/radishturn/pkg/state"
	"radishturn.example/radishturn/pkg/view"
)

// takeEvidence uses what an entry reports. Deaths are recorded again if the
// renewal comes again, which changes nothing; the rest is taken once.
func (n *session) takeEvidence(ctx context.Context, r *wire.Renewal) error {
	if r.Evidence == nil {
		return nil
	}
	if err := n.recordDeaths(ctx, r.Evidence.Crashes); err != nil {
		return err
	}
	n.lock.Lock()
	first := n.granter.AcceptEvidence(r)
	if first {
		n.costs.Record(n.now(), r.Evidence.Costs)
	}
	n.lock.Unlock()
	if !first {
		return nil
	}
	n.noteWarmth(r.Evidence)
	for _, sink := range n.sinks {
		sink.Evidence(r.Instance.ID, *r.Evidence)
	}
	return nil
}

// recordDeaths counts deaths in the replicated state; two distinct deaths
// condemn a fingerprint on all instances. Counting one twice changes nothing.
func (n *session) recordDeaths(ctx context.Context, deaths []view.TargetCrash) error {
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
	for _, f := range result.Quarantined {
		fingerprintsOut.Inc()
		events.Emit(events.FingerprintQuarantined, uint64(f), len(deaths))
	}
	return nil
}

// endQuarantines ends those whose time is over.
func (n *session) endQuarantines(ctx context.Context) {
	due := false
	n.machine.Read(func(s *state.State) { due = s.HasExpiredQuarantine(n.clock + n.now() - n.started) })
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, takeOfficeTimeout)
	defer cancel()
	if _, err := n.propose(ctx, "end quarantines", &state.Command{Deaths: &state.Deaths{At: time.Now()}}); err != nil {
		events.Emit(events.QuarantineEndFailed, err)
	}
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
		changed = n.warmth.RecordWarm(n.now(), w.Target, w.Boot) || changed
	}
	for _, c := range e.Cold {
		changed = n.warmth.RecordCold(n.now(), c.Target, c.Boot) || changed
	}
	if changed {
		n.setLimits()
	}
}
