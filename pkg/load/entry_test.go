package load_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/order"
	"radishturn.example/radishturn/pkg/platform"
	"radishturn.example/radishturn/pkg/query"
	"radishturn.example/radishturn/pkg/standin/content"
	"radishturn.example/radishturn/pkg/targetproto"
)

// defect is a fault injected into a simpleEntry, for the checker to find.
type defect int

const (
	noDefect defect = iota
	hideMissing
	dropHits
	answerOtherQuery
	runOrderTwice
	answerNotRunAfterOrder
	answerNotRunAfterQuery
	otherSnapshotHit
	changeRequestID
)

// simpleEntry is a fake entry without retries, hedging or limits: it queries the
// first target of each leaf once. Tests run the load tool and its checker against
// it.
type simpleEntry struct {
	list          platform.List
	client        *http.Client
	defect        defect
	requests      atomic.Int64
	previousQuery atomic.Value
	mu            sync.Mutex
	confirmations map[string]string
}

func startSimpleEntry(platformAddress netip.AddrPort, d defect) (netip.AddrPort, func()) {
	e := &simpleEntry{
		defect:        d,
		client:        &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 30}},
		confirmations: make(map[string]string),
	}
	response, err := http.Get("http://" + platformAddress.String() + platform.ListPath)
	if err != nil {
		panic(err)
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(&e.list); err != nil {
		panic(err)
	}
	server := httptest.NewServer(e)
	return netip.MustParseAddrPort(server.Listener.Addr().String()), func() {
		server.Close()
		e.client.CloseIdleConnections()
	}
}

func (e *simpleEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		return // readiness check: status 200
	}
	id := model.RequestID(fmt.Sprintf("%s-%d", r.Host, e.requests.Add(1)))
	timeout, _ := strconv.Atoi(r.Header.Get("Request-Timeout"))
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(timeout)*time.Millisecond)
	defer cancel()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if strings.HasSuffix(r.URL.Path, "/orders") {
		e.serveOrder(ctx, w, id, r.Header.Get("Idempotency-Key"), body)
		return
	}
	e.serveQuery(ctx, w, id, r.Header.Get("Request-Timeout"), body)
}

func (e *simpleEntry) serveQuery(ctx context.Context, w http.ResponseWriter, id model.RequestID, timeout string, body []byte) {
	var request targetproto.QueryRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return
	}
	if e.defect == answerOtherQuery {
		if previous, ok := e.previousQuery.Swap(request.Query).(string); ok {
			request.Query = previous
		}
	}
	snapshot := e.list.Snapshots[0]
	targetRequestID := id
	if e.defect == changeRequestID {
		targetRequestID += "-other"
	}
	answer := query.Answer{RequestID: id, Snapshot: snapshot.ID}
	replies := e.queryLeaves(ctx, snapshot, targetRequestID, timeout, request)
	for i, part := range snapshot.Leaves {
		answer.Coverage.Total += part.Documents
		if replies[i] == nil {
			missing := query.MissingLeaf{Service: part.Leaf.Service, Leaf: part.Leaf.Leaf, Reason: query.MissingFailed}
			answer.Coverage.Missing = append(answer.Coverage.Missing, missing)
			continue
		}
		answer.Coverage.Answered += part.Documents
		answer.Hits = append(answer.Hits, replies[i].Hits...)
	}
	answer.Coverage.Fraction = float64(answer.Coverage.Answered) / float64(answer.Coverage.Total)
	content.SortHits(answer.Hits)
	answer.Hits = answer.Hits[:min(request.Limit, len(answer.Hits))]
	e.applyDefect(&answer)
	if e.defect == answerNotRunAfterQuery {
		writeProblem(w, failure.Overloaded, failure.NotRun, id)
		return
	}
	writeBody(w, answer)
}

func (e *simpleEntry) applyDefect(a *query.Answer) {
	switch e.defect {
	case hideMissing:
		a.Coverage.Answered, a.Coverage.Fraction, a.Coverage.Missing = a.Coverage.Total, 1, nil
	case dropHits:
		a.Hits = a.Hits[1:]
	case otherSnapshotHit:
		a.Hits[0].ID = strings.Replace(a.Hits[0].ID, "/s1/", "/s2/", 1)
	}
}

func (e *simpleEntry) queryLeaves(ctx context.Context, s model.Snapshot, id model.RequestID, timeout string, request targetproto.QueryRequest) []*targetproto.QueryReply {
	replies := make([]*targetproto.QueryReply, len(s.Leaves))
	encoded, err := json.Marshal(request)
	if err != nil {
		return replies
	}
	var wg sync.WaitGroup
	for i, part := range s.Leaves {
		wg.Go(func() {
			reply := new(targetproto.QueryReply)
			target := e.targetOf(part.Leaf)
			headers := map[string]string{
				targetproto.HeaderRequest:  string(id),
				targetproto.HeaderSnapshot: string(s.ID),
				targetproto.HeaderDeadline: timeout,
			}
			if e.post(ctx, target, targetproto.QueryPath(part.Leaf), headers, encoded, reply) == nil {
				replies[i] = reply
			}
		})
	}
	wg.Wait()
	return replies
}

func (e *simpleEntry) targetOf(l model.LeafID) model.Target {
	for _, t := range e.list.Targets {
		if t.Leaf == l {
			return t
		}
	}
	panic("no target for leaf " + l.String())
}

func (e *simpleEntry) post(ctx context.Context, t model.Target, path string, headers map[string]string, body []byte, into any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+t.Address.String()+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.GetBody = nil
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	response, err := e.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return json.NewDecoder(response.Body).Decode(into)
}

func (e *simpleEntry) serveOrder(ctx context.Context, w http.ResponseWriter, id model.RequestID, key string, body []byte) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if confirmation, ok := e.confirmations[key]; ok && e.defect != runOrderTwice {
		writeBody(w, order.Result{RequestID: id, Confirmation: confirmation, Repeated: true})
		return
	}
	var request targetproto.OrderRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return
	}
	leaf := model.LeafID{Service: model.ServiceID(strings.Split(request.LeafKey, "/")[0]), Leaf: 1}
	headers := map[string]string{targetproto.HeaderRequest: string(id), targetproto.HeaderIdempotencyKey: key}
	var reply targetproto.OrderReply
	err := e.post(ctx, e.targetOf(leaf), targetproto.OrderPath(leaf), headers, body, &reply)
	switch {
	case e.defect == answerNotRunAfterOrder:
		writeProblem(w, failure.Overloaded, failure.NotRun, id)
	case err != nil:
		writeProblem(w, failure.OutcomeUnknown, failure.Unknown, id)
	default:
		e.confirmations[key] = reply.Confirmation
		writeBody(w, order.Result{RequestID: id, Confirmation: reply.Confirmation})
	}
}

func writeProblem(w http.ResponseWriter, code failure.Code, ran failure.Ran, id model.RequestID) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(http.StatusServiceUnavailable)
	writeBody(w, map[string]any{"code": code, "ran": ran, "requestId": id, "step": "test"})
}

func writeBody(w io.Writer, v any) {
	if err := json.NewEncoder(w).Encode(v); err != nil {
		panic(err)
	}
}
