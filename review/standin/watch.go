//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// Figures of the steady state in which the routes are compared.
const (
	// contactWindow and applyTime are contact-window-ms and configuration-apply-ms.
	contactWindow = 4 * time.Second
	applyTime     = 3 * time.Second
	steadySeconds = 15
	// loadPause is the time between two requests to one front.
	loadPause = 25 * time.Millisecond
	// servedRatio is the ratio below which the rule is broken, and minRequests the
	// number of requests from which it applies.
	servedRatio = 0.25
	minRequests = 20
)

// tally counts the requests on one route in the steady state.
type tally struct{ asked, served, refused, other int }

// watch is a load on some routes of which the steady state is counted.
type watch struct {
	f       *fleet
	stop    chan struct{}
	clients sync.WaitGroup

	mu       sync.Mutex
	prefixes []string
	steady   bool
	counts   map[string]*tally
}

// watch starts a load on all fronts, with paths under the prefixes by turns.
func (f *fleet) watch(prefixes ...string) *watch {
	w := &watch{f: f, stop: make(chan struct{}), prefixes: prefixes, counts: make(map[string]*tally)}
	for _, front := range f.fronts() {
		w.clients.Go(func() { f.steadyLoad(w.stop, front, loadPause, 2*time.Second, w.prefix, w.done) })
	}
	return w
}

func (w *watch) end() {
	close(w.stop)
	w.clients.Wait()
}

func (w *watch) prefix() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.prefixes[rand.IntN(len(w.prefixes))]
}

func (w *watch) done(prefix string, a answer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.steady {
		return
	}
	t := w.counts[prefix]
	if t == nil {
		t = &tally{}
		w.counts[prefix] = t
	}
	t.asked++
	switch {
	case a.status >= 200 && a.status < 300 && a.header.Get("X-Radishturn-Server-Signature") != "":
		t.served++
	case a.status == 503:
		t.refused++
	default:
		t.other++
	}
}

// addedRouteStarves counts the steady state that begins once the configuration with the
// added route must be in force, and reports whether that route is served less than a
// quarter as often as the first ones.
func (w *watch) addedRouteStarves(added string) (bool, error) {
	time.Sleep(contactWindow + applyTime)
	w.mu.Lock()
	w.prefixes, w.steady = append(w.prefixes, added), true
	w.mu.Unlock()
	w.f.log("steady state begins: a route with the prefix %s was added and leads to orders", added)
	time.Sleep(steadySeconds * time.Second)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.steady = false
	var first, later tally
	for prefix, t := range w.counts {
		w.f.log("in %d s of steady state, paths under %s: %d asked, %d served, %d answered 503, %d otherwise", steadySeconds, prefix, t.asked, t.served, t.refused, t.other)
		sum := &first
		if prefix == added {
			sum = &later
		}
		sum.asked += t.asked
		sum.served += t.served
	}
	if later.asked < minRequests || first.asked == 0 {
		return false, fmt.Errorf("too few requests: %d on the added route", later.asked)
	}
	ratioLater, ratioFirst := float64(later.served)/float64(later.asked), float64(first.served)/float64(first.asked)
	w.f.log("served: %.3f on the added route, %.3f on the first routes", ratioLater, ratioFirst)
	return ratioLater < servedRatio*ratioFirst, nil
}

// steadyLoad sends one request after the other to a front, on kept connections.
func (f *fleet) steadyLoad(stop chan struct{}, front *node, pause, deadline time.Duration, prefix func() string, done func(string, answer)) {
	tick := time.NewTicker(pause)
	defer tick.Stop()
	idle := make(chan *clientConn, 256)
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		wg.Go(func() {
			var c *clientConn
			select {
			case c = <-idle:
			default:
				var err error
				if c, err = dialFront(front); err != nil {
					return
				}
			}
			p := prefix()
			a := c.ask("GET", fmt.Sprintf("%s%d", p, n), "h.example", fmt.Sprintf("%s-%d", front.name, n), deadline, nil)
			done(p, a)
			if a.err != nil || a.header.Get("Connection") == "close" {
				_ = c.Close()
				return
			}
			select {
			case idle <- c:
			default:
				_ = c.Close()
			}
		})
	}
}
