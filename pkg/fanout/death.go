package fanout

import (
	"context"
	"slices"
	"time"

	"radishturn.example/radishturn/pkg/events"
	"radishturn.example/radishturn/pkg/lease/clock"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/query/poison"
	"radishturn.example/radishturn/pkg/target"
	"radishturn.example/radishturn/pkg/view"
)

// probeTimeout bounds the check whether a target that lost connections died.
const probeTimeout = 250 * time.Millisecond

// coldExplainsDeaths is how long after targets turned cold without a restart a
// death is taken for one of cold start.
const coldExplainsDeaths = 5 * time.Second

// renewalTime is how long the renewal of a lease takes at most in good order.
const renewalTime = 100 * time.Millisecond

// deathProbe is the check of one target, shared by the requests that were in
// flight there.
type deathProbe struct {
	done     chan struct{}
	suspects []model.Fingerprint
	// boot is the incarnation that was lost.
	boot model.BootID
	// cold is set if the target was cold, which explains a death by itself.
	cold bool
	died bool
	// answered is set if the leaf has answered the request lately that was lost first.
	answered bool
	// condemned is set if that request had the target alone and is condemned.
	condemned bool
}

// verdict is what a probe says about a request that lost its connection.
type verdict struct {
	// lost is the incarnation that died; empty if the target lives.
	lost model.BootID
	// suspicious is set if the target may have died of a request: it was not
	// cold, or had the request alone.
	suspicious bool
	// condemned is set if the request is refused from now on.
	condemned bool
}

// confirmDeath finds out whether a target that lost a connection died: it
// refuses connections, or another incarnation answers. The requests in flight
// become suspect if it may have died of one, and control is told.
func (s *Service) confirmDeath(t *targetState, f model.Fingerprint, alone bool) verdict {
	probe, first := t.leaf.joinProbe(t, f, s.now())
	if !first {
		<-probe.done
		return probe.verdict(alone)
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	condition, boot := t.client.Probe(ctx)
	t.leaf.endProbe(t)
	restarted := condition == target.ProbeAnswered && probe.boot != "" && boot != probe.boot
	probe.died = condition == target.ProbeRefused || restarted
	if probe.died {
		s.died(t, probe, alone)
	}
	close(probe.done)
	return probe.verdict(alone)
}

func (p *deathProbe) verdict(alone bool) verdict {
	if !p.died {
		return verdict{}
	}
	return verdict{lost: p.boot, suspicious: !p.cold || alone, condemned: alone && p.condemned}
}

// joinProbe returns the probe of the target and whether the caller runs it.
func (l *leaf) joinProbe(t *targetState, f model.Fingerprint, now time.Duration) (*deathProbe, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t.probe == nil {
		t.probe = &deathProbe{done: make(chan struct{}), boot: t.warmth.Boot(), cold: !t.full() || l.collection.turnedCold(now)}
		t.probe.answered = l.answers.has(f, now)
		for _, r := range t.running {
			t.probe.suspects = append(t.probe.suspects, r.fingerprint)
		}
		return t.probe, true
	}
	if !slices.Contains(t.probe.suspects, f) {
		t.probe.suspects = append(t.probe.suspects, f)
	}
	return t.probe, false
}

// turnedCold reports whether targets have lately turned cold without a restart.
// One that falls over then may have been cold before it could show it.
func (c *collection) turnedCold(now time.Duration) bool {
	at := c.coldAt.Load()
	return at != 0 && now-time.Duration(at) < coldExplainsDeaths
}

// endProbe lets later losses start another probe.
func (l *leaf) endProbe(t *targetState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t.probe.suspects = distinct(t.probe.suspects)
	t.probe = nil
}

func distinct(f []model.Fingerprint) []model.Fingerprint {
	slices.Sort(f)
	return slices.Compact(f)
}

// died tells control of a death. Requests at a cold target become no suspects,
// since cold targets fall over under load; one request alone is no load.
func (s *Service) died(t *targetState, p *deathProbe, alone bool) {
	cold := []view.Incarnation{{Target: t.target.ID, Boot: p.boot}}
	events.Emit(events.TargetDied, t.target.ID, len(p.suspects))
	if p.cold && !alone {
		s.reporter.Report(view.Evidence{Cold: cold})
		return
	}
	s.lastDeath.Store(int64(max(1, s.now())))
	p.condemned = s.judgeDeath(p, alone)
	s.reporter.Report(view.Evidence{
		Crashes: []view.TargetCrash{{Target: t.target.ID, Boot: p.boot, Suspects: p.suspects, Trial: p.condemned}},
		Cold:    cold,
	})
	if p.condemned {
		events.Emit(events.FingerprintCondemn, p.suspects, poison.DeathsToCondemn)
	}
}

// judgeDeath makes the requests in flight suspect, and reports whether the one
// that had the target alone is condemned.
func (s *Service) judgeDeath(p *deathProbe, alone bool) bool {
	s.poisonMu.Lock()
	defer s.poisonMu.Unlock()
	now := s.now()
	if alone && len(p.suspects) == 1 {
		return s.poison.DiedOnTrial(p.suspects[0], p.answered, now)
	}
	s.poison.Died(p.suspects, false, now)
	return false
}

func (s *Service) standing(f model.Fingerprint) poison.Standing {
	s.poisonMu.Lock()
	defer s.poisonMu.Unlock()
	return s.poison.Standing(f, s.now())
}

func (s *Service) beginTrial(f model.Fingerprint) bool {
	s.poisonMu.Lock()
	defer s.poisonMu.Unlock()
	return s.poison.BeginTrial(f, s.now())
}

func (s *Service) endTrial(f model.Fingerprint) {
	s.poisonMu.Lock()
	defer s.poisonMu.Unlock()
	s.poison.EndTrial(f)
}

func (s *Service) survived(f model.Fingerprint) {
	s.poisonMu.Lock()
	defer s.poisonMu.Unlock()
	s.poison.Survived(f)
}

// awaitQuarantine waits until the quarantine is in force here, and then for the
// time in which every other instance renews its lease and learns of it, so that
// the caller does not send the request to an instance that would run it again.
func (s *Service) awaitQuarantine(ctx context.Context, f model.Fingerprint) {
	ticker := time.NewTicker(capacityPoll)
	defer ticker.Stop()
	for !s.view.View().Quarantined[f] {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
	select {
	case <-ctx.Done():
	case <-time.After(clock.RenewInterval(s.settings.Lease, len(s.view.View().Instances)) + renewalTime):
	}
}

// refreshQuarantine forgets local verdicts that operators have lifted.
func (s *Service) refreshQuarantine(v *view.View, now time.Duration) {
	s.poisonMu.Lock()
	defer s.poisonMu.Unlock()
	for f := range s.quarantined {
		if !v.Quarantined[f] {
			s.poison.Survived(f)
		}
	}
	s.quarantined = v.Quarantined
	s.poison.Expire(now)
}
