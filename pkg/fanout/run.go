package fanout

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/query"
	"radishturn.example/radishturn/pkg/query/versions"
	"radishturn.example/radishturn/pkg/query/warmth"
	"radishturn.example/radishturn/pkg/settings"
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

// attemptEnd carries the end of an attempt to the goroutine of its run.
type attemptEnd struct {
	leg     int
	attempt int
	kind    target.Kind
	elapsed time.Duration
	// died is set if the target died with the attempt in flight.
	died  bool
	reply *targetproto.QueryReply
}

// mailbox hands the ends of attempts and wakes to the goroutine of a run. Its
// size is bounded by the attempts and by the waiting legs of the run.
type mailbox struct {
	mu    sync.Mutex
	ends  []attemptEnd
	wakes []int
	// ready holds a token while there may be something to take.
	ready chan struct{}
}

func (m *mailbox) put(e attemptEnd) {
	m.mu.Lock()
	m.ends = append(m.ends, e)
	m.mu.Unlock()
	m.signal()
}

func (m *mailbox) wake(leg int) {
	m.mu.Lock()
	m.wakes = append(m.wakes, leg)
	m.mu.Unlock()
	m.signal()
}

func (m *mailbox) signal() {
	select {
	case m.ready <- struct{}{}:
	default:
	}
}

// take swaps the collected ends and wakes for empty slices.
func (m *mailbox) take(ends []attemptEnd, wakes []int) ([]attemptEnd, []int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	takenEnds, takenWakes := m.ends, m.wakes
	m.ends, m.wakes = ends[:0], wakes[:0]
	return takenEnds, takenWakes
}

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
	hedgeAt   time.Duration
	waiting   bool
	waitSince time.Duration
	waited    time.Duration
	answered  bool
	givenUp   bool
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
	r.collection.earn(len(r.legs))
	for i := range r.legs {
		r.legs[i].leaf = r.plan.leaves[i]
	}
	r.suspectIfKnown()
	r.probeIfNew()
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
	r.judge(a, e)
	r.judgeProbe(e)
	if l.done() {
		return r.trial.changed()
	}
	if e.kind == target.KindOK {
		r.answer(l, e)
		return r.trial.changed()
	}
	l.missing = missingReason(e.kind)
	if e.kind == target.KindNotHeld {
		r.collection.dirty.Store(true)
	}
	if e.kind == target.KindShed {
		r.collection.shed(r.service.now())
	}
	if l.open > 0 {
		return false
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
			l.leaf.leave(r)
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
	if !r.mayTry(i, now) {
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

// queue lets a leg wait for capacity.
func (r *run) queue(i int, now time.Duration) {
	l := &r.legs[i]
	if !l.waiting {
		l.waiting, l.waitSince = true, now
	}
	l.hedgeAt = now + capacityPoll
	if !l.leaf.wait(r, i) {
		r.giveUp(l, query.MissingShed)
	}
}

func (r *run) planHedge(l *leg, now time.Duration) {
	l.hedgeAt = 0
	l.leaf.mu.Lock()
	delay, ok := l.leaf.delay, l.leaf.hedged
	l.leaf.mu.Unlock()
	if ok && l.count < maxAttempts && !r.trial.on {
		l.hedgeAt = now + delay
	}
}

// try sends an attempt at a leg if a target can take it.
func (r *run) try(i int, now time.Duration, isHedge bool) availability {
	l := &r.legs[i]
	if r.service.leaseRefuses() {
		return noTarget
	}
	n := need{
		snapshot: r.plan.snapshot.ID, choice: r.choice, alone: r.trial.on,
		fingerprint: r.fingerprint, hedge: isHedge,
		patient: r.collection.settings.Policy == settings.PreferCoverage,
	}
	var tried [maxAttempts]*targetState
	for k := range l.attempts[:l.count] {
		tried[k] = l.attempts[k].target
	}
	n.tried = tried[:l.count]
	if isHedge {
		n.late = l.attempts[l.count-1].target.target.AvailabilityZone
	}
	t, why := l.leaf.start(&n, r.random, now)
	if why == available {
		r.send(i, t, now, isHedge)
	}
	return why
}

// send starts the goroutine of an attempt. It ends with the attempt's context,
// and its event fits into the channel, so that it never outlives the run for long.
func (r *run) send(i int, t *targetState, now time.Duration, isHedge bool) {
	l := &r.legs[i]
	k := l.count
	ctx, cancel := context.WithCancel(r.ctx)
	l.attempts[k] = attempt{target: t, cancel: cancel, started: now, hedge: isHedge, alone: r.trial.on}
	l.count++
	l.open++
	q := &target.Query{
		Request: r.request.ID, Snapshot: r.plan.snapshot.ID,
		Documents: r.plan.snapshot.Leaves[i].Documents,
		Header:    r.header, Body: r.body,
	}
	if k > 0 {
		left := time.Until(r.request.Deadline).Milliseconds()
		q.Header = target.NewHeader(r.request.ID, r.plan.snapshot.ID, r.request.Route, k+1, left)
	}
	go r.attempt(ctx, cancel, sent{leg: i, attempt: k, target: t, started: now, alone: r.trial.on}, q)
}

// sent identifies an attempt that is on its way.
type sent struct {
	leg     int
	attempt int
	target  *targetState
	started time.Duration
	alone   bool
}

func (r *run) attempt(ctx context.Context, cancel context.CancelFunc, a sent, q *target.Query) {
	t := a.target
	result := t.client.Query(ctx, q)
	died := result.Kind == target.KindReset && r.service.confirmDeath(t, r.fingerprint, a.alone)
	now := r.service.now()
	e := ended{
		result: &result, snapshot: q.Snapshot, fingerprint: r.fingerprint,
		elapsed: now - a.started, now: now, alone: a.alone,
		beaten: ctx.Err() != nil && r.ctx.Err() == nil, expired: r.ctx.Err() == context.DeadlineExceeded,
	}
	change := t.leaf.finish(t, &e)
	cancel()
	r.service.observe(r, t, &e, change)
	r.mail.put(attemptEnd{
		leg: a.leg, attempt: a.attempt, kind: result.Kind, elapsed: e.elapsed, died: died, reply: result.Reply,
	})
}

// retry sends a failed leg again within the budget.
func (r *run) retry(i int) {
	l := &r.legs[i]
	if l.count >= maxAttempts || !r.collection.takeRetry() {
		r.releaseTrialOf(i)
		r.giveUp(l, l.missing)
		return
	}
	r.first(i)
}

// act sends the hedges that are due and looks for capacity again.
func (r *run) act() {
	now := r.service.now()
	for i := range r.legs {
		l := &r.legs[i]
		if l.hedgeAt <= 0 || l.hedgeAt > now+hedgeGrain {
			continue
		}
		if l.waiting {
			l.leaf.leave(r)
			r.first(i)
			continue
		}
		l.hedgeAt = 0
		if l.held {
			r.first(i)
			continue
		}
		r.hedge(i, now)
	}
}

// hedge sends a second attempt at a leg that is late.
func (r *run) hedge(i int, now time.Duration) {
	if l := &r.legs[i]; l.open == 0 || l.count >= maxAttempts || r.trial.on || !r.collection.takeHedge(now) {
		return
	}
	if r.try(i, now, true) != available {
		r.collection.returnHedge()
		return
	}
	r.planHedge(&r.legs[i], now)
}

// schedule sets the timer for the earliest time at which act has work. due is
// what the timer is set for, or 0 if that is not known.
func (r *run) schedule(timer *time.Timer, due time.Duration) time.Duration {
	next := time.Duration(0)
	for i := range r.legs {
		if at := r.legs[i].hedgeAt; at > 0 && (next == 0 || at < next) {
			next = at
		}
	}
	if next == 0 || next == due {
		return next
	}
	timer.Reset(max(0, next-r.service.now()))
	return next
}

// observe tells what an attempt showed to those beyond its leaf.
func (s *Service) observe(r *run, t *targetState, e *ended, change warmth.Change) {
	s.metrics.attempt(e.result.Kind, e.elapsed)
	if e.result.Kind == target.KindMismatched {
		s.reportMismatch(t, r.request.ID, e.result.Err)
	}
	s.reportWarmth(t, e.result.Meta.Boot, change)
	r.collection.outcomes.add(s, t, r.request.Route, e)
}

// ran tells whether the run proves that no target ran the request.
func (r *run) ran() failure.Ran {
	if r.mayHaveRun {
		return failure.Unknown
	}
	return failure.NotRun
}
