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
	// capacityPollInterval is how often a subquery that waits for capacity tries
	// again, because targets may become free without an attempt ending.
	capacityPollInterval = 10 * time.Millisecond
	// hedgeTimerSlack is how early a hedge may be sent, so that hedges due at
	// about the same time share one timer.
	hedgeTimerSlack = 250 * time.Microsecond
)

// attempt is one leaf request. Its fields are kept after it ends, for Explain.
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

// subquery is the part of a query that runs at one leaf.
type subquery struct {
	leaf         *leaf
	attempts     [maxAttempts]attempt
	attemptCount int
	openAttempts int
	// nextActionAt is when the subquery is hedged or tries again to get a target; 0
	// means never.
	nextActionAt time.Duration
	// hedgeDelay is the delay after which the last attempt is hedged.
	hedgeDelay   time.Duration
	waiting      bool
	waitSince    time.Duration
	capacityWait time.Duration
	answered     bool
	givenUp      bool
	// held is set while the subquery waits for a trial or a probe to finish.
	held    bool
	reply   *targetproto.QueryReply
	missing query.MissingReason
}

// run is one pass of a query over the leaves of one snapshot. Only the goroutine
// that executes it may access its fields, except for ctx, events and deathChecks.
type run struct {
	service     *Service
	collection  *collection
	request     *query.Request
	plan        *plan
	choice      versions.Choice
	fingerprint model.Fingerprint

	ctx    context.Context
	events eventQueue
	random *rand.Rand

	body       []byte
	header     http.Header
	started    time.Duration
	subqueries []subquery
	pending    int
	// mayHaveRun is set once an attempt ends without proof that it was not run.
	mayHaveRun bool
	// lostSnapshot is set if a leaf has no target left that holds the snapshot.
	lostSnapshot bool
	trial        trial
	probe        probe
	// deathChecks counts the attempts whose target is being checked for a death;
	// no hedges are sent meanwhile.
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
		events:      eventQueue{ready: make(chan struct{}, 1)},
		random:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		body:        encodeQuery(r),
		header:      target.NewHeader(r.ID, p.snapshot.ID, r.Route, 1, time.Until(r.Deadline).Milliseconds()),
		started:     now,
		subqueries:  make([]subquery, n),
		pending:     n,
	}
}

func encodeQuery(r *query.Request) []byte {
	body, _ := json.Marshal(targetproto.QueryRequest{Query: r.Query, Limit: r.Limit}) //nolint:errcheck // text and numbers always encode
	return body
}

// execute runs all subqueries until each is answered or given up.
func (r *run) execute() {
	r.collection.earnBudget(len(r.subqueries))
	for i := range r.subqueries {
		r.subqueries[i].leaf = r.plan.leaves[i]
	}
	r.startTrialIfSuspect()
	r.startProbeIfNew()
	for i := range r.subqueries {
		r.startOrQueue(i)
	}
	r.handleEvents()
	r.giveUpPending()
	r.endTrial()
}

// handleEvents handles results, wakeups and timers until no subquery is pending or
// the context is done.
func (r *run) handleEvents() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	due := r.resetTimer(timer, 0)
	var results []attemptResult
	var wakeups []int
	for r.pending > 0 {
		select {
		case <-r.events.ready:
			results, wakeups = r.events.drain(results, wakeups)
			if r.applyEvents(results, wakeups) {
				due = r.resetTimer(timer, due)
			}
		case <-timer.C:
			r.handleTimer()
			due = r.resetTimer(timer, 0)
		case <-r.ctx.Done():
			return
		}
	}
}

// applyEvents handles results and wakeups and reports whether the timer has to be
// set again.
func (r *run) applyEvents(results []attemptResult, wakeups []int) bool {
	changed := false
	for i := range results {
		changed = r.applyResult(&results[i]) || changed
	}
	for _, i := range wakeups {
		if r.subqueries[i].waiting {
			r.startOrQueue(i)
			changed = true
		}
	}
	return changed
}

// applyResult handles the end of an attempt and reports whether the timer has to be
// set again.
func (r *run) applyResult(e *attemptResult) bool {
	sq := &r.subqueries[e.subquery]
	sq.openAttempts--
	a := &sq.attempts[e.attempt]
	a.ended, a.kind, a.elapsed = true, e.kind, e.elapsed
	if !e.kind.NotRun() {
		r.mayHaveRun = true
	}
	r.updateTrial(a, e)
	r.endProbeOnAnswer(e)
	if sq.done() {
		return r.trial.takeScheduleChange()
	}
	if e.kind == target.KindOK {
		r.acceptReply(sq, e)
		return r.trial.takeScheduleChange()
	}
	sq.missing = missingReason(e.kind)
	if e.kind == target.KindNotHeld {
		r.collection.replanNeeded.Store(true)
	}
	if e.kind == target.KindShed {
		r.collection.recordShed(r.service.now())
	}
	if sq.openAttempts > 0 {
		return false
	}
	if e.kind == target.KindShed && e.attempt == sq.attemptCount-1 {
		r.requeue(e.subquery)
		return true
	}
	r.retry(e.subquery)
	return true
}

func (sq *subquery) done() bool { return sq.answered || sq.givenUp }

// acceptReply records the first good reply and cancels the other attempts.
func (r *run) acceptReply(sq *subquery, e *attemptResult) {
	sq.answered, sq.reply, sq.missing = true, e.reply, ""
	sq.nextActionAt = 0
	r.pending--
	for i := range sq.attempts[:sq.attemptCount] {
		if a := &sq.attempts[i]; !a.ended {
			a.cancel()
		}
	}
}

// giveUp ends a subquery without an answer.
func (r *run) giveUp(sq *subquery, reason query.MissingReason) {
	sq.missing, sq.givenUp = reason, true
	sq.nextActionAt, sq.waiting, sq.held = 0, false, false
	r.pending--
}

// giveUpPending gives up the subqueries that are still pending when the run ends.
func (r *run) giveUpPending() {
	for i := range r.subqueries {
		sq := &r.subqueries[i]
		if sq.done() {
			continue
		}
		reason := query.MissingDeadline
		if sq.waiting && sq.attemptCount == 0 {
			reason = query.MissingShed
		}
		if sq.openAttempts > 0 {
			r.mayHaveRun = true
		}
		if sq.waiting {
			sq.leaf.removeWaiters(r)
			sq.capacityWait += r.service.now() - sq.waitSince
		}
		r.giveUp(sq, reason)
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

// startOrQueue starts the next attempt of a subquery that has none open, or queues
// the subquery for capacity.
func (r *run) startOrQueue(i int) {
	sq := &r.subqueries[i]
	if sq.leaf == nil {
		r.giveUp(sq, query.MissingNoTarget)
		return
	}
	now := r.service.now()
	if !r.maySend(i, now) {
		return
	}
	switch r.tryAttempt(i, now, false) {
	case available:
		if sq.waiting {
			sq.waiting = false
			sq.capacityWait += now - sq.waitSince
		}
		r.scheduleHedge(sq, now)
	case noCapacity:
		r.queueForCapacity(i, now)
	case noSnapshot:
		r.lostSnapshot = true
		r.giveUp(sq, query.MissingNotHeld)
	default:
		r.giveUp(sq, reasonWithoutTarget(sq))
	}
}

func reasonWithoutTarget(sq *subquery) query.MissingReason {
	if sq.missing != "" {
		return sq.missing
	}
	return query.MissingNoTarget
}

// requeue queues a subquery again after a target has shed it. The refused attempt
// was not run and does not count as an attempt. The backoff of the target bounds the
// rate of requests to it, and the time that subqueries wait for capacity makes
// admission control admit fewer queries.
func (r *run) requeue(i int) {
	r.subqueries[i].attemptCount--
	r.queueForCapacity(i, r.service.now())
}

// queueForCapacity makes a subquery wait for a target with capacity, or gives it up
// if the queue of the leaf is full.
func (r *run) queueForCapacity(i int, now time.Duration) {
	sq := &r.subqueries[i]
	if !sq.waiting {
		sq.waiting, sq.waitSince = true, now
	}
	sq.nextActionAt = now + capacityPollInterval
	if !sq.leaf.enqueue(r, i) {
		r.giveUp(sq, query.MissingShed)
	}
}

// retry sends a failed subquery again if maxAttempts and the retry budget allow it,
// and gives it up otherwise.
func (r *run) retry(i int) {
	sq := &r.subqueries[i]
	if sq.attemptCount >= maxAttempts || !r.collection.takeRetry() {
		r.endTrialOfLeg(i)
		r.giveUp(sq, sq.missing)
		return
	}
	r.startOrQueue(i)
}

// ran returns NotRun if provably no target ran the request, and Unknown otherwise.
func (r *run) ran() failure.Ran {
	if r.mayHaveRun {
		return failure.Unknown
	}
	return failure.NotRun
}
