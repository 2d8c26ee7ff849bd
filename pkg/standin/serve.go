package standin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/targetproto"
)

const (
	maxBodyBytes    = 1 << 20
	contentTypeJSON = "application/json"
)

var buffers = sync.Pool{New: func() any { return new([]byte) }}

// ServeHTTP serves the target protocol. It uses net/http without a router
// because it stands in the path of every leaf request.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case targetproto.HealthPath:
		t.serveHealth(w, r)
	case targetproto.LoadPath:
		t.serveLoad(w, r)
	case t.standin.paths.query[t.Leaf]:
		t.serveLeaf(w, r, false)
	case t.standin.paths.order[t.Leaf]:
		t.serveLeaf(w, r, true)
	default:
		http.NotFound(w, r)
	}
}

// serveLeaf counts the request in and out and runs it.
func (t *target) serveLeaf(w http.ResponseWriter, r *http.Request, isOrder bool) {
	request, err := readLeafRequest(r, isOrder)
	if err != nil || request.request == "" {
		http.Error(w, "bad leaf request", http.StatusBadRequest)
		return
	}
	inFlight := t.counters.inFlight.add()
	defer t.counters.inFlight.done()
	t.countRequest(request)
	b := t.behaviour.Load()
	if !waitFrozen(r.Context(), b) {
		t.counters.cancelled.Add(1)
		panic(http.ErrAbortHandler)
	}
	t.run(w, r, request, b.effectsOn(request, t.counters.requests.Load(), inFlight), b.draining)
}

func (t *target) countRequest(r *leafRequest) {
	t.counters.requests.Add(1)
	t.counters.lastRequest.Store(time.Since(t.standin.start).Milliseconds())
	attempt := leafAttempt{request: r.request, collection: t.Collection, leaf: t.Leaf}
	if !t.standin.attempts.add(attempt) {
		t.counters.extra.Add(1)
	}
}

// run refuses the request or works on it and replies.
func (t *target) run(w http.ResponseWriter, r *http.Request, request *leafRequest, e effects, draining bool) {
	contents := (*t.contents.Load())[model.SnapshotID(request.snapshot)]
	switch {
	case draining:
		t.counters.draining.Add(1)
		t.refuse(w, request, http.StatusServiceUnavailable, targetproto.RefusalDraining)
		return
	case e.shed:
		t.counters.shed.Add(1)
		t.refuse(w, request, http.StatusServiceUnavailable, targetproto.RefusalShed)
		return
	case contents == nil && !request.isOrder:
		t.counters.notHeld.Add(1)
		t.refuse(w, request, http.StatusConflict, targetproto.RefusalNotHeld)
		return
	}
	switch t.workers.acquire(r.Context(), request) {
	case turnTaken:
		defer t.workers.release()
		t.work(w, r, request, e, contents)
	case turnShed:
		t.counters.shed.Add(1)
		t.refuse(w, request, http.StatusServiceUnavailable, targetproto.RefusalShed)
	case turnExpired:
		t.expire(w, request)
	case turnCancelled:
		t.counters.cancelled.Add(1)
		panic(http.ErrAbortHandler)
	}
}

// work spends the service time and replies.
func (t *target) work(w http.ResponseWriter, r *http.Request, request *leafRequest, e effects, contents *leafContent) {
	t.standin.ran.add(request.request)
	inFlight := t.enterCold()
	defer t.leaveCold(inFlight)
	if t.warmth.crashes(inFlight) {
		t.crash(t.collection.Cold.RestartAfter.Std())
		panic(http.ErrAbortHandler)
	}
	span := time.Duration(float64(t.collection.ServiceTime.Sample())*e.factor) + e.delay
	span = t.warmth.serviceTime(span, inFlight)
	if e.reply == ReplyLate {
		span, request.timeLeft = request.timeLeft+e.replyDelay, 0
	}
	confirmation, ok := t.spend(r.Context(), w, request, e, span)
	if !ok {
		return
	}
	t.counters.served.Add(1)
	t.warmth.served()
	if request.isOrder {
		t.replyToOrder(w, request, e, confirmation)
		return
	}
	t.replyToQuery(w, request, e, contents)
}

// enterCold counts a request in at a cold target and returns the number in
// progress there; a warm target returns 0.
func (t *target) enterCold() int64 {
	if !t.warmth.isCold() {
		return 0
	}
	t.counters.coldRequests.Add(1)
	inFlight := t.counters.coldFlight.add()
	if t.warmth.overloaded(inFlight) {
		t.counters.coldOverloads.Add(1)
		if t.warmth.isKnownCold() {
			t.counters.knownColdOverloads.Add(1)
		}
	}
	return inFlight
}

func (t *target) leaveCold(inFlight int64) {
	if inFlight > 0 {
		t.counters.coldFlight.done()
	}
}

// spend lets the service time pass. An order runs at half of it, so that a
// crash or a cancellation finds it both before and after its run. It returns
// the confirmation of an order, and false if the reply was sent already.
func (t *target) spend(ctx context.Context, w http.ResponseWriter, request *leafRequest, e effects, span time.Duration) (string, bool) {
	if !t.pass(ctx, w, request, span/2) {
		return "", false
	}
	confirmation := ""
	if request.isOrder && e.status == 0 {
		confirmation = t.recordOrder(request)
	}
	if e.crash {
		t.crash(e.restartAfter)
		panic(http.ErrAbortHandler)
	}
	if request.isOrder {
		// An order that ran is answered also when its deadline is over.
		request.timeLeft = 0
	}
	if !t.pass(ctx, w, request, span-span/2) {
		return "", false
	}
	if e.status != 0 {
		t.counters.failed.Add(1)
		t.writeHeaders(w, request)
		w.WriteHeader(e.status)
		return "", false
	}
	return confirmation, true
}

// pass waits for the span. It gives up at the request's deadline or when the
// request is cancelled, and then returns false.
func (t *target) pass(ctx context.Context, w http.ResponseWriter, request *leafRequest, span time.Duration) bool {
	expires := false
	if request.timeLeft > 0 {
		left := request.timeLeft - time.Since(request.received)
		expires = left < span
		span = min(left, span)
	}
	if !sleep(ctx, span) {
		t.counters.cancelled.Add(1)
		panic(http.ErrAbortHandler)
	}
	if expires {
		t.expire(w, request)
	}
	return !expires
}

func sleep(ctx context.Context, span time.Duration) bool {
	if span <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// waitFrozen waits until the target is not frozen and returns false if the
// request is cancelled before.
func waitFrozen(ctx context.Context, b *behaviour) bool {
	if b.frozen == nil {
		return true
	}
	select {
	case <-b.frozen:
		return true
	case <-ctx.Done():
		return false
	}
}

func (t *target) recordOrder(r *leafRequest) string {
	t.counters.ordersRun.Add(1)
	return t.standin.orders.record(r.key, OrderRun{
		Target: t.ID, Boot: *t.boot.Load(), Request: model.RequestID(r.request),
	})
}

func (t *target) expire(w http.ResponseWriter, r *leafRequest) {
	t.counters.expired.Add(1)
	t.writeHeaders(w, r)
	w.WriteHeader(http.StatusGatewayTimeout)
}

func (t *target) refuse(w http.ResponseWriter, r *leafRequest, status int, refusal targetproto.Refusal) {
	t.writeHeaders(w, r)
	w.Header()[targetproto.HeaderRefusal] = []string{string(refusal)}
	w.WriteHeader(status)
}

// writeHeaders sets the headers of every reply.
func (t *target) writeHeaders(w http.ResponseWriter, r *leafRequest) {
	h := w.Header()
	h[targetproto.HeaderRequest] = []string{r.request}
	h[targetproto.HeaderSnapshot] = []string{r.snapshot}
	h[targetproto.HeaderLeaf] = t.standin.paths.name[t.Leaf]
	h[targetproto.HeaderVersion] = []string{string(t.Version)}
	h[targetproto.HeaderBoot] = []string{string(*t.boot.Load())}
	h[targetproto.HeaderState] = []string{string(t.statedState())}
	h[targetproto.HeaderLoad] = []string{strconv.FormatInt(t.counters.inFlight.now.Load(), 10)}
}

// statedState returns the state for a reply and notes when it is cold.
func (t *target) statedState() targetproto.State {
	s := t.state()
	if s == targetproto.StateCold {
		t.warmth.shown()
	}
	return s
}

func (t *target) state() targetproto.State {
	switch {
	case t.behaviour.Load().draining:
		return targetproto.StateDraining
	case t.warmth.isCold():
		return targetproto.StateCold
	}
	return targetproto.StateWarm
}

// readLeafRequest reads the headers and the whole body. The server notices a
// closed connection only after that.
func readLeafRequest(r *http.Request, isOrder bool) (*leafRequest, error) {
	request := &leafRequest{
		isOrder:  isOrder,
		key:      r.Header.Get(targetproto.HeaderIdempotencyKey),
		request:  r.Header.Get(targetproto.HeaderRequest),
		route:    r.Header.Get(targetproto.HeaderRoute),
		snapshot: r.Header.Get(targetproto.HeaderSnapshot),
		received: time.Now(),
	}
	if left, err := strconv.ParseInt(r.Header.Get(targetproto.HeaderDeadline), 10, 64); err == nil {
		request.timeLeft = time.Duration(max(left, 1)) * time.Millisecond
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return nil, err
	}
	if isOrder {
		return request, json.Unmarshal(body, &request.order)
	}
	return request, json.Unmarshal(body, &request.QueryRequest)
}
