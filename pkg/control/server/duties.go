package server

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"

	"radishturn.example/radishturn/pkg/control"
	"radishturn.example/radishturn/pkg/duty"
	"radishturn.example/radishturn/pkg/events"
	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/state"
	"radishturn.example/radishturn/pkg/usage"
)

const (
	// dutyInterval is the interval at which the leader acquires duties, decides windows
	// and records accepted ones.
	dutyInterval = 100 * time.Millisecond
	// callShare is the share of the platform's rate limit that the holder uses.
	callShare = 0.1
)

// dutyKeeper is what this process keeps about the duty to report usage, over all terms.
type dutyKeeper struct {
	clocks usage.Clocks
	// process identifies this process as a holder.
	process string

	mu    sync.Mutex
	claim duty.Claim
	// refused is the highest token that the platform has refused.
	refused uint64
	pacer   duty.Pacer
	// accepted are windows that the platform has accepted and the log has not recorded.
	accepted map[usage.Window]bool
	last     *LastCall
}

func newDutyKeeper(callsPerSecond float64) *dutyKeeper {
	k := &dutyKeeper{clocks: usage.SystemClocks(), process: uuid.NewString(), accepted: make(map[usage.Window]bool)}
	if callsPerSecond > 0 {
		k.pacer.Interval = time.Duration(float64(time.Second) / (callShare * callsPerSecond))
	}
	return k
}

var _ control.Duties = (*Server)(nil)

// UseClocks replaces the clocks that duties are timed by, before the server runs.
func (s *Server) UseClocks(c usage.Clocks) { s.duties.clocks = c }

// dutyLoop carries out the leader's part of duties until ctx is done. It has a loop of its
// own, so that it delays nothing else.
func (s *Server) dutyLoop(ctx context.Context) {
	ticker := time.NewTicker(dutyInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if current, err := s.activeTerm(); err == nil && current.usage != nil {
			current.runDuties(ctx)
		}
	}
}

// runDuties acquires the duty if this term does not hold it, records the windows that the
// platform has accepted, decides those that are due, and saves the other counts.
func (n *leaderTerm) runDuties(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, maintenanceTimeout)
	defer cancel()
	claim, held := n.acquireDuty(ctx)
	if !held {
		return
	}
	n.recordAccepted(ctx)
	n.decideWindows(ctx, claim)
	n.saveCounts(ctx, claim)
}

// claimToCheck returns the newest claim, and the highest refused token.
func (k *dutyKeeper) claimToCheck() (duty.Claim, uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.claim, k.refused
}

// standing returns what this instance knows about its right to act. The lease is read
// before the term: terms only increase, so a lease that was valid in an earlier term does
// not count for a later one that this instance has a claim of.
func (s *Server) standing(refused uint64) duty.Standing {
	leads := s.group.IsLeader()
	st := duty.Standing{Leads: leads, Term: s.group.Status().Term, Refused: refused}
	s.machine.Read(func(state *state.State) { st.Newest = state.Duty(duty.Usage).Token })
	return st
}

// acquireDuty returns the claim of this term, and acquires the duty if there is none or
// its token may not be used any more. It returns false if the duty cannot be acquired.
func (n *leaderTerm) acquireDuty(ctx context.Context) (duty.Claim, bool) {
	claim, refused := n.duties.claimToCheck()
	if claim.Check(n.standing(refused)) == nil {
		return claim, true
	}
	lease := n.settings.Duties.Lease.Std()
	allowed := false
	n.machine.Read(func(s *state.State) {
		allowed = s.Duty(duty.Usage).MayAcquire(n.groupClock(), n.mesh.Self(), lease)
	})
	if !allowed {
		return duty.Claim{}, false
	}
	command := &state.AcquireDuty{Name: duty.Usage, Holder: n.mesh.Self(), Process: n.duties.process, Lease: lease}
	result, err := n.propose(ctx, "acquire duty", &state.Command{AcquireDuty: command})
	if err != nil || result.Duty == nil {
		events.Emit(events.DutyNotAcquired, duty.Usage, n.term, err)
		return duty.Claim{}, false
	}
	claim = duty.Claim{Term: n.term, Token: result.Duty.Token}
	n.duties.mu.Lock()
	n.duties.claim = claim
	n.duties.mu.Unlock()
	dutiesAcquired.Inc()
	events.Emit(events.DutyAcquired, duty.Usage, claim.Token, claim.Term)
	return claim, true
}

// groupClock returns the time on the group clock.
func (n *leaderTerm) groupClock() time.Duration { return n.clock + n.now() - n.started }

// recordAccepted records the accepted windows in the replicated state, which then drops
// their content.
func (n *leaderTerm) recordAccepted(ctx context.Context) {
	for _, w := range n.duties.acceptedWindows() {
		if _, err := n.propose(ctx, "accept usage", &state.Command{AcceptUsage: &state.AcceptUsage{Window: w}}); err != nil {
			return
		}
		n.duties.mu.Lock()
		delete(n.duties.accepted, w)
		n.duties.mu.Unlock()
	}
}

func (k *dutyKeeper) acceptedWindows() []usage.Window {
	k.mu.Lock()
	defer k.mu.Unlock()
	windows := make([]usage.Window, 0, len(k.accepted))
	for w := range k.accepted {
		windows = append(windows, w)
	}
	return windows
}

// NextUsageCall implements control.Duties.
func (s *Server) NextUsageCall() (control.UsageCall, bool) {
	claim, refused := s.duties.claimToCheck()
	if claim.Token == 0 || claim.Check(s.standing(refused)) != nil {
		return control.UsageCall{}, false
	}
	var pending []usage.WindowCounts
	s.machine.Read(func(st *state.State) { pending = st.UsagePending() })
	next, ok := s.duties.nextWindow(pending)
	if !ok {
		return control.UsageCall{}, false
	}
	return control.UsageCall{Claim: claim, Holder: s.settings.Duties.HolderName, Window: next.Window, Counts: next.Counts}, true
}

// nextWindow returns the window to report now, of those that are pending, oldest first.
func (k *dutyKeeper) nextWindow(pending []usage.WindowCounts) (usage.WindowCounts, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	byNumber := make(map[uint64]usage.WindowCounts, len(pending))
	var numbers []uint64
	for _, w := range pending {
		if !k.accepted[w.Window] {
			byNumber[uint64(w.Window)] = w
			numbers = append(numbers, uint64(w.Window))
		}
	}
	k.pacer.Retain(numbers)
	number, ok := k.pacer.Next(k.clocks.Boot(), numbers)
	return byNumber[number], ok
}

// MayCall implements control.Duties.
func (s *Server) MayCall(c control.UsageCall) error {
	_, refused := s.duties.claimToCheck()
	if err := c.Claim.Check(s.standing(refused)); err != nil {
		return failure.New(failure.LeaseExpired, failure.NotRun, "check duty", "", "%w", err)
	}
	return nil
}

// RecordAnswer implements control.Duties.
func (s *Server) RecordAnswer(c control.UsageCall, a control.CallAnswer) {
	k := s.duties
	k.mu.Lock()
	k.pacer.Record(k.clocks.Boot(), uint64(c.Window), a.Answer, a.RetryAfter)
	switch a.Answer {
	case duty.Accepted:
		k.accepted[c.Window] = true
	case duty.Superseded:
		k.refused = max(k.refused, c.Claim.Token)
	}
	k.last = &LastCall{Window: c.Window, Token: c.Claim.Token, Answer: a.Answer.String(), Detail: a.Detail, at: k.clocks.Boot()}
	k.mu.Unlock()
	countUsageCall(a.Answer)
	switch a.Answer {
	case duty.Accepted:
		events.Emit(events.UsageAccepted, uint64(c.Window), c.Claim.Token)
	case duty.Superseded:
		events.Emit(events.DutyRefused, duty.Usage, c.Claim.Token, uint64(c.Window))
	default:
		events.Emit(events.UsageCallFailed, uint64(c.Window), c.Claim.Token, a.Answer.String(), a.Detail)
	}
}
