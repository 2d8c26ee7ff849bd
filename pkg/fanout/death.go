package fanout

import (
	"context"
	"slices"
	"time"

	"radishturn.example/radishturn/pkg/events"
	"radishturn.example/radishturn/pkg/lease/leasetimes"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/query/poison"
	"radishturn.example/radishturn/pkg/target"
	"radishturn.example/radishturn/pkg/view"
)

// deathCheckTimeout bounds the check whether a target that lost connections died.
const deathCheckTimeout = 250 * time.Millisecond

// coldDeathWindow is how long after a target turned cold without a restart a
// death in the collection is attributed to the overload of a cold target.
const coldDeathWindow = 5 * time.Second

// normalRenewalTime is the longest time that the renewal of a lease takes in the
// absence of faults.
const normalRenewalTime = 100 * time.Millisecond

// deathCheck is the check whether one target died, shared by the requests that
// were in flight there. A target has died if its process ended, whatever the cause.
// The death is reported as a view.TargetCrash unless cold start explains it.
type deathCheck struct {
	done     chan struct{}
	suspects []model.Fingerprint
	// boot is the boot ID of the process whose connections were lost.
	boot model.BootID
	// cold is set if the target was cold, or targets of its collection turned cold
	// recently, which explains a death by itself.
	cold bool
	died bool
	// answeredRecently is set if the leaf has recently answered the request whose
	// loss started the check.
	answeredRecently bool
	// quarantined is set if that request was the only one at the target and the
	// death quarantined it: this instance refuses it from now on, before control has
	// confirmed the quarantine.
	quarantined bool
}

// deathCheckResult is the result of a check for a request that lost its
// connection.
type deathCheckResult struct {
	// lostBoot is the boot ID of the process that died; empty if the target is alive.
	lostBoot model.BootID
	// mayBeCause is set if the request may have caused the death: the target was
	// not cold, or had no other request.
	mayBeCause bool
	// quarantined is set if the death quarantined the request.
	quarantined bool
}

// confirmDeath checks whether a target that lost a connection died: it refuses
// connections, or a process with another boot ID answers. If a request may have
// caused the death, those in flight become suspect, and the death is reported to
// control. lost is the process to which the request was
// sent.
func (s *Service) confirmDeath(t *targetState, lost targetProcess, f model.Fingerprint, alone bool) deathCheckResult {
	check, first := t.leaf.joinDeathCheck(t, lost, f, s.now())
	if !first {
		<-check.done
		return check.result(alone)
	}
	ctx, cancel := context.WithTimeout(context.Background(), deathCheckTimeout)
	defer cancel()
	condition, running := t.client.Probe(ctx)
	t.leaf.endDeathCheck(t)
	restarted := condition == target.ProbeAnswered && check.boot != "" && running != check.boot
	check.died = condition == target.ProbeRefused || restarted
	if check.died {
		s.reportDeath(t, check, alone)
	}
	close(check.done)
	return check.result(alone)
}

func (c *deathCheck) result(alone bool) deathCheckResult {
	if !c.died {
		return deathCheckResult{}
	}
	return deathCheckResult{lostBoot: c.boot, mayBeCause: !c.cold || alone, quarantined: alone && c.quarantined}
}

// targetProcess is what is known of a target's process.
type targetProcess struct {
	// boot is empty if it is not known.
	boot model.BootID
	cold bool
}

// processOf returns the process of the target that last stated its boot ID.
func (l *leaf) processOf(t *targetState) targetProcess {
	l.mu.Lock()
	defer l.mu.Unlock()
	return t.process()
}

func (t *targetState) process() targetProcess {
	return targetProcess{boot: t.warmth.Boot(), cold: !t.unrestricted()}
}

// joinDeathCheck returns the check of the target, and whether the caller has to
// run it. The process whose connections were lost is the one to which the request was
// sent: the next one may have stated its boot ID meanwhile.
func (l *leaf) joinDeathCheck(t *targetState, lost targetProcess, f model.Fingerprint, now time.Duration) (*deathCheck, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t.deathCheck == nil {
		if current := t.process(); lost.boot == "" || lost.boot == current.boot {
			lost = current
		}
		t.deathCheck = &deathCheck{done: make(chan struct{}), boot: lost.boot, cold: lost.cold || l.collection.turnedColdRecently(now)}
		t.deathCheck.answeredRecently = l.recentAnswers.contains(f, now)
		for _, r := range t.running {
			t.deathCheck.suspects = append(t.deathCheck.suspects, r.fingerprint)
		}
		return t.deathCheck, true
	}
	if !slices.Contains(t.deathCheck.suspects, f) {
		t.deathCheck.suspects = append(t.deathCheck.suspects, f)
	}
	return t.deathCheck, false
}

// turnedColdRecently reports whether targets have recently turned cold without a
// restart. A target that dies in that time may have been cold before any of its
// answers showed it.
func (c *collection) turnedColdRecently(now time.Duration) bool {
	at := c.turnedColdAt.Load()
	return at != 0 && now-time.Duration(at) < coldDeathWindow
}

// endDeathCheck ends the check, so that later losses start another one.
func (l *leaf) endDeathCheck(t *targetState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t.deathCheck.suspects = distinct(t.deathCheck.suspects)
	t.deathCheck = nil
}

func distinct(f []model.Fingerprint) []model.Fingerprint {
	slices.Sort(f)
	return slices.Compact(f)
}

// reportDeath reports a death to control. Requests at a cold target do not become
// suspect, since cold targets crash under load; a single request is too little
// load to explain a crash. The crash counts as Trial only if it quarantined the
// request: if targets have answered it recently, its first crash in isolation may have
// been caused by another instance's request.
func (s *Service) reportDeath(t *targetState, check *deathCheck, alone bool) {
	cold := []view.Incarnation{{Target: t.target.ID, Boot: check.boot}}
	events.Emit(events.TargetDied, t.target.ID, len(check.suspects))
	if check.cold && !alone {
		s.reporter.Report(view.Evidence{Cold: cold})
		return
	}
	s.lastDeath.Store(int64(max(1, s.now())))
	check.quarantined = s.recordDeath(check, alone)
	s.reporter.Report(view.Evidence{
		Crashes: []view.TargetCrash{{Target: t.target.ID, Boot: check.boot, Suspects: check.suspects, Trial: check.quarantined}},
		Cold:    cold,
	})
	if check.quarantined {
		events.Emit(events.FingerprintQuarantined, check.suspects, poison.CrashesToQuarantine)
	}
}

// recordDeath makes the requests in flight suspect, and reports whether a request
// that was the only one at the target is quarantined by the death.
func (s *Service) recordDeath(check *deathCheck, alone bool) bool {
	s.suspectsMu.Lock()
	defer s.suspectsMu.Unlock()
	now := s.now()
	if alone && len(check.suspects) == 1 {
		return s.suspects.RecordTrialCrash(check.suspects[0], check.answeredRecently, now)
	}
	s.suspects.RecordCrash(check.suspects, false, now)
	return false
}

func (s *Service) poisonStatus(f model.Fingerprint) poison.Status {
	s.suspectsMu.Lock()
	defer s.suspectsMu.Unlock()
	return s.suspects.Status(f, s.now())
}

func (s *Service) beginTrial(f model.Fingerprint) bool {
	s.suspectsMu.Lock()
	defer s.suspectsMu.Unlock()
	return s.suspects.BeginTrial(f, s.now())
}

func (s *Service) endTrial(f model.Fingerprint) {
	s.suspectsMu.Lock()
	defer s.suspectsMu.Unlock()
	s.suspects.EndTrial(f)
}

func (s *Service) clearSuspicion(f model.Fingerprint) {
	s.suspectsMu.Lock()
	defer s.suspectsMu.Unlock()
	s.suspects.RecordTrialSuccess(f)
}

// awaitQuarantine waits until the quarantine is in force at this instance, and
// then for the time in which every other instance renews its lease and learns of
// it, so that the caller does not send the request to an instance that would run
// it again.
func (s *Service) awaitQuarantine(ctx context.Context, f model.Fingerprint) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !s.views.View().Quarantined[f] {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
	select {
	case <-ctx.Done():
	case <-time.After(leasetimes.RenewInterval(s.settings.Lease, len(s.views.View().Instances)) + normalRenewalTime):
	}
}

// refreshQuarantine clears the local records of requests whose quarantine was
// lifted by an operator, and drops expired records.
func (s *Service) refreshQuarantine(v *view.View, now time.Duration) {
	s.suspectsMu.Lock()
	defer s.suspectsMu.Unlock()
	for f := range s.quarantined {
		if !v.Quarantined[f] {
			// A lifted quarantine clears the request as a successful trial does.
			s.suspects.RecordTrialSuccess(f)
		}
	}
	s.quarantined = v.Quarantined
	s.suspects.Expire(now)
}
