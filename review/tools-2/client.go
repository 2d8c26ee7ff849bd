//go:build review

package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// attempt is one request of a client.
type attempt struct {
	route  string
	sent   time.Time
	status int
	served bool
}

// clients send requests at a steady rate to the entries and keep what was answered.
type clients struct {
	record *record
	fleet  *fleet
	host   string

	mu       sync.Mutex
	attempts []attempt
	wg       sync.WaitGroup
	stopped  chan struct{}
	once     sync.Once
}

func newClients(r *record, f *fleet, host string) *clients {
	return &clients{record: r, fleet: f, host: host, stopped: make(chan struct{})}
}

func requestID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// run sends requests of a route, perSecond of them, until the clients stop. Kept
// connections are used, one client an entry.
func (c *clients) run(route, method string, perSecond float64, deadline time.Duration) {
	c.wg.Go(func() {
		transports := make([]*http.Transport, len(c.fleet.entries))
		for i := range transports {
			transports[i] = &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: 8 * time.Second}
			defer transports[i].CloseIdleConnections()
		}
		ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
		defer ticker.Stop()
		for {
			select {
			case <-c.stopped:
				return
			case <-ticker.C:
				i := rand.IntN(len(transports))
				c.wg.Go(func() { c.send(transports[i], c.fleet.entries[i], route, method, deadline) })
			}
		}
	})
}

// pathOf returns the path of a request on a route; a path that ends without a slash is one.
func pathOf(route string) string {
	if strings.HasSuffix(route, "/") {
		return route + "2f"
	}
	return route
}

func (c *clients) send(t *http.Transport, p *process, route, method string, deadline time.Duration) {
	id, sent := requestID(), time.Now()
	request, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", p.ip, frontPort, pathOf(route)), nil)
	if err != nil {
		return
	}
	request.Host = c.host
	request.Header.Set("X-Radishturn-Request-Id", id)
	request.Header.Set("X-Radishturn-Deadline-Milliseconds", fmt.Sprint(deadline.Milliseconds()))
	c.record.note("client sends %s %s %s to %s", id, method, pathOf(route), p.ip)
	client := &http.Client{Transport: t, Timeout: deadline}
	a := attempt{route: route, sent: sent}
	response, err := client.Do(request)
	if err == nil {
		body, readErr := io.ReadAll(response.Body)
		_ = response.Body.Close()
		a.status = response.StatusCode
		a.served = readErr == nil && a.status/100 == 2 && len(body) > 0 &&
			response.Header.Get("X-Radishturn-Server-Signature") != ""
		c.record.note("client gets %d for %s", a.status, id)
	} else {
		c.record.note("client gets no answer for %s", id)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts = append(c.attempts, a)
}

func (c *clients) stop() {
	c.once.Do(func() { close(c.stopped) })
	c.wg.Wait()
}

// count returns how many requests of a route were sent in a span, and how many of them
// were served.
func (c *clients) count(route string, from, to time.Time) (sent, served int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.attempts {
		if a.route == route && !a.sent.Before(from) && a.sent.Before(to) {
			sent++
			if a.served {
				served++
			}
		}
	}
	return sent, served
}
