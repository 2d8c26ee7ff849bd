//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

func init() { scenarios["rollout"] = rollout }

// Figures of the roll-out. The bounds are those of the platform's pages.
const (
	rolloutSeconds = 60
	requestsPerS   = 150
	exposureShare  = 0.1
	exposureSlack  = 50
	rollbackTime   = 5 * time.Second
	badAnswers     = 50
	overloadPerS   = 40
	workTime       = 10 * time.Millisecond
	overloadFactor = 5
)

// versionCount counts the requests of one version of the service.
type versionCount struct {
	mu sync.Mutex
	// arrivals holds the times of the requests that have reached v1 and v2.
	arrivals map[string][]time.Time
	// bad holds the times of the slow answers of v2.
	bad []time.Time
}

// perSecond returns how many requests have reached a version in the last second.
func (v *versionCount) perSecond(version string, now time.Time) int {
	n, list := 0, v.arrivals[version]
	for i := len(list) - 1; i >= 0 && now.Sub(list[i]) < time.Second; i-- {
		n++
	}
	return n
}

// rollout moves a service to a new version. With trouble, that version fails a part of
// its requests under load: while it gets more than overloadPerS of them in a second.
func rollout(f *fleet, trouble bool) (bool, error) {
	count := &versionCount{arrivals: make(map[string][]time.Time)}
	handle := func(l *leaf, c *leafConn, r *leafRequest) bool {
		count.mu.Lock()
		now := time.Now()
		count.arrivals[l.version] = append(count.arrivals[l.version], now)
		work := workTime
		if trouble && l.version == "v2" && count.perSecond("v2", now) > overloadPerS {
			work *= overloadFactor
			count.bad = append(count.bad, now)
		}
		count.mu.Unlock()
		time.Sleep(work)
		_, err := c.Write(l.answer(r, 200, []byte("body of "+r.id)))
		return err == nil
	}
	if err := f.startNodes(3, 2); err != nil {
		return false, err
	}
	var old []*leaf
	for i := range 4 {
		l, err := f.startLeaf("orders", []string{"mechelen", "leuven"}[i%2], "v1", handle)
		if err != nil {
			return false, err
		}
		old = append(old, l)
	}
	config := `{"version":1,"routes":[{"name":"o","host":"h.example","path-prefix":"/o/","kind":"safe","timeout-ms":2000,"target-latency-ms":400,"priority":1,"max-attempts":2,"service":"orders"}],
"services":[{"name":"orders","health-path":"/health","max-connections":45,"protocol":"h1","tls":false,"cold-start-s":3.0,"cold-per-s":0.0}],"limits":{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000}}`
	if err := f.order("POST", "/Configuration.Replace", config); err != nil {
		return false, err
	}
	if err := f.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() { f.load(stop, requestsPerS) })
	defer func() { close(stop); clients.Wait() }()
	time.Sleep(5 * time.Second)
	for i := range 4 {
		if _, err := f.startLeaf("orders", []string{"mechelen", "leuven"}[i%2], "v2", handle); err != nil {
			return false, err
		}
	}
	ordered := time.Now()
	if err := f.order("POST", "/Rollouts.Start", fmt.Sprintf(`{"service":"orders","target-version":"v2","duration-s":%d}`, rolloutSeconds)); err != nil {
		return false, err
	}
	deadline := ordered.Add(rolloutSeconds * time.Second)
	state := ""
	for time.Now().Before(deadline.Add(12 * time.Second)) {
		status, text := f.cores()[rand.IntN(3)].call("GET", "/Rollouts.Get/orders", "")
		if status == 200 && !strings.Contains(text, state) || status == 200 && state == "" {
			state = map[bool]string{true: "completed"}[strings.Contains(text, "completed")]
			if strings.Contains(text, "rolled_back") {
				state = "rolled_back"
			}
			if strings.Contains(text, "running") {
				state = "running"
			}
			f.log("operator: the roll-out is %s, %.1f s after the order", state, time.Since(ordered).Seconds())
			if state == "completed" {
				for _, l := range old {
					l.set(func() { l.gone = true })
					l.stop()
				}
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return count.verdict(f, ordered, deadline, trouble), nil
}

// verdict checks EXPOSURE for a bad version.
func (v *versionCount) verdict(f *fleet, ordered, deadline time.Time, bad bool) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	inTime := func(list []time.Time) int {
		n := 0
		for _, t := range list {
			if !t.Before(ordered) && t.Before(deadline) {
				n++
			}
		}
		return n
	}
	v1, v2 := inTime(v.arrivals["v1"]), inTime(v.arrivals["v2"])
	bound := exposureShare*float64(v1+v2) + exposureSlack
	f.log("between the order and its deadline: %d requests at v1, %d at v2, bound %.0f", v1, v2, bound)
	late := 0
	if len(v.bad) >= badAnswers {
		from := v.bad[badAnswers-1].Add(rollbackTime)
		for _, t := range v.arrivals["v2"] {
			if t.After(from) {
				late++
			}
		}
		f.log("v2's bad answer number %d came %.1f s after the order; %d requests reached it more than %s later", badAnswers, v.bad[badAnswers-1].Sub(ordered).Seconds(), late, rollbackTime)
	}
	f.log("%d bad answers of v2 in all", len(v.bad))
	return bad && (float64(v2) > bound || late > 0)
}

// load sends requests at a steady rate to all fronts in turn until stop is closed.
func (f *fleet) load(stop chan struct{}, perSecond int) {
	tick := time.NewTicker(time.Second / time.Duration(perSecond))
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
				if c, err = dialFront(f.fronts()[n%len(f.fronts())]); err != nil {
					return
				}
			}
			a := c.ask("GET", fmt.Sprintf("/o/%d", n), "h.example", fmt.Sprintf("r%d", n), 2*time.Second, nil)
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
