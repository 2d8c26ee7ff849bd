package server

import (
	"context"
	"time"

	"radishturn.example/radishturn/pkg/control/wire"
	"radishturn.example/radishturn/pkg/events"
	"radishturn.example/radishturn/pkg/state"
	"radishturn.example/radishturn/pkg/view"
)

// recordEvidence processes the evidence of a renewal. If the renewal is repeated,
// its deaths are recorded again, which is idempotent; all other evidence is
// processed once.
func (n *leaderSession) recordEvidence(ctx context.Context, r *wire.Renewal) error {
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
	n.updateColdLoads(r.Evidence)
	for _, sink := range n.sinks {
		sink.Evidence(r.Instance.ID, *r.Evidence)
	}
	return nil
}

// recordDeaths records deaths of targets in the replicated state. Two distinct
// deaths quarantine a fingerprint on all instances. Recording one death twice has
// no effect.
func (n *leaderSession) recordDeaths(ctx context.Context, deaths []view.TargetCrash) error {
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
		fingerprintsQuarantined.Inc()
		events.Emit(events.FingerprintQuarantined, uint64(f), len(deaths))
	}
	return nil
}

// endQuarantines ends the quarantines whose time has passed.
func (n *leaderSession) endQuarantines(ctx context.Context) {
	due := false
	n.machine.Read(func(s *state.State) { due = s.HasExpiredQuarantine(n.clock + n.now() - n.started) })
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, maintenanceTimeout)
	defer cancel()
	if _, err := n.propose(ctx, "end quarantines", &state.Command{Deaths: &state.Deaths{At: time.Now()}}); err != nil {
		events.Emit(events.QuarantineLiftFailed, err)
	}
}

// updateColdLoads adjusts the cold load of targets to signs that they are cold or
// warm.
func (n *leaderSession) updateColdLoads(e *view.Evidence) {
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
