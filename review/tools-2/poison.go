//go:build review

package main

import (
	"sync"
	"time"
)

const (
	poisonPath = "/board/3e"
	// poisonGap is the time between two requests of the client that sends the request.
	poisonGap = 2500 * time.Millisecond
	// crashedFor is how long a crashed leaf is down.
	crashedFor = 2 * time.Second
	// contactWindow and allowedRetries are from the rule.
	contactWindow  = 4 * time.Second
	allowedRetries = 3
)

// playPoison has a client send a request again and again that crashes each leaf of board
// that begins to run it. The leafs start again under the ids that they had.
func playPoison(r *record, trouble bool) (bool, error) {
	_, f, board, err := startTwoServices(r, "safe", 2)
	if err != nil {
		return false, err
	}
	defer f.stop()
	var (
		mu     sync.Mutex
		times  []time.Time
		reach  = make(map[string]time.Time)
		crashd = func(id string) {
			mu.Lock()
			defer mu.Unlock()
			times = append(times, time.Now())
			if _, known := reach[id]; !known {
				reach[id] = time.Now()
			}
		}
	)
	for _, l := range board {
		l.mu.Lock()
		l.crashed, l.downFor = crashd, crashedFor
		if trouble {
			l.poison = poisonPath
		}
		l.mu.Unlock()
	}
	time.Sleep(3 * time.Second)
	c := newClients(r, f, host)
	defer c.stop()
	c.run("/ledger/", "GET", 22.5, 8*time.Second)
	c.run("/board/", "GET", 10, 8*time.Second)
	time.Sleep(5 * time.Second)
	from := time.Now()
	if trouble {
		r.say("trouble: a request crashes each leaf of board that begins to run it; it comes each %s", poisonGap)
	}
	c.run(poisonPath, "GET", 1/poisonGap.Seconds(), 8*time.Second)
	time.Sleep(60 * time.Second)
	to := time.Now()
	c.stop()
	boardSent, boardServed := c.count("/board/", from, to)
	mu.Lock()
	defer mu.Unlock()
	late := 0
	for _, at := range reach {
		if len(times) >= 3 && at.After(times[2].Add(contactWindow)) {
			late++
		}
	}
	r.say("leafs crashed %d times; %d requests reached leafs later than %s after the third crash", len(times), late, contactWindow)
	r.say("of the other requests to board %d of %d were served", boardServed, boardSent)
	return late > allowedRetries, nil
}
