package fanout

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/query"
	"radishturn.example/radishturn/pkg/query/versions"
	"radishturn.example/radishturn/pkg/target"
	"radishturn.example/radishturn/pkg/targetproto"
)

const (
	// capacityPoll is how often a leg that waits for capacity looks again, for
	// targets that become free without an attempt ending.
	capacityPoll = 10 * time.Millisecond
	// hedgeGrain coalesces hedges that are due at about the same time.
	hedgeGrain = 250 * time.Microsecond
)

// attempt is one leaf request. Its fields stay for the explainer.
type attempt struct {
	target  *targetState
	cancel  context.CancelFunc
	started time.Duration
	elapsed time.Duration
	kind    target.Kind
	ended   bool
	hedge   bool
	alone   bool
}

// leg is the part of a query at one leaf.
type leg struct {
	leaf     *leaf
	attempts [maxAttempts]attempt
	count    int
	open     int
	// hedgeAt is when the leg is hedged or looks for capacity again; 0 for never.
	hedgeAt time.Duration
	// hedgeDelay is the delay after which the last attempt is hedged.
	hedgeDelay time.Duration
	waiting    bool
	waitSince  time.Duration
	waited     time.Duration
	answered   bool
	givenUp    bool
	// held is set while the leg waits for the trial of a suspect request.
	held    bool
	reply   *targetproto.QueryReply
	missing query.MissingReason
}

// run is one pass of a query over the leaves of one snapshot. Its fields
// belong to the goroutine that runs it, except for ctx and the mailbox.
type run struct {
	service     *Service
	collection  *collection
	request     *query.Request
	plan        *plan
	choice      versions.Choice
	fingerprint model.Fingerprint

	ctx    context.Context
	mail   mailbox
	random *rand.Rand

	body    []byte
	header  http.Header
	started time.Duration
	legs    []leg
	pending int
	// mayHaveRun is set once an attempt has no proof of not run.
	mayHaveRun bool
	// lostSnapshot is set when a leaf has no target left for the snapshot.
	lostSnapshot bool
	trial        trial
	probe        probe
	// deathChecks counts the attempts whose target is being checked for a death.
	deathChecks atomic.Int32
}

func (s *Service) newRun(ctx context.Context, c *collection, p *plan, r *query.Request, choice versions.Choice, f model.Fingerprint) *run {
	now := s.now()
	n := len(p.leaves)
	return &run{
		service:     s,
		collection:  c,
		request:     r,
		plan:        p,
		choice:      choice,
		fingerprint: f,
		ctx:         ctx,
		mail:        mailbox{ready: make(chan struct{}, 1)},
		random:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		body:        encodeQuery(r),
		header:      target.NewHeader(r.ID, p.snapshot.ID, r.Route, 1, time.Until(r.Deadline).Milliseconds()),
		started:     now,
		legs:        make([]leg, n),
		pending:     n,
	}
}

func encodeQuery(r *query.Request) []byte {
	body, _ := json.Marshal(targetproto.QueryRequest{Query: r.Query, Limit: r.Limit}) //nolint:errcheck // text and numbers always encode
	return body
}

// all runs every leg until each is answered or given up.
func (r *run) all() {
	r.collection.earnBudget(len(r.legs))
	for i := range r.legs {
		r.legs[i].leaf = r.plan.leaves[i]
	}
	r.startTrialIfSuspect()
	r.startProbeIfNew()
	for i := range r.legs {
		r.first(i)
	}
	r.loop()
	r.giveUpRest()
	r.endTrial()
}

// loop handles events until no leg is pending.
func (r *run) loop() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	due := r.schedule(timer, 0)
	var ends []attemptEnd
	var wakes []int
	for r.pending > 0 {
		select {
		case <-r.mail.ready:
			ends, wakes = r.mail.take(ends, wakes)
			if r.takeIn(ends, wakes) {
				due = r.schedule(timer, due)
			}
		case <-timer.C:
			r.act()
			due = r.schedule(timer, 0)
		case <-r.ctx.Done():
			return
		}
	}
}

// takeIn handles mail and reports whether the schedule has changed.
func (r *run) takeIn(ends []attemptEnd, wakes []int) bool {
	changed := false
	for i := range ends {
		changed = r.ended(&ends[i]) || changed
	}
	for _, i := range wakes {
		if r.legs[i].waiting {
			r.first(i)
			changed = true
		}
	}
	return changed
}

// ended takes in the end of an attempt and reports whether the schedule has changed.
func (r *run) ended(e *attemptEnd) bool {
	l := &r.legs[e.leg]
	l.open--
	a := &l.attempts[e.attempt]
	a.ended, a.kind, a.elapsed = true, e.kind, e.elapsed
	if !e.kind.NotRun() {
		r.mayHaveRun = true
	}
	r.updateTrial(a, e)
	r.endProbeOnAnswer(e)
	if l.done() {
		return r.trial.takeScheduleChange()
	}
	if e.kind == target.KindOK {
		r.answer(l, e)
		return r.trial.takeScheduleChange()
	}
	l.missing = missingReason(e.kind)
	if e.kind == target.KindNotHeld {
		r.collection.replanNeeded.Store(true)
	}
	if e.kind == target.KindShed {
		r.collection.recordShed(r.service.now())
	}
	if l.open > 0 {
		return false
	}
	if e.kind == target.KindShed && e.attempt == l.count-1 {
		r.requeue(e.leg)
		return true
	}
	r.retry(e.leg)
	return true
}

func (l *leg) done() bool { return l.answered || l.givenUp }

// answer accepts the first good reply and cancels the others.
func (r *run) answer(l *leg, e *attemptEnd) {
	l.answered, l.reply, l.missing = true, e.reply, ""
	l.hedgeAt = 0
	r.pending--
	for i := range l.attempts[:l.count] {
		if a := &l.attempts[i]; !a.ended {
			a.cancel()
		}
	}
}

// giveUp ends a leg without an answer.
func (r *run) giveUp(l *leg, reason query.MissingReason) {
	l.missing, l.givenUp = reason, true
	l.hedgeAt, l.waiting, l.held = 0, false, false
	r.pending--
}

// giveUpRest ends the legs that are still open at the deadline.
func (r *run) giveUpRest() {
	for i := range r.legs {
		l := &r.legs[i]
		if l.done() {
			continue
		}
		reason := query.MissingDeadline
		if l.waiting && l.count == 0 {
			reason = query.MissingShed
		}
		if l.open > 0 {
			r.mayHaveRun = true
		}
		if l.waiting {
			l.leaf.removeWaiters(r)
			l.waited += r.service.now() - l.waitSince
		}
		r.giveUp(l, reason)
	}
}

func missingReason(k target.Kind) query.MissingReason {
	switch k {
	case target.KindShed, target.KindBusy:
		return query.MissingShed
	case target.KindNotHeld:
		return query.MissingNotHeld
	case target.KindMismatched:
		return query.MissingMismatched
	case target.KindCancelled:
		return query.MissingDeadline
	case target.KindDraining:
		return query.MissingNoTarget
	}
	return query.MissingFailed
}

// first sends the next attempt of a leg that has none open, or queues the leg.
func (r *run) first(i int) {
	l := &r.legs[i]
	if l.leaf == nil {
		r.giveUp(l, query.MissingNoTarget)
		return
	}
	now := r.service.now()
	if !r.maySend(i, now) {
		return
	}
	switch r.try(i, now, false) {
	case available:
		if l.waiting {
			l.waiting = false
			l.waited += now - l.waitSince
		}
		r.planHedge(l, now)
	case noCapacity:
		r.queue(i, now)
	case noSnapshot:
		r.lostSnapshot = true
		r.giveUp(l, query.MissingNotHeld)
	default:
		r.giveUp(l, reasonWithoutTarget(l))
	}
}

func reasonWithoutTarget(l *leg) query.MissingReason {
	if l.missing != "" {
		return l.missing
	}
	return query.MissingNoTarget
}

// requeue lets a leg wait after a target has shed it. The refused attempt has
// not run and does not count; the pause of the target bounds how often it is
// asked, and the time that legs wait makes the instance admit fewer queries.
func (r *run) requeue(i int) {
	r.legs[i].count--
	r.queue(i, r.service.now())
}

// queue lets a leg wait for capacity.
func (r *run) queue(i int, now time.Duration) {
	l := &r.legs[i]
	if !l.waiting {
		l.waiting, l.waitSince = true, now
	}
	l.hedgeAt = now + capacityPoll
	if !l.leaf.enqueue(r, i) {
		r.giveUp(l, query.MissingShed)
	}
}

// retry sends a failed leg again within the budget.
func (r *run) retry(i int) {
	l := &r.legs[i]
	if l.count >= maxAttempts || !r.collection.takeRetry() {
		r.endTrialOfLeg(i)
		r.giveUp(l, l.missing)
		return
	}
	r.first(i)
}

// ran tells whether the run proves that no target ran the request.
func (r *run) ran() failure.Ran {
	if r.mayHaveRun {
		return failure.Unknown
	}
	return failure.NotRun
}
