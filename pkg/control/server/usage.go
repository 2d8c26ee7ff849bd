package server

import (
	"context"
	"slices"
	"sync"
	"time"

	"radishturn.example/radishturn/pkg/control/wire"
	"radishturn.example/radishturn/pkg/duty"
	"radishturn.example/radishturn/pkg/events"
	"radishturn.example/radishturn/pkg/state"
	"radishturn.example/radishturn/pkg/usage"
)

// checkpointInterval is the interval at which the leader saves what it has counted. Counts
// since the last checkpoint are lost if all machines lose power.
const checkpointInterval = 300 * time.Millisecond

// usageTerm is what the leader knows in one term about usage and true time.
type usageTerm struct {
	// started is when the term started, on the boot-time clock.
	started time.Duration

	mu        sync.Mutex
	ledger    *usage.Ledger
	estimator *usage.Estimator
	// instances is the number of instances at the newest look, which the estimate of
	// true time waits for.
	instances int
	// savedAt is when the newest checkpoint was written, on the boot-time clock.
	savedAt time.Duration
}

// newUsageTerm returns nil if usage is not reported.
func newUsageTerm(s *Server, term uint64) *usageTerm {
	if !s.settings.Duties.ReportsUsage() {
		return nil
	}
	now := s.duties.clocks.Boot()
	u := &usageTerm{started: now, ledger: usage.NewLedger(term), estimator: usage.NewEstimator(now)}
	s.machine.Read(func(st *state.State) {
		u.instances = len(st.Instances())
		progress, _ := st.UsageProgress()
		u.ledger.Restore(st.UsageCheckpoint(), progress.Decided)
	})
	return u
}

// recordUsage takes the usage and the wall clock from a renewal, and adds true time to the
// reply.
func (n *leaderTerm) recordUsage(r *wire.Renewal, reply *wire.RenewalReply) {
	if n.usage == nil || r.Usage == nil {
		return
	}
	decided, _ := n.decidedWindow()
	now := n.duties.clocks.Boot()
	u := n.usage
	u.mu.Lock()
	defer u.mu.Unlock()
	if r.Usage.Term == n.term {
		// A renewal from before the sender knew of this term may have looked for the
		// leader for a while, so its wall-clock time may be old.
		u.estimator.Record(now, r.Instance.ID, r.WallClock)
	}
	newest := ^usage.Window(0)
	if trueTime, known := u.estimator.TrueTime(now, u.instances); known {
		reply.TrueTime = trueTime
		newest = usage.WindowAt(trueTime, n.settings.Duties.UsageWindow.Std()) + 1
	}
	u.ledger.Record(usage.Process{Instance: r.Instance.ID, Boot: r.Boot}, r.Usage, decided, newest)
	reply.UsageTerm = n.term
}

func (n *leaderTerm) decidedWindow() (decided usage.Window, known bool) {
	n.machine.Read(func(s *state.State) {
		var p state.UsageProgress
		p, known = s.UsageProgress()
		decided = p.Decided
	})
	return decided, known
}

// liveProcesses returns the processes that hold leases.
func (n *leaderTerm) liveProcesses() []usage.Process {
	n.termMu.Lock()
	defer n.termMu.Unlock()
	var live []usage.Process
	for _, l := range n.granter.Leases(n.now()) {
		boot, _ := n.granter.Boot(l.Instance)
		live = append(live, usage.Process{Instance: l.Instance, Boot: boot})
	}
	return live
}

// decideWindows decides the windows that are due, oldest first.
func (n *leaderTerm) decideWindows(ctx context.Context, claim duty.Claim) {
	live := n.liveProcesses()
	for ctx.Err() == nil {
		command, since, ok := n.nextDecision(live)
		if !ok {
			return
		}
		command.Token = claim.Token
		if _, err := n.propose(ctx, "decide usage", &state.Command{DecideUsage: command}); err != nil {
			events.Emit(events.UsageNotDecided, uint64(command.Window), err)
			return
		}
		n.usage.mu.Lock()
		n.usage.ledger.SetDecided(command.Window, command.Counts)
		n.usage.mu.Unlock()
		windowsDecided.Inc()
		events.Emit(events.UsageDecided, uint64(command.Window), len(command.Counts), since.Milliseconds())
	}
}

// nextDecision returns the next window to decide with its content, and how long ago it
// ended.
func (n *leaderTerm) nextDecision(live []usage.Process) (*state.DecideUsage, time.Duration, bool) {
	decided, any := n.decidedWindow()
	now := n.duties.clocks.Boot()
	u, d := n.usage, &n.settings.Duties
	u.mu.Lock()
	defer u.mu.Unlock()
	u.instances = len(live)
	trueTime, known := u.estimator.TrueTime(now, u.instances)
	if !known {
		return nil, 0, false
	}
	if any {
		u.ledger.Discard(decided, func(p usage.Process) bool { return slices.Contains(live, p) })
		for _, l := range u.ledger.TakeLate(d.UsageTolerance) {
			events.Emit(events.UsageIncomplete, uint64(l.Window), l.Reported, l.Counted)
		}
	}
	in := usage.Input{
		Now: trueTime, Started: trueTime - (now - u.started), Length: d.UsageWindow.Std(), Late: d.UsageLate.Std(),
		Decided: decided, HasDecided: any, Live: live,
	}
	w, ok := u.ledger.Next(in)
	if !ok {
		return nil, 0, false
	}
	if any && w > decided+1 {
		events.Emit(events.UsageSkipped, uint64(decided+1), uint64(w-1))
	}
	return &state.DecideUsage{Window: w, Counts: u.ledger.Counts(w)}, trueTime - w.End(in.Length), true
}

// saveCounts writes a checkpoint of the counts to the log, if it is time.
func (n *leaderTerm) saveCounts(ctx context.Context, claim duty.Claim) {
	decided, _ := n.decidedWindow()
	now := n.duties.clocks.Boot()
	u := n.usage
	u.mu.Lock()
	if now < u.savedAt+checkpointInterval {
		u.mu.Unlock()
		return
	}
	u.savedAt = now
	counts, changed := u.ledger.Checkpoint(decided)
	u.mu.Unlock()
	if !changed {
		return
	}
	if _, err := n.propose(ctx, "save usage", &state.Command{SaveUsage: &state.SaveUsage{Token: claim.Token, Counts: counts}}); err != nil {
		u.mu.Lock()
		u.ledger.CheckpointFailed()
		u.mu.Unlock()
		events.Emit(events.UsageNotSaved, err)
	}
}
