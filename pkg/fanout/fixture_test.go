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
	"golang.org/x/sys/unix"

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

// fakeTarget is a server of the target protocol whose fields control its replies.
type fakeTarget struct {
	target model.Target
	server *httptest.Server

	mu           sync.Mutex
	requestCount int
	// requestIDs are the IDs of all requests received.
	requestIDs   []string
	conns        map[net.Conn]bool
	maxOpenConns int
	// healthInFlight counts the health requests being answered.
	healthInFlight int
	queriesRun     int
	crashes        int
	ordersRun      int
	boot           model.BootID
	state          targetproto.State
	snapshots      []model.SnapshotID
	documents      int
	status         int
	refusal        targetproto.Refusal
	// refusalsLeft is the number of requests after which refusal is cleared; 0 means
	// that it is never cleared.
	refusalsLeft int
	hangUp       bool
	// crashQuery is the query text that makes the target close the connection and
	// restart; empty for none.
	crashQuery string
	// hold delays replies until it is closed or the request is cancelled.
	hold chan struct{}
	// healthDelay delays health hints, and latency delays query replies.
	healthDelay, latency time.Duration
	// editReply modifies a reply before it is sent.
	editReply    func(*targetproto.QueryReply)
	inFlight     int
	peakInFlight int
}

func (t *fakeTarget) runCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.queriesRun
}

func (t *fakeTarget) inFlightNow() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.inFlight
}

// requestsWithPrefix counts the requests received whose query text begins with text.
// That includes attempts that lost to a faster hedge and arrive late.
func (t *fakeTarget) requestsWithPrefix(text string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, id := range t.requestIDs {
		if strings.HasPrefix(id, string(newQuery(text).ID)) {
			n++
		}
	}
	return n
}

// set changes the target's fields under its lock.
func (t *fakeTarget) set(change func(*fakeTarget)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change(t)
}

// countConnection counts the connections that the client holds open whenever a new
// one arrives. The server learns of a close only when a goroutine reads the end of
// the connection, so the kernel is asked which connections the client has closed.
func (t *fakeTarget) countConnection(c net.Conn, state http.ConnState) {
	t.set(func(t *fakeTarget) {
		switch state {
		case http.StateNew:
			t.conns[c] = true
		case http.StateClosed, http.StateHijacked:
			delete(t.conns, c)
		}
		open := 0
		for c := range t.conns {
			if isEstablished(c.(*net.TCPConn)) {
				open++
			}
		}
		t.maxOpenConns = max(t.maxOpenConns, open)
	})
}

// tcpEstablished is the state of a TCP connection that neither side has closed.
const tcpEstablished = 1

func isEstablished(c *net.TCPConn) bool {
	established := false
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	_ = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		established = err == nil && info.State == tcpEstablished
	})
	return established
}

// readField returns a value read from the target under its lock.
func readField[T any](t *fakeTarget, read func(*fakeTarget) T) T {
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
	t.requestCount++
	t.requestIDs = append(t.requestIDs, r.Header.Get(targetproto.HeaderRequest))
	held := t.snapshots
	status, refusal, hangUp, hold, crash := t.status, t.refusal, t.hangUp, t.hold, t.crashQuery
	boot, state := t.boot, t.state
	if t.refusalsLeft > 0 {
		if t.refusalsLeft--; t.refusalsLeft == 0 {
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
	t.set(func(t *fakeTarget) { t.healthInFlight++ })
	time.Sleep(readField(t, func(t *fakeTarget) time.Duration { return t.healthDelay }))
	t.mu.Lock()
	t.healthInFlight--
	defer t.mu.Unlock()
	writeJSON(w, targetproto.Health{Healthy: true, State: t.state, Boot: t.boot, Snapshots: t.snapshots})
}

func (t *fakeTarget) serveOrder(w http.ResponseWriter, r *http.Request, hangUp bool) {
	t.set(func(t *fakeTarget) { t.ordersRun++ })
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
	t.set(func(t *fakeTarget) { t.queriesRun++; t.inFlight++; t.peakInFlight = max(t.peakInFlight, t.inFlight) })
	defer t.set(func(t *fakeTarget) { t.inFlight-- })
	time.Sleep(readField(t, func(t *fakeTarget) time.Duration { return t.latency }))
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
	if t.editReply != nil {
		t.editReply(&reply)
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

// fixture is a Service with fake targets, a fake platform and a fake lease.
type fixture struct {
	service *fanout.Service
	targets []*fakeTarget
	lease   view.LeaseState
	config  settings.Settings
	clock   stoppableClock

	mu       sync.Mutex
	list     *platform.List
	view     *view.View
	evidence []view.Evidence
}

func (f *fixture) List() *platform.List     { f.mu.Lock(); defer f.mu.Unlock(); return f.list }
func (f *fixture) View() *view.View         { f.mu.Lock(); defer f.mu.Unlock(); return f.view }
func (f *fixture) Lease() view.LeaseState   { return f.lease }
func (f *fixture) LeaseLeft() time.Duration { return time.Second }
func (f *fixture) Report(e view.Evidence) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.evidence = append(f.evidence, e)
}

// setView publishes a changed copy of the view and refreshes the service.
func (f *fixture) setView(change func(*view.View)) {
	f.mu.Lock()
	v := *f.view
	change(&v)
	f.view = &v
	f.mu.Unlock()
	f.service.Refresh()
}

// publishSnapshots publishes a target list with other snapshots and refreshes the
// service.
func (f *fixture) publishSnapshots(snapshots ...model.Snapshot) {
	f.mu.Lock()
	list := *f.list
	list.Snapshots = snapshots
	f.list = &list
	f.mu.Unlock()
	f.service.Refresh()
}

// updateLeaf applies change to every target of a leaf.
func (f *fixture) updateLeaf(leaf int, change func(*fakeTarget)) {
	for _, t := range f.targets {
		if t.target.Leaf.Leaf == leaf {
			t.set(change)
		}
	}
}

// runCountOf returns how many queries the targets of a leaf have run.
func (f *fixture) runCountOf(leaf int) int {
	n := 0
	f.updateLeaf(leaf, func(t *fakeTarget) { n += t.queriesRun })
	return n
}

func (f *fixture) orderCount() int {
	n := 0
	for _, t := range f.targets {
		t.mu.Lock()
		n += t.ordersRun
		t.mu.Unlock()
	}
	return n
}

// warmUp sends queries until every target was reported as warm, at least 60 and at
// most 3000.
func (f *fixture) warmUp() { f.warmUpAs("warm-up") }

// warmUpAs is warmUp with a name that begins the texts of its queries, by which
// requestsWithPrefix counts them.
func (f *fixture) warmUpAs(name string) {
	for n := 0; n < 60 || (n < 3000 && !f.allWarm()); n++ {
		_, err := f.service.Query(context.Background(), newQuery(fmt.Sprintf("%s-%d", name, n%3)))
		Expect(err).NotTo(HaveOccurred())
	}
}

func (f *fixture) allWarm() bool {
	warm := make(map[model.TargetID]bool)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.evidence {
		for _, incarnation := range e.Warm {
			warm[incarnation.Target] = true
		}
	}
	return len(warm) == len(f.targets)
}

// deathChecks counts the health requests in flight, by which targets are checked for
// a death.
func (f *fixture) deathChecks() int {
	n := 0
	for _, t := range f.targets {
		n += readField(t, func(t *fakeTarget) int { return t.healthInFlight })
	}
	return n
}

func (f *fixture) crashCount() int {
	n := 0
	for _, t := range f.targets {
		n += readField(t, func(t *fakeTarget) int { return t.crashes })
	}
	return n
}

// newFixture starts a service and targets that state that they are warm and hold
// snapshot s1. options change the settings before the service starts.
func newFixture(leaves, slots int, options ...func(*settings.Collection)) *fixture {
	collection := settings.Collection{
		ID: shop, Services: 1, Leaves: leaves, Slots: slots, Connections: 8, ColdLoad: 2,
		Policy: settings.PreferTime, HedgeBudget: 0.05,
	}
	for _, option := range options {
		option(&collection)
	}
	f := &fixture{
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

func (f *fixture) start() {
	f.clock.origin = time.Now()
	f.service = fanout.NewService(fanout.Config{
		Settings: &f.config, Platform: f, View: f, Reporter: f, Now: f.clock.now,
	})
	f.service.Refresh()
	DeferCleanup(f.service.Close)
}

// stoppableClock is the clock of a Service.
type stoppableClock struct {
	mu     sync.Mutex
	origin time.Time
	// stoppedAt is the time shown while stopped is set; offset is added otherwise.
	stoppedAt, offset time.Duration
	stopped           bool
}

func (c *stoppableClock) now() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped {
		return c.stoppedAt
	}
	return time.Since(c.origin) + c.offset
}

func (c *stoppableClock) stop() {
	at := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stoppedAt, c.stopped = at, true
}

// resume lets the clock go on from where it was stopped, plus skipped.
func (c *stoppableClock) resume(skipped time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.offset, c.stopped = c.stoppedAt+skipped-time.Since(c.origin), false
}

func (f *fixture) addTarget(leaf model.LeafID, slot int) *fakeTarget {
	t := &fakeTarget{
		conns: make(map[net.Conn]bool),
		boot:  "b1", state: targetproto.StateWarm, documents: documentsPerLeaf,
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

// reported returns whether any reported evidence satisfies the condition.
func (f *fixture) reported(condition func(view.Evidence) bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.ContainsFunc(f.evidence, condition)
}
