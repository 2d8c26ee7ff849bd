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
	// drainBound is when a leaf that is listed as draining must get nothing new.
	drainBound = 3 * time.Second
	// maxFindings bounds the findings that are kept.
	maxFindings = 20
	// topRecords is the number of records in the answer to a query.
	topRecords = 5
)

// checker holds what leafs ran against what clients were told.
type checker struct {
	mu       sync.Mutex
	runs     map[string][]run
	unsafe   map[string]bool
	refused  map[string]bool
	findings []string
	// planned is set while faults excuse late requests to draining leafs.
	excused bool
	served  int
	asked   int
	// total counts are for the report.
	totalServed, totalAsked int
}

func newChecker() *checker {
	return &checker{runs: make(map[string][]run), unsafe: make(map[string]bool), refused: make(map[string]bool)}
}

func (c *checker) find(format string, args ...any) {
	if len(c.findings) < maxFindings {
		c.findings = append(c.findings, fmt.Sprintf(format, args...))
	}
}

// ran notes that a leaf began to run a request.
func (c *checker) ran(id string, r run, draining time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[id] = append(c.runs[id], r)
	if c.unsafe[id] && len(c.runs[id]) > 1 {
		c.find("request %s is not idempotent and ran %d times", id, len(c.runs[id]))
	}
	if c.refused[id] && c.unsafe[id] {
		c.find("request %s ran after it was refused as not run", id)
	}
	if !draining.IsZero() && r.at.Sub(draining) > drainBound && !c.excused {
		c.find("request %s reached leaf %s %s after it was listed as draining", id, r.leaf.id, r.at.Sub(draining))
	}
}

func (c *checker) asks(id string, unsafe bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asked++
	if unsafe {
		c.unsafe[id] = true
	}
}

// answered checks what a client got.
func (c *checker) answered(id string, r *http.Response, shards map[string]bool) {
	body, err := io.ReadAll(r.Body)
	_ = r.Body.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case r.StatusCode == http.StatusServiceUnavailable || r.StatusCode == http.StatusTooManyRequests:
		c.refused[id] = true
		if c.unsafe[id] && len(c.runs[id]) > 0 {
			c.find("request %s was refused as not run and has run", id)
		}
	case r.StatusCode != http.StatusOK || err != nil:
	case shards == nil:
		c.checkOne(id, r, body)
	default:
		c.checkQuery(id, r, body, shards)
	}
}

func (c *checker) checkOne(id string, r *http.Response, body []byte) {
	c.served++
	got := r.Header.Get("X-Radishturn-Server-Signature")
	for _, run := range c.runs[id] {
		if run.ok && got == signature(run.leaf.id, id, body) {
			return
		}
	}
	c.find("request %s got a success that no leaf gave: signature %q", id, got)
}

func (c *checker) checkQuery(id string, r *http.Response, body []byte, shards map[string]bool) {
	c.served++
	parts := strings.Split(r.Header.Get("X-Radishturn-Part-Signatures"), ",")
	missing, _ := strconv.Atoi(r.Header.Get("X-Radishturn-Missing-Parts"))
	seen := make(map[string]bool)
	var all [][]byte
	for _, p := range parts {
		l := c.partOf(id, strings.TrimSpace(p))
		if l == nil {
			c.find("query %s names a part that no leaf gave: %q", id, p)
			return
		}
		if seen[l.service] || !shards[l.service] {
			c.find("query %s has two parts of shard %s, or one of another version", id, l.service)
		}
		seen[l.service] = true
		for chunk := range slices.Chunk(records(l.id, id), 16) {
			all = append(all, chunk)
		}
	}
	if len(seen)+missing != len(shards) {
		c.find("query %s: %d parts and %d missing do not make %d shards", id, len(seen), missing, len(shards))
	}
	slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
	if !bytes.Equal(body, bytes.Join(all[:min(topRecords, len(all))], nil)) {
		c.find("query %s: the answer is not the greatest records of its parts", id)
	}
}

func (c *checker) partOf(id, sig string) *leaf {
	for _, run := range c.runs[id] {
		if run.ok && sig == signature(run.leaf.id, id, records(run.leaf.id, id)) {
			return run.leaf
		}
	}
	return nil
}

// excuse sets whether late requests to draining leafs are excused: rules with a
// time bound hold only for instances in touch with control.
func (c *checker) excuse(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.excused = on
}

// share starts a new count and returns the share that was served before.
func (c *checker) share() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := float64(c.served) / float64(max(1, c.asked))
	c.totalServed += c.served
	c.totalAsked += c.asked
	c.served, c.asked = 0, 0
	return s
}
