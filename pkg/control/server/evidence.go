package server

import (
	"context"
	"time"

	"radishturn.example/radishturn/pkg/control/wire"
	"radishturn.example/radishturn/pkg/events"
	"radishturn.example/radishturn/pkg/state"
	"radishturn.example/radishturn/pkg/view"
)

// recordEvidence processes the evidence of a renewal. If the renewal is
// repeated, its crashes are recorded again, which is idempotent; all other
// evidence is processed once.
func (n *leaderTerm) recordEvidence(ctx context.Context, r *wire.Renewal) error {
	if r.Evidence == nil {
		return nil
	}
	if err := n.recordCrashes(ctx, r.Evidence.Crashes); err != nil {
		return err
	}
	n.termMu.Lock()
	first := n.granter.AcceptEvidence(r)
	if first {
		n.costs.Record(n.now(), r.Evidence.Costs)
	}
	n.termMu.Unlock()
	if !first {
		return nil
	}
	n.updateColdLoads(r.Evidence)
	for _, sink := range n.sinks {
		sink.Evidence(r.Instance.ID, *r.Evidence)
	}
	return nil
}

// recordCrashes records crashes of targets in the replicated state. Two distinct
// crashes quarantine a fingerprint on all instances. Recording one crash twice
// has no effect.
func (n *leaderTerm) recordCrashes(ctx context.Context, crashes []view.TargetCrash) error {
	if len(crashes) == 0 {
		return nil
	}
	command := &state.TargetCrashes{At: time.Now()}
	for _, d := range crashes {
		command.Crashes = append(command.Crashes, state.TargetCrash(d))
	}
	result, err := n.propose(ctx, "record deaths", &state.Command{TargetCrashes: command})
	if err != nil {
		return err
	}
	for _, f := range result.Quarantined {
		fingerprintsQuarantined.Inc()
		events.Emit(events.FingerprintQuarantined, uint64(f), len(crashes))
	}
	return nil
}

// endQuarantines ends the quarantines whose time has passed. Applying any Deaths
// command removes the expired quarantines, so an empty one is proposed.
func (n *leaderTerm) endQuarantines(ctx context.Context) {
	due := false
	n.machine.Read(func(s *state.State) { due = s.HasExpiredQuarantine(n.clock + n.now() - n.started) })
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, maintenanceTimeout)
	defer cancel()
	if _, err := n.propose(ctx, "end quarantines", &state.Command{TargetCrashes: &state.TargetCrashes{At: time.Now()}}); err != nil {
		events.Emit(events.QuarantineLiftFailed, err)
	}
}

// updateColdLoads adjusts the cold load of targets, the number of concurrent
// requests that a target may get while it is cold, to reports that they are cold
// or warm.
func (n *leaderTerm) updateColdLoads(e *view.Evidence) {
	if len(e.Cold) == 0 && len(e.Warm) == 0 {
		return
	}
	n.termMu.Lock()
	defer n.termMu.Unlock()
	changed := false
	for _, w := range e.Warm {
		changed = n.warmth.RecordSustainedLoad(n.now(), w.Target, w.Boot) || changed
	}
	for _, c := range e.Cold {
		changed = n.warmth.RecordCold(n.now(), c.Target, c.Boot) || changed
	}
	if changed {
		n.setLimits()
	}
}
