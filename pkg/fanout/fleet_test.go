package fanout_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/fanout"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/platform"
	"radishturn.example/radishturn/pkg/settings"
	"radishturn.example/radishturn/pkg/targetproto"
	"radishturn.example/radishturn/pkg/view"
)

const (
	shop             = model.CollectionID("shopfront")
	documentsPerLeaf = 100
)

var zones = []model.AvailabilityZoneID{"zone-a", "zone-b", "zone-c"}

// fakeTarget answers the target protocol. Its fields change how it answers.
type fakeTarget struct {
	target model.Target
	server *httptest.Server

	mu    sync.Mutex
	asked int
	// requests are the IDs of all requests that came.
	requests  []string
	connected int
	mostConns int
	queries   int
	crashes   int
	ordered   int
	boot      model.BootID
	state     targetproto.State
	snapshots []model.SnapshotID
	documents int
	status    int
	refusal   targetproto.Refusal
	// refuseNext ends the refusal after as many requests; 0 means never.
	refuseNext int
	hangUp     bool
	// crash closes the connections of requests with this text.
	crash string
	// hold delays answers until it is closed or the request is cancelled.
	hold chan struct{}
	// healthDelay delays health hints, and latency answers.
	healthDelay, latency time.Duration
	// edit changes a reply before it is sent.
	edit     func(*targetproto.QueryReply)
	inFlight int
	peak     int
}

func (t *fakeTarget) runs() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.queries
}

func (t *fakeTarget) inFlightNow() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.inFlight
}

// askedFor counts the requests of a warm-up that came, also those that were
// given up since a hedge was faster and that come late.
func (t *fakeTarget) askedFor(name string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, id := range t.requests {
		if strings.HasPrefix(id, string(askFor(name).ID)) {
			n++
		}
	}
	return n
}

// set changes the target while it serves.
func (t *fakeTarget) set(change func(*fakeTarget)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change(t)
}

func (t *fakeTarget) countConnection(_ net.Conn, state http.ConnState) {
	t.set(func(t *fakeTarget) {
		switch state {
		case http.StateNew:
			t.connected++
		case http.StateClosed, http.StateHijacked:
			t.connected--
		}
		t.mostConns = max(t.mostConns, t.connected)
	})
}

// see returns a value of the target while it serves.
func see[T any](t *fakeTarget, read func(*fakeTarget) T) T {
	t.mu.Lock()
	defer t.mu.Unlock()
	return read(t)
}

func (t *fakeTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == targetproto.HealthPath {
		t.serveHealth(w)
		return
	}
	t.mu.Lock()
	t.asked++
	t.requests = append(t.requests, r.Header.Get(targetproto.HeaderRequest))
	held := t.snapshots
	status, refusal, hangUp, hold, crash := t.status, t.refusal, t.hangUp, t.hold, t.crash
	boot, state := t.boot, t.state
	if t.refuseNext > 0 {
		if t.refuseNext--; t.refuseNext == 0 {
			t.refusal = ""
		}
	}
	t.mu.Unlock()
	h := w.Header()
	h.Set(targetproto.HeaderRequest, r.Header.Get(targetproto.HeaderRequest))
	h.Set(targetproto.HeaderLeaf, t.target.Leaf.String())
	h.Set(targetproto.HeaderBoot, string(boot))
	h.Set(targetproto.HeaderState, string(state))
	h.Set(targetproto.HeaderSnapshot, r.Header.Get(targetproto.HeaderSnapshot))
	isOrder := strings.HasSuffix(r.URL.Path, "/order")
	snapshot := model.SnapshotID(r.Header.Get(targetproto.HeaderSnapshot))
	switch {
	case !isOrder && !slices.Contains(held, snapshot):
		h.Set(targetproto.HeaderRefusal, string(targetproto.RefusalNotHeld))
		w.WriteHeader(http.StatusConflict)
		return
	case refusal != "":
		h.Set(targetproto.HeaderRefusal, string(refusal))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if isOrder {
		t.serveOrder(w, r, hangUp)
		return
	}
	t.serveQuery(w, r, snapshot, status, hangUp, hold, crash)
}

func (t *fakeTarget) serveHealth(w http.ResponseWriter) {
	time.Sleep(see(t, func(t *fakeTarget) time.Duration { return t.healthDelay }))
	t.mu.Lock()
	defer t.mu.Unlock()
	writeJSON(w, targetproto.Health{Healthy: true, State: t.state, Boot: t.boot, Snapshots: t.snapshots})
}

func (t *fakeTarget) serveOrder(w http.ResponseWriter, r *http.Request, hangUp bool) {
	t.set(func(t *fakeTarget) { t.ordered++ })
	if hangUp {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, targetproto.OrderReply{
		Request: model.RequestID(r.Header.Get(targetproto.HeaderRequest)), Leaf: t.target.Leaf, Confirmation: "c-1",
	})
}

func (t *fakeTarget) serveQuery(w http.ResponseWriter, r *http.Request, snapshot model.SnapshotID, status int, hangUp bool, hold chan struct{}, crash string) {
	var body targetproto.QueryRequest
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	t.set(func(t *fakeTarget) { t.queries++; t.inFlight++; t.peak = max(t.peak, t.inFlight) })
	defer t.set(func(t *fakeTarget) { t.inFlight-- })
	time.Sleep(see(t, func(t *fakeTarget) time.Duration { return t.latency }))
	if hold != nil {
		select {
		case <-hold:
		case <-r.Context().Done():
			return
		}
	}
	switch {
	case crash != "" && body.Query == crash:
		t.set(func(t *fakeTarget) { t.boot += "+"; t.crashes++ })
		panic(http.ErrAbortHandler)
	case hangUp:
		panic(http.ErrAbortHandler)
	case status != 0:
		w.WriteHeader(status)
		return
	}
	reply := targetproto.QueryReply{
		Request: model.RequestID(r.Header.Get(targetproto.HeaderRequest)), Leaf: t.target.Leaf,
		Snapshot: snapshot, Documents: t.documents,
	}
	for i := range body.Limit {
		reply.Hits = append(reply.Hits, targetproto.Hit{ID: fmt.Sprintf("%s-%d", t.target.Leaf, i), Score: float64(i)})
	}
	if t.edit != nil {
		t.edit(&reply)
	}
	writeJSON(w, reply)
}

func writeJSON(w http.ResponseWriter, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	_, _ = w.Write(body)
}

// fleet is a Service with fake targets, platform and lease.
type fleet struct {
	service *fanout.Service
	targets []*fakeTarget
	lease   view.LeaseState
	config  settings.Settings

	mu       sync.Mutex
	list     *platform.List
	view     *view.View
	evidence []view.Evidence
}

func (f *fleet) List() *platform.List     { f.mu.Lock(); defer f.mu.Unlock(); return f.list }
func (f *fleet) View() *view.View         { f.mu.Lock(); defer f.mu.Unlock(); return f.view }
func (f *fleet) Lease() view.LeaseState   { return f.lease }
func (f *fleet) LeaseLeft() time.Duration { return time.Second }
func (f *fleet) Report(e view.Evidence) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.evidence = append(f.evidence, e)
}

// setView publishes a changed copy of the view and lets the service take it in.
func (f *fleet) setView(change func(*view.View)) {
	f.mu.Lock()
	v := *f.view
	change(&v)
	f.view = &v
	f.mu.Unlock()
	f.service.Refresh()
}

// listSnapshots publishes a list with other snapshots.
func (f *fleet) listSnapshots(all ...model.Snapshot) {
	f.mu.Lock()
	list := *f.list
	list.Snapshots = all
	f.list = &list
	f.mu.Unlock()
	f.service.Refresh()
}

// each changes every target of a leaf.
func (f *fleet) each(leaf int, change func(*fakeTarget)) {
	for _, t := range f.targets {
		if t.target.Leaf.Leaf == leaf {
			t.set(change)
		}
	}
}

// runsOf returns how many queries the targets of a leaf have run.
func (f *fleet) runsOf(leaf int) int {
	n := 0
	f.each(leaf, func(t *fakeTarget) { n += t.queries })
	return n
}

func (f *fleet) orders() int {
	n := 0
	for _, t := range f.targets {
		t.mu.Lock()
		n += t.ordered
		t.mu.Unlock()
	}
	return n
}

// warmUp asks until every target that may get work was reported as warm.
func (f *fleet) warmUp() { f.warmUpAs("warm-up") }

// warmUpAs is warmUp with requests of its own, which askedFor tells from others.
func (f *fleet) warmUpAs(name string) {
	for n := 0; n < 60 || (n < 3000 && !f.allWarm()); n++ {
		_, err := f.service.Query(context.Background(), askFor(fmt.Sprintf("%s-%d", name, n%3)))
		Expect(err).NotTo(HaveOccurred())
	}
}

func (f *fleet) allWarm() bool {
	warm := make(map[model.TargetID]bool)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.evidence {
		for _, sign := range e.Warm {
			warm[sign.Target] = true
		}
	}
	return len(warm) == len(f.targets)
}

func (f *fleet) crashes() int {
	n := 0
	for _, t := range f.targets {
		n += see(t, func(t *fakeTarget) int { return t.crashes })
	}
	return n
}

// newFleet starts warm targets that hold snapshot s1. options change the
// settings before the service starts.
func newFleet(leaves, slots int, options ...func(*settings.Collection)) *fleet {
	collection := settings.Collection{
		ID: shop, Services: 1, Leaves: leaves, Slots: slots, Connections: 8, ColdLoad: 2,
		Policy: settings.PreferTime, HedgeBudget: 0.05,
	}
	for _, option := range options {
		option(&collection)
	}
	f := &fleet{
		lease: view.LeaseHeld,
		list:  &platform.List{Snapshots: []model.Snapshot{snapshotOf("s1", 1, leaves)}},
		view:  &view.View{Grants: map[model.TargetID]view.Grant{}, Instances: []model.Instance{{ID: "i-1"}}},
	}
	for leaf := range leaves {
		for slot := range slots {
			f.addTarget(model.LeafID{Service: "svc", Leaf: leaf}, slot)
		}
	}
	f.config = settings.Settings{
		Instance:    settings.Instance{ID: "i-1", MaxInFlight: 64},
		Collections: []settings.Collection{collection},
	}
	f.start()
	return f
}

func (f *fleet) start() {
	origin := time.Now()
	f.service = fanout.NewService(fanout.Config{
		Settings: &f.config, Platform: f, View: f, Reporter: f,
		Now: func() time.Duration { return time.Since(origin) },
	})
	f.service.Refresh()
	DeferCleanup(f.service.Close)
}

func (f *fleet) addTarget(leaf model.LeafID, slot int) *fakeTarget {
	t := &fakeTarget{
		boot: "b1", state: targetproto.StateWarm, documents: documentsPerLeaf,
		snapshots: []model.SnapshotID{"s1"},
	}
	t.server = httptest.NewUnstartedServer(t)
	t.server.Config.ConnState = t.countConnection
	t.server.Start()
	DeferCleanup(t.server.Close)
	t.target = model.Target{
		ID: model.NewTargetID(shop, leaf, slot), Collection: shop, Leaf: leaf, Slot: slot,
		Address:          netip.MustParseAddrPort(t.server.Listener.Addr().String()),
		AvailabilityZone: zones[slot%len(zones)], Version: "1",
	}
	f.targets = append(f.targets, t)
	f.list.Targets = append(f.list.Targets, t.target)
	f.view.Grants[t.target.ID] = view.Grant{Connections: 8, ColdLoad: 2}
	return t
}

func snapshotOf(id model.SnapshotID, sequence uint64, leaves int) model.Snapshot {
	s := model.Snapshot{Collection: shop, ID: id, Sequence: sequence}
	for leaf := range leaves {
		part := model.LeafPart{Leaf: model.LeafID{Service: "svc", Leaf: leaf}, Documents: documentsPerLeaf}
		s.Leaves = append(s.Leaves, part)
	}
	return s
}

// reported says whether evidence that fulfils the condition was reported.
func (f *fleet) reported(condition func(view.Evidence) bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.ContainsFunc(f.evidence, condition)
}
