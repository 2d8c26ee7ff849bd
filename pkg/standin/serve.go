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

// ServeHTTP serves the target protocol. It dispatches without a router to keep
// the overhead of every leaf request low.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case targetproto.HealthPath:
		t.serveHealth(w, r)
	case targetproto.LoadPath:
		t.serveLoad(w, r)
	case t.standin.leafStrings.query[t.Leaf]:
		t.serveLeaf(w, r, false)
	case t.standin.leafStrings.order[t.Leaf]:
		t.serveLeaf(w, r, true)
	default:
		http.NotFound(w, r)
	}
}

// serveLeaf counts the request, waits while the target is frozen and handles the
// request.
func (t *target) serveLeaf(w http.ResponseWriter, r *http.Request, isOrder bool) {
	request, err := readLeafRequest(r, isOrder)
	if err != nil || request.requestID == "" {
		http.Error(w, "bad leaf request", http.StatusBadRequest)
		return
	}
	inFlight := t.counters.inFlight.increment()
	defer t.counters.inFlight.decrement()
	t.countRequest(request)
	b := t.behaviour.Load()
	if !waitWhileFrozen(r.Context(), b) {
		t.counters.cancelled.Add(1)
		panic(http.ErrAbortHandler)
	}
	t.admit(w, r, request, b.effectsOn(request, t.counters.requests.Load(), inFlight), b.draining)
}

func (t *target) countRequest(r *leafRequest) {
	t.counters.requests.Add(1)
	t.counters.lastRequestMs.Store(time.Since(t.standin.start).Milliseconds())
	key := leafRequestKey{request: r.requestID, collection: t.Collection, leaf: t.Leaf}
	if !t.standin.seenRequests.add(key) {
		t.counters.extraRequests.Add(1)
	}
}

// admit refuses the request, or processes it once a worker is free.
func (t *target) admit(w http.ResponseWriter, r *http.Request, request *leafRequest, e effects, draining bool) {
	content := (*t.contents.Load())[model.SnapshotID(request.snapshot)]
	switch {
	case draining:
		t.counters.draining.Add(1)
		t.refuse(w, request, http.StatusServiceUnavailable, targetproto.RefusalDraining)
		return
	case e.shed:
		t.counters.shed.Add(1)
		t.refuse(w, request, http.StatusServiceUnavailable, targetproto.RefusalShed)
		return
	case content == nil && !request.isOrder:
		t.counters.notHeld.Add(1)
		t.refuse(w, request, http.StatusConflict, targetproto.RefusalNotHeld)
		return
	}
	switch t.workers.acquire(r.Context(), request) {
	case acquireOK:
		defer t.workers.release()
		t.process(w, r, request, e, content)
	case acquireShed:
		t.counters.shed.Add(1)
		t.refuse(w, request, http.StatusServiceUnavailable, targetproto.RefusalShed)
	case acquireExpired:
		t.replyExpired(w, request)
	case acquireCancelled:
		t.counters.cancelled.Add(1)
		panic(http.ErrAbortHandler)
	}
}

// process simulates the service time and replies.
func (t *target) process(w http.ResponseWriter, r *http.Request, request *leafRequest, e effects, content *leafContent) {
	t.standin.startedRequests.add(request.requestID)
	coldInFlight := t.beginColdRequest()
	defer t.endColdRequest(coldInFlight)
	if t.warmUp.shouldCrash(coldInFlight) {
		t.crash(t.collection.Cold.RestartAfter.Std())
		panic(http.ErrAbortHandler)
	}
	duration := time.Duration(float64(t.collection.ServiceTime.Sample())*e.factor) + e.delay
	duration = t.warmUp.scaleServiceTime(duration, coldInFlight)
	if e.reply == ReplyLate {
		duration, request.timeLeft = request.timeLeft+e.replyDelay, 0
	}
	confirmation, ok := t.simulateService(r.Context(), w, request, e, duration)
	if !ok {
		return
	}
	t.counters.served.Add(1)
	t.warmUp.countServed()
	if request.isOrder {
		t.replyToOrder(w, request, e, confirmation)
		return
	}
	t.replyToQuery(w, request, e, content)
}

// beginColdRequest counts a request at a cold target and returns the number of
// requests that it processes, including this one; at a warm target it returns 0.
func (t *target) beginColdRequest() int64 {
	if !t.warmUp.isCold() {
		return 0
	}
	t.counters.coldRequests.Add(1)
	coldInFlight := t.counters.coldInFlight.increment()
	if t.warmUp.isOverloaded(coldInFlight) {
		t.counters.coldOverloads.Add(1)
		if t.warmUp.isKnownCold() {
			t.counters.knownColdOverloads.Add(1)
		}
	}
	return coldInFlight
}

func (t *target) endColdRequest(coldInFlight int64) {
	if coldInFlight > 0 {
		t.counters.coldInFlight.decrement()
	}
}

// simulateService waits for the service time. It executes an order halfway
// through, so that a crash or a cancellation can happen both before and after
// the execution. It returns the confirmation of an order, and false if the reply
// was already sent.
func (t *target) simulateService(ctx context.Context, w http.ResponseWriter, request *leafRequest, e effects, duration time.Duration) (string, bool) {
	if !t.sleepWithinDeadline(ctx, w, request, duration/2) {
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
		// An executed order is answered even after its deadline.
		request.timeLeft = 0
	}
	if !t.sleepWithinDeadline(ctx, w, request, duration-duration/2) {
		return "", false
	}
	if e.status != 0 {
		t.counters.failed.Add(1)
		t.setHeaders(w, request)
		w.WriteHeader(e.status)
		return "", false
	}
	return confirmation, true
}

// sleepWithinDeadline waits for the duration. If the request's deadline comes
// first, it replies that the deadline has passed and returns false. If the
// request is cancelled, it panics with http.ErrAbortHandler.
func (t *target) sleepWithinDeadline(ctx context.Context, w http.ResponseWriter, request *leafRequest, duration time.Duration) bool {
	expires := false
	if request.timeLeft > 0 {
		remaining := request.timeLeft - time.Since(request.receivedAt)
		expires = remaining < duration
		duration = min(remaining, duration)
	}
	if !sleep(ctx, duration) {
		t.counters.cancelled.Add(1)
		panic(http.ErrAbortHandler)
	}
	if expires {
		t.replyExpired(w, request)
	}
	return !expires
}

func sleep(ctx context.Context, duration time.Duration) bool {
	if duration <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// waitWhileFrozen waits until the target is no longer frozen. It returns false if
// the request is cancelled first.
func waitWhileFrozen(ctx context.Context, b *behaviour) bool {
	if b.freezeCleared == nil {
		return true
	}
	select {
	case <-b.freezeCleared:
		return true
	case <-ctx.Done():
		return false
	}
}

func (t *target) recordOrder(r *leafRequest) string {
	t.counters.ordersRun.Add(1)
	return t.standin.orders.record(r.idempotencyKey, OrderRun{
		Target: t.ID, Boot: *t.boot.Load(), Request: model.RequestID(r.requestID),
	})
}

func (t *target) replyExpired(w http.ResponseWriter, r *leafRequest) {
	t.counters.expired.Add(1)
	t.setHeaders(w, r)
	w.WriteHeader(http.StatusGatewayTimeout)
}

func (t *target) refuse(w http.ResponseWriter, r *leafRequest, status int, refusal targetproto.Refusal) {
	t.setHeaders(w, r)
	w.Header()[targetproto.HeaderRefusal] = []string{string(refusal)}
	w.WriteHeader(status)
}

// setHeaders sets the headers that every reply has.
func (t *target) setHeaders(w http.ResponseWriter, r *leafRequest) {
	h := w.Header()
	h[targetproto.HeaderRequest] = []string{r.requestID}
	h[targetproto.HeaderSnapshot] = []string{r.snapshot}
	h[targetproto.HeaderLeaf] = t.standin.leafStrings.headerValue[t.Leaf]
	h[targetproto.HeaderVersion] = []string{string(t.Version)}
	h[targetproto.HeaderBoot] = []string{string(*t.boot.Load())}
	h[targetproto.HeaderState] = []string{string(t.reportedState())}
	h[targetproto.HeaderLoad] = []string{strconv.FormatInt(t.counters.inFlight.current.Load(), 10)}
}

// reportedState returns the state for a reply. It records a cold state as a
// signal that the target is cold.
func (t *target) reportedState() targetproto.State {
	s := t.state()
	if s == targetproto.StateCold {
		t.warmUp.recordColdSignal()
	}
	return s
}

func (t *target) state() targetproto.State {
	switch {
	case t.behaviour.Load().draining:
		return targetproto.StateDraining
	case t.warmUp.isCold():
		return targetproto.StateCold
	}
	return targetproto.StateWarm
}

// readLeafRequest reads the headers and the whole body. net/http detects a closed
// connection only after the body was read.
func readLeafRequest(r *http.Request, isOrder bool) (*leafRequest, error) {
	request := &leafRequest{
		isOrder:        isOrder,
		idempotencyKey: r.Header.Get(targetproto.HeaderIdempotencyKey),
		requestID:      r.Header.Get(targetproto.HeaderRequest),
		route:          r.Header.Get(targetproto.HeaderRoute),
		snapshot:       r.Header.Get(targetproto.HeaderSnapshot),
		receivedAt:     time.Now(),
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
