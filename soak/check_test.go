//go:build soak

package soak

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// drainBound is the time after which a target that is listed as draining must
	// get no new requests.
	drainBound = 3 * time.Second
	// maxFindings is the maximum number of findings that are kept.
	maxFindings = 20
	// topK is the number of records in the answer to a query.
	topK = 5
)

// checker compares the requests that targets ran with the responses that clients
// got.
type checker struct {
	mu             sync.Mutex
	runs           map[string][]run
	isOrder        map[string]bool
	reportedNotRun map[string]bool
	findings       []string
	// drainUnchecked is set while injected faults excuse late requests to draining
	// targets.
	drainUnchecked bool
	served         int
	asked          int
	contact        *contact
	evacuations    *evacuations
	// probes are the responses on routes that come and go, by status.
	probes map[int]int
	// The total counts are for the report.
	totalServed, totalAsked int
}

func newChecker(c *contact) *checker {
	return &checker{
		runs: make(map[string][]run), isOrder: make(map[string]bool), reportedNotRun: make(map[string]bool),
		contact: c, evacuations: newEvacuations(), probes: make(map[int]int),
	}
}

func (c *checker) addFinding(format string, args ...any) {
	if len(c.findings) < maxFindings {
		c.findings = append(c.findings, fmt.Sprintf(format, args...))
		c.contact.log("FINDING "+format, args...)
	}
}

// recordRun records that a target began to run a request.
func (c *checker) recordRun(id string, r run, draining time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[id] = append(c.runs[id], r)
	if c.isOrder[id] && len(c.runs[id]) > 1 {
		c.addFinding("order %s ran %d times", id, len(c.runs[id]))
	}
	if c.reportedNotRun[id] && c.isOrder[id] {
		c.addFinding("order %s ran after it was refused as not run", id)
	}
	if !draining.IsZero() && r.at.Sub(draining) > drainBound && !c.drainUnchecked {
		c.addFinding("request %s reached target %s %s after it was listed as draining", id, r.target.id, r.at.Sub(draining))
	}
	c.checkEvacuation(id, r)
}

// recordEntry records the entry instance that a request is sent to.
func (c *checker) recordEntry(id string, entry *instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evacuations.entryOf[id] = entry
}

// countProbe counts a response on a route that comes and goes.
func (c *checker) countProbe(status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.probes[status]++
}

func (c *checker) recordRequest(id string, order bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asked++
	if order {
		c.isOrder[id] = true
	}
}

// checkResponse checks the response that a client got. shards are the services
// that the query gathers from; nil means that the request is an order.
func (c *checker) checkResponse(id string, r *http.Response, shards map[string]bool) {
	body, err := io.ReadAll(r.Body)
	_ = r.Body.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case r.StatusCode == http.StatusServiceUnavailable || r.StatusCode == http.StatusTooManyRequests:
		c.reportedNotRun[id] = true
		if c.isOrder[id] && len(c.runs[id]) > 0 {
			c.addFinding("order %s was refused as not run but has run", id)
		}
	case r.StatusCode == http.StatusUnauthorized:
		c.addFinding("request %s got 401 for a key that each version has", id)
	case r.StatusCode == http.StatusNotFound:
		c.addFinding("request %s got 404 on a route that each version has", id)
	case r.StatusCode != http.StatusOK || err != nil:
	case shards == nil:
		c.checkOrder(id, r, body)
	default:
		c.checkQuery(id, r, body, shards)
	}
}

func (c *checker) checkOrder(id string, r *http.Response, body []byte) {
	c.served++
	got := r.Header.Get("X-Radishturn-Server-Signature")
	for _, run := range c.runs[id] {
		if run.ok && got == signature(run.target.id, id, body) {
			return
		}
	}
	c.addFinding("request %s got a success response that no target sent: signature %q", id, got)
}

func (c *checker) checkQuery(id string, r *http.Response, body []byte, shards map[string]bool) {
	c.served++
	parts := strings.Split(r.Header.Get("X-Radishturn-Part-Signatures"), ",")
	missing, _ := strconv.Atoi(r.Header.Get("X-Radishturn-Missing-Parts"))
	seen := make(map[string]bool)
	var candidates [][]byte
	for _, p := range parts {
		l := c.targetOfPart(id, strings.TrimSpace(p))
		if l == nil {
			c.addFinding("query %s names a part that no target sent: %q", id, p)
			return
		}
		if seen[l.service] || !shards[l.service] {
			c.addFinding("query %s has two parts of shard %s, or that shard is not in the configuration", id, l.service)
		}
		seen[l.service] = true
		// A record is the 16 bytes of an FNV-128a hash; see records.
		for chunk := range slices.Chunk(records(l.id, id), 16) {
			candidates = append(candidates, chunk)
		}
	}
	if len(seen)+missing != len(shards) {
		c.addFinding("query %s: %d parts and %d missing parts do not add up to %d shards", id, len(seen), missing, len(shards))
	}
	slices.SortFunc(candidates, func(a, b []byte) int { return bytes.Compare(b, a) })
	if !bytes.Equal(body, bytes.Join(candidates[:min(topK, len(candidates))], nil)) {
		c.addFinding("query %s: the answer does not hold the greatest records of its parts", id)
	}
}

func (c *checker) targetOfPart(id, sig string) *target {
	for _, run := range c.runs[id] {
		if run.ok && sig == signature(run.target.id, id, records(run.target.id, id)) {
			return run.target
		}
	}
	return nil
}

// setDrainUnchecked sets whether late requests to draining targets are excused:
// bounds on time hold only for instances that can reach control.
func (c *checker) setDrainUnchecked(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drainUnchecked = on
}

// takeServedShare returns the share of requests that were served since the last
// call, and starts a new count.
func (c *checker) takeServedShare() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := float64(c.served) / float64(max(1, c.asked))
	c.totalServed += c.served
	c.totalAsked += c.asked
	c.served, c.asked = 0, 0
	return s
}
