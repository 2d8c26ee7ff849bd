//go:build review

package main

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	listLag  = 800 * time.Millisecond
	pageSize = 50
)

// platform keeps the leafs and serves the list of them, which lags.
type platform struct {
	record  *record
	network string
	address string

	mu      sync.Mutex
	leafs   map[string]*leaf
	history []listing
	ids     int
	// runs counts the runs of each request id.
	runs map[string]int
	// foreign are the entries of another writer, which stand behind the leafs' own ones.
	foreign []map[string]any
}

// listing is the list from a moment on.
type listing struct {
	from    time.Time
	entries []map[string]any
}

func newPlatform(r *record, network string) (*platform, error) {
	l, err := net.Listen("tcp4", network+".1:0")
	if err != nil {
		return nil, err
	}
	p := &platform{record: r, network: network, address: l.Addr().String(), leafs: make(map[string]*leaf), runs: make(map[string]int)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", p.serveList)
	go func() { _ = http.Serve(l, mux) }()
	return p, nil
}

func (p *platform) serveList(w http.ResponseWriter, r *http.Request) {
	start, _ := strconv.Atoi(r.URL.Query().Get("page-token"))
	p.mu.Lock()
	var entries []map[string]any
	for _, l := range p.history {
		if time.Since(l.from) >= listLag {
			entries = l.entries
		}
	}
	p.mu.Unlock()
	start = min(max(start, 0), len(entries))
	end := min(start+pageSize, len(entries))
	page := map[string]any{"instances": append([]map[string]any{}, entries[start:end]...), "next-page-token": nil}
	if end < len(entries) {
		page["next-page-token"] = strconv.Itoa(end)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(page)
}

// changed keeps the list as it is now. The caller holds the lock.
func (p *platform) changed() {
	var entries []map[string]any
	for _, id := range slices.Sorted(maps.Keys(p.leafs)) {
		entries = append(entries, p.leafs[id].entry())
	}
	entries = append(entries, p.foreign...)
	p.history = append(p.history, listing{from: time.Now(), entries: entries})
}

// entry returns the leaf's entry in the list.
func (l *leaf) entry() map[string]any {
	return map[string]any{
		"id": l.id, "service": l.service, "address": l.address, "zone": l.zone, "version": l.version,
		"slots": l.slots, "state": "ready", "cold-remaining-ms": 0, "born": l.born,
	}
}

// addForeign adds an entry of another writer for each leaf of a service. It differs from the
// leaf's own one in the service, which no configuration names, and the state.
func (p *platform) addForeign(service, named string) (added int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(p.leafs)) {
		if l := p.leafs[id]; l.service == service {
			e := l.entry()
			e["service"], e["state"] = named, "draining"
			p.foreign = append(p.foreign, e)
		}
	}
	p.changed()
	return len(p.foreign)
}

// leaf is a back end that runs requests.
type leaf struct {
	platform          *platform
	id, service, zone string
	address, version  string
	slots             int
	born              int64
	work              time.Duration
	server            *http.Server

	mu      sync.Mutex
	running int
	down    bool
	// poison is the path of the request that crashes the leaf once it runs; crashed is called
	// then. downFor is how long the leaf is down after that.
	poison  string
	crashed func(id string)
	downFor time.Duration
	// failing is the share of the requests that fail; ran, if it is set, is told of each run.
	failing float64
	ran     func(failed bool)
}

func (p *platform) startLeaf(service, zone, version string, slots int, work time.Duration) (*leaf, error) {
	l, err := net.Listen("tcp4", p.network+".2:0")
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ids++
	b := &leaf{
		platform: p, id: fmt.Sprintf("i-%04x", p.ids), service: service, zone: zone, version: version,
		address: l.Addr().String(), slots: slots, born: time.Now().UnixMilli(), work: work,
	}
	b.server = &http.Server{Handler: b}
	go func() { _ = b.server.Serve(l) }()
	p.leafs[b.id] = b
	p.changed()
	return b, nil
}

// stop ends a leaf at once; it leaves the list.
func (l *leaf) stop() {
	l.platform.mu.Lock()
	delete(l.platform.leafs, l.id)
	l.platform.changed()
	l.platform.mu.Unlock()
	_ = l.server.Close()
}

func (l *leaf) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	w.Header().Set("X-Radishturn-Server-Load", fmt.Sprintf("%d,%d,%d", min(l.running, l.slots), max(0, l.running-l.slots), l.slots))
	w.Header().Set("X-Radishturn-Instance-Id", l.id)
	if r.URL.Path == "/health" {
		l.mu.Unlock()
		return
	}
	id := r.Header.Get("X-Radishturn-Request-Id")
	w.Header().Set("X-Radishturn-Request-Id", id)
	if expected := r.Header.Get("X-Radishturn-Expected-Instance"); expected != "" && expected != l.id {
		l.mu.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		l.mu.Unlock()
		w.Header().Set("X-Radishturn-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	const queue = 12
	if l.running >= l.slots+queue {
		l.mu.Unlock()
		w.Header().Set("X-Radishturn-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	l.running++
	waits := max(0, l.running-l.slots)
	failed, ran := rand.Float64() < l.failing, l.ran
	poisoned := l.poison != "" && r.URL.Path == l.poison
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		l.running--
		l.mu.Unlock()
	}()
	l.platform.mu.Lock()
	l.platform.runs[id]++
	l.platform.mu.Unlock()
	l.platform.record.note("leaf %s (%s %s) runs %s", l.id, l.service, l.version, id)
	if ran != nil {
		ran(failed)
	}
	if poisoned {
		l.crash(id)
		panic(http.ErrAbortHandler)
	}
	time.Sleep(l.work * time.Duration(1+waits/max(1, l.slots)))
	body, status := records(l.id, id), http.StatusOK
	if failed {
		body, status = []byte("failed"), http.StatusInternalServerError
		l.platform.record.note("leaf %s (%s) fails %s", l.id, l.version, id)
	}
	w.Header().Set("X-Radishturn-Server-Signature", signature(l.id, id, body))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// fail has a share of the requests fail.
func (l *leaf) fail(share float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failing = share
}

// crash ends the leaf with all its connections. It starts again under the same id at the
// same address after downFor.
func (l *leaf) crash(id string) {
	l.mu.Lock()
	server, down := l.server, l.down
	l.down = true
	l.mu.Unlock()
	if down {
		return
	}
	l.platform.record.note("leaf %s crashes as it runs %s", l.id, id)
	l.crashed(id)
	go func() {
		_ = server.Close()
		time.Sleep(l.downFor)
		listener, err := net.Listen("tcp4", l.address)
		if err != nil {
			l.platform.record.note("leaf %s can't start again: %s", l.id, err)
			return
		}
		l.mu.Lock()
		l.server, l.down = &http.Server{Handler: l}, false
		server := l.server
		l.mu.Unlock()
		l.platform.mu.Lock()
		l.born = time.Now().UnixMilli()
		l.platform.changed()
		l.platform.mu.Unlock()
		l.platform.record.note("leaf %s starts again", l.id)
		_ = server.Serve(listener)
	}()
}

// records returns twelve records of 16 bytes.
func records(leafID, id string) []byte {
	var body []byte
	for i := range 6 {
		sum := sha256.Sum256(fmt.Appendf(nil, "%s/%s/%d", leafID, id, i))
		body = append(body, sum[:]...)
	}
	return body
}

func signature(leafID, id string, body []byte) string {
	return fmt.Sprintf("%s.%x", leafID, sha256.Sum256(append([]byte(leafID+"\n"+id+"\n"), body...)))[:40]
}

// startLeafs starts n leafs of a service in the zones in turn.
func (p *platform) startLeafs(service, version string, n int, work time.Duration) ([]*leaf, error) {
	var leafs []*leaf
	for i := range n {
		l, err := p.startLeaf(service, zones[i%len(zones)], version, 3, work)
		if err != nil {
			return nil, err
		}
		leafs = append(leafs, l)
	}
	return leafs, nil
}
