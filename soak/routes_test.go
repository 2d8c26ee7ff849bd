//go:build soak

package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

const (
	// applyBound is the time after its acknowledgement after which a configuration must
	// be in force.
	applyBound = 3 * time.Second
	// regressSlack is the time after an instance has acted on a version after which it
	// must not act on an older one.
	regressSlack = 250 * time.Millisecond
)

// acknowledgement is when a version of the configuration was acknowledged.
type acknowledgement struct {
	version int
	at      time.Time
}

// Version v of the configuration adds route v, and removes route v-2.

// variableRoutes returns the routes of a version that others lack.
func variableRoutes(version int) string {
	text := ""
	for route := max(1, version-1); route <= version; route++ {
		text += fmt.Sprintf(`,
{"name":"x-%d","host":"h.example","path-prefix":"/x/%d/","kind":"safe","timeout-ms":1500,"target-latency-ms":300,"max-attempts":2,"service":"orders"}`, route, route)
	}
	return text
}

// fixedRoutes returns routes that get no requests and make the configuration larger.
func fixedRoutes(count int) string {
	text := ""
	for route := range count {
		text += fmt.Sprintf(`,
{"name":"fixed-%d","host":"h.example","path-prefix":"/fixed/%d/","kind":"safe","timeout-ms":1500,"target-latency-ms":300,"max-attempts":2,"service":"orders"}`, route, route)
	}
	return text
}

// versionRange is the versions that may be in force, both ends included.
type versionRange struct{ lowest, highest int }

// allHave reports whether each version of the range has a route.
func (v versionRange) allHave(route int) bool { return route <= v.lowest && v.highest <= route+1 }

// noneHas reports whether no version of the range has a route.
func (v versionRange) noneHas(route int) bool { return route > v.highest || route+1 < v.lowest }

// changeConfigurations replaces the configuration every few seconds until a time.
func (f *fleet) changeConfigurations(ctx context.Context, seed uint64, until time.Time) {
	rng := rand.New(rand.NewPCG(seed, 4))
	for time.Now().Before(until) {
		f.replaceConfiguration(ctx)
		f.readConfiguration(ctx)
		pause := time.Duration(500+rng.IntN(6000)) * time.Millisecond
		time.Sleep(min(pause, time.Until(until)))
	}
}

// routeProbe sends requests on routes that come and go to one entry instance.
type routeProbe struct {
	fleet  *fleet
	entry  *instance
	client *http.Client
	// seen is the newest version that the process is known to have acted on, since when.
	seen      acknowledgement
	seenStart int
}

// probeRoutes runs a probe until ctx is done.
func (f *fleet) probeRoutes(ctx context.Context, entry *instance) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}, Timeout: 2 * requestTimeout}
	defer client.CloseIdleConnections()
	p := &routeProbe{fleet: f, entry: entry, client: client}
	for ctx.Err() == nil {
		f.mu.Lock()
		route := max(1, f.sentVersion-3+rand.IntN(5))
		f.mu.Unlock()
		p.send(ctx, route, fmt.Sprintf("/x/%d/", route), "", p.check)
		time.Sleep(time.Duration(20+rand.IntN(40)) * time.Millisecond)
	}
}

// send sends a request for an item that the configurations with the versions item and
// item+1 have, a route or a key, and checks its status.
func (p *routeProbe) send(ctx context.Context, item int, path, key string, check func(id string, item, status int, v versionRange)) {
	id := fmt.Sprintf("x%08x", p.fleet.nextID())
	url := fmt.Sprintf("http://%s:%d%s%s", p.entry.ip, entryPort, path, id)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	p.fleet.must(err)
	r.Host = "h.example"
	r.Header.Set("X-Radishturn-Request-Id", id)
	r.Header.Set("X-Radishturn-Deadline-Milliseconds", strconv.Itoa(int(requestTimeout.Milliseconds())))
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	p.fleet.checker.recordEntry(id, p.entry)
	sent, start := time.Now(), p.entry.startCount()
	response, err := p.client.Do(r)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	if start != p.entry.startCount() {
		return
	}
	p.fleet.checker.countProbe(response.StatusCode)
	check(id, item, response.StatusCode, p.versionsInForce(sent, start))
	if response.StatusCode == http.StatusOK && (start != p.seenStart || item > p.seen.version) {
		p.seen, p.seenStart = acknowledgement{item, time.Now()}, start
	}
}

// versionsInForce returns the versions that a request may have met that was sent at a
// time and has just got its response.
func (p *routeProbe) versionsInForce(sent time.Time, start int) versionRange {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	v, contact, now := versionRange{highest: p.fleet.sentVersion}, p.fleet.checker.contact, time.Now()
	for _, a := range p.fleet.acknowledgements {
		if a.version > v.lowest && contact.binds(p.entry, a.at, applyBound, sent) && contact.binds(p.entry, a.at, applyBound, now) {
			v.lowest = a.version
		}
	}
	if start == p.seenStart && sent.Sub(p.seen.at) > regressSlack {
		v.lowest = max(v.lowest, p.seen.version)
	}
	return v
}

func (p *routeProbe) check(id string, route, status int, v versionRange) {
	switch {
	case status == http.StatusNotFound && v.allHave(route):
		p.fleet.addFinding("request %s on route %d got 404 from entry %s, though versions %d to %d have it", id, route, p.entry.ip, v.lowest, v.highest)
	case status == http.StatusOK && v.noneHas(route):
		p.fleet.addFinding("request %s on route %d was served by entry %s, though versions %d to %d lack it", id, route, p.entry.ip, v.lowest, v.highest)
	}
}
