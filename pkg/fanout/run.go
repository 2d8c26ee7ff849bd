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
	// pollInterval is how often a waiting subquery checks again: for capacity,
	// because targets may become free without an attempt ending, for the end of a
	// trial, a probe or a death check, and for a quarantine to come into force.
	// A suspect request renews its reservation of a target at each check.
	pollInterval = 10 * time.Millisecond
	// hedgeTimerSlack is how early a hedge may be sent, so that hedges due at
	// about the same time share one timer.
	hedgeTimerSlack = 250 * time.Microsecond
)

// attempt is one request of a subquery to a target. Its fields are kept after it ends, for Explain.
type attempt struct {
	target  *targetState
	cancel  context.CancelFunc
	started time.Duration
	elapsed time.Duration
	kind    target.Kind
	ended   bool
	hedge   bool
	// alone is set if this is the only request at the target, as a trial.
	alone bool
}

// subquery is the part of a query that runs at one leaf.
type subquery struct {
	leaf         *leaf
	attempts     [maxAttempts]attempt
	attemptCount int
	openAttempts int
	// nextActionAt is when the subquery is hedged or tries again to get a target; 0
	// means never, and any time in the past, such as 1, means at once.
	nextActionAt time.Duration
	// hedgeDelay is the delay after which the last attempt is hedged.
	hedgeDelay   time.Duration
	waiting      bool
	waitSince    time.Duration
	capacityWait time.Duration
	answered     bool
	givenUp      bool
	// held is set while the subquery waits for a trial or a probe to finish.
	held  bool
	reply *targetproto.QueryReply
	// missingReason is why the last attempt failed and, once the subquery is given up,
	// why it has no answer.
	missingReason query.MissingReason
}

// pass is one pass of a query over the leaves of one snapshot. Only the goroutine
// that executes it may access the fields that change, except for queue and
// deathChecks.
type pass struct {
	service    *Service
	collection *collection
	request    *query.Request
	plan       *plan
	// choice is from the start of the pass, or from the last attempt after a wait.
	choice      versions.Choice
	fingerprint model.Fingerprint

	ctx    context.Context
	queue  eventQueue
	random *rand.Rand

	body       []byte
	header     http.Header
	started    time.Duration
	subqueries []subquery
	pending    int
	// mayHaveRun is set once an attempt ends without proof that it was not run, or is
	// still open when the pass ends.
	mayHaveRun bool
	// lostSnapshot is set if a leaf has no target left that holds the snapshot.
	lostSnapshot bool
	trial        trial
	probe        requestProbe
	// deathChecks counts the attempts whose target is being checked for a death;
	// no hedges are sent meanwhile.
	deathChecks atomic.Int32
}

func (s *Service) newPass(ctx context.Context, c *collection, p *plan, r *query.Request, f model.Fingerprint) *pass {
	now := s.now()
	n := len(p.leaves)
	return &pass{
		service:     s,
		collection:  c,
		request:     r,
		plan:        p,
		choice:      c.chooseVersions(s.views.View(), r.Caller, r.ID),
		fingerprint: f,
		ctx:         ctx,
		queue:       eventQueue{ready: make(chan struct{}, 1)},
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
func (p *pass) execute() {
	p.collection.earnBudget(len(p.subqueries))
	for i := range p.subqueries {
		p.subqueries[i].leaf = p.plan.leaves[i]
	}
	p.setTrialIfSuspect()
	p.startProbeIfNew()
	for i := range p.subqueries {
		p.startOrQueue(i)
	}
	p.handleEvents()
	p.giveUpPending()
	p.endTrial()
}

// handleEvents handles results, wakeups and timers until no subquery is pending or
// the context is done.
func (p *pass) handleEvents() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	due := p.resetTimer(timer, 0)
	var results []attemptResult
	var wakeups []int
	for p.pending > 0 {
		select {
		case <-p.queue.ready:
			results, wakeups = p.queue.takeAll(results, wakeups)
			if p.applyEvents(results, wakeups) {
				due = p.resetTimer(timer, due)
			}
		case <-timer.C:
			p.handleTimer()
			due = p.resetTimer(timer, 0)
		case <-p.ctx.Done():
			return
		}
	}
}

// applyEvents handles results and wakeups and reports whether the timer has to be
// set again.
func (p *pass) applyEvents(results []attemptResult, wakeups []int) bool {
	changed := false
	for i := range results {
		changed = p.applyResult(&results[i]) || changed
	}
	for _, i := range wakeups {
		if p.subqueries[i].waiting {
			p.startOrQueue(i)
			changed = true
		}
	}
	return changed
}

// applyResult handles the end of an attempt and reports whether the timer has to be
// set again.
func (p *pass) applyResult(result *attemptResult) bool {
	sq := &p.subqueries[result.subquery]
	sq.openAttempts--
	a := &sq.attempts[result.attempt]
	a.ended, a.kind, a.elapsed = true, result.kind, result.elapsed
	if !result.kind.NotRun() {
		p.mayHaveRun = true
	}
	p.updateTrial(a, result)
	p.endProbeOnAnswer(result)
	if sq.done() {
		return p.trial.takeScheduleChange()
	}
	if result.kind == target.KindOK {
		p.acceptReply(sq, result)
		return p.trial.takeScheduleChange()
	}
	sq.missingReason = missingReason(result.kind)
	if result.kind == target.KindNotHeld {
		p.collection.replanNeeded.Store(true)
	}
	if result.kind == target.KindShed {
		p.collection.pauseHedges(p.service.now())
	}
	if sq.openAttempts > 0 {
		return false
	}
	// Only the last attempt can be taken back (see requeue).
	if result.kind == target.KindShed && result.attempt == sq.attemptCount-1 {
		p.requeue(result.subquery)
		return true
	}
	p.retry(result.subquery)
	return true
}

func (sq *subquery) done() bool { return sq.answered || sq.givenUp }

// acceptReply records the first good reply and cancels the other attempts.
func (p *pass) acceptReply(sq *subquery, result *attemptResult) {
	sq.answered, sq.reply, sq.missingReason = true, result.reply, ""
	sq.nextActionAt = 0
	p.pending--
	for i := range sq.attempts[:sq.attemptCount] {
		if a := &sq.attempts[i]; !a.ended {
			a.cancel()
		}
	}
}

// giveUp ends a subquery without an answer.
func (p *pass) giveUp(sq *subquery, reason query.MissingReason) {
	sq.missingReason, sq.givenUp = reason, true
	sq.nextActionAt, sq.waiting, sq.held = 0, false, false
	p.pending--
}

// giveUpPending gives up the subqueries that are still pending when the pass ends.
func (p *pass) giveUpPending() {
	for i := range p.subqueries {
		sq := &p.subqueries[i]
		if sq.done() {
			continue
		}
		reason := query.MissingDeadline
		if sq.waiting && sq.attemptCount == 0 {
			reason = query.MissingShed
		}
		if sq.openAttempts > 0 {
			p.mayHaveRun = true
		}
		if sq.waiting {
			sq.leaf.removeWaiters(p)
			sq.capacityWait += p.service.now() - sq.waitSince
		}
		p.giveUp(sq, reason)
	}
}

// startOrQueue starts the next attempt of a subquery that has none open, or queues
// the subquery for capacity.
func (p *pass) startOrQueue(i int) {
	sq := &p.subqueries[i]
	if sq.leaf == nil {
		p.giveUp(sq, query.MissingNoTarget)
		return
	}
	now := p.service.now()
	if !p.maySend(i, now) {
		return
	}
	switch p.tryAttempt(i, now, false) {
	case available:
		if sq.waiting {
			sq.waiting = false
			sq.capacityWait += now - sq.waitSince
		}
		p.scheduleHedge(sq, now)
	case noCapacity:
		p.queueForCapacity(i, now)
	case noSnapshot:
		p.lostSnapshot = true
		p.giveUp(sq, query.MissingNotHeld)
	default:
		p.giveUp(sq, reasonWithoutTarget(sq))
	}
}

// ran returns NotRun if provably no target ran the request, and Unknown otherwise.
func (p *pass) ran() failure.Ran {
	if p.mayHaveRun {
		return failure.Unknown
	}
	return failure.NotRun
}
