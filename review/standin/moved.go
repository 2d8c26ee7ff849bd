//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

func init() { scenarios["moved"] = moved }

// Figures of the scenario. The doses are those of the bench's list of disruptions and of
// the standard days: srv_crash, share 0.15 (here one leaf of two), for 4.5 s; srv_grey,
// how = "errors", share 0.15 (one leaf of two), x = 0.4, for 6.5 s.
const (
	movedRolloutSeconds = 12
	crashTime           = 4500 * time.Millisecond
	greyTime            = 6500 * time.Millisecond
	greyPart            = 0.4
)

const movedServices = `"services":[{"name":"catalog","health-path":"/health","max-connections":45,"protocol":"h1","tls":false,"cold-start-s":3.0,"cold-per-s":0.0},{"name":"orders","health-path":"/health","max-connections":45,"protocol":"h1","tls":false,"cold-start-s":3.0,"cold-per-s":0.0}],"limits":{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000}}`

func safeRoute(name, prefix, service string) string {
	return fmt.Sprintf(`{"name":%q,"host":"h.example","path-prefix":%q,"kind":"safe","timeout-ms":2000,"target-latency-ms":400,"priority":1,"max-attempts":2,"service":%q}`, name, prefix, service)
}

// moved moves a service of two leaves to a good version. Later (with trouble) one leaf
// crashes and is back after some seconds, and the other one fails a part of its requests
// for some seconds. After that, all is well again, and a route is added.
func moved(f *fleet, trouble bool) (bool, error) {
	var mu sync.Mutex
	var grey *leaf
	failed := 0
	handle := func(l *leaf, c *leafConn, r *leafRequest) bool {
		mu.Lock()
		status := 200
		if l == grey && rand.Float64() < greyPart {
			status = 500
			failed++
		}
		mu.Unlock()
		time.Sleep(10 * time.Millisecond)
		_, err := c.Write(l.answer(r, status, []byte("body of "+r.id)))
		return err == nil
	}
	if err := f.startNodes(3, 2); err != nil {
		return false, err
	}
	var old, next []*leaf
	for i := range 2 {
		zone := []string{"mechelen", "leuven"}[i%2]
		l, err := f.startLeaf("orders", zone, "v1", handle)
		if err != nil {
			return false, err
		}
		old = append(old, l)
		if _, err := f.startLeaf("catalog", zone, "v1", handle); err != nil {
			return false, err
		}
	}
	config := `{"version":1,"routes":[` + safeRoute("c", "/c/", "catalog") + "," + safeRoute("o", "/o/", "orders") + `],` + movedServices
	if err := f.order("POST", "/Configuration.Replace", config); err != nil {
		return false, err
	}
	if err := f.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	w := f.watch("/c/", "/o/")
	defer w.end()
	time.Sleep(3 * time.Second)
	for i := range 2 {
		l, err := f.startLeaf("orders", []string{"mechelen", "leuven"}[i%2], "v2", handle)
		if err != nil {
			return false, err
		}
		next = append(next, l)
	}
	if err := f.order("POST", "/Rollouts.Start", fmt.Sprintf(`{"service":"orders","target-version":"v2","duration-s":%d}`, movedRolloutSeconds)); err != nil {
		return false, err
	}
	if err := f.awaitCompleted("orders", 2*movedRolloutSeconds*time.Second); err != nil {
		return false, err
	}
	for _, l := range old {
		l.set(func() { l.gone = true })
		l.stop()
	}
	f.log("platform: the leaves of v1 have ended")
	time.Sleep(5 * time.Second)
	if trouble {
		mu.Lock()
		grey = next[1]
		mu.Unlock()
		next[0].stop()
		f.log("%s crashes; %s fails %g of its requests", next[0].id, grey.id, greyPart)
	}
	time.Sleep(crashTime)
	if trouble {
		next[0].set(func() { next[0].gone = true })
		l, err := f.startLeaf("orders", next[0].zone, "v2", handle)
		if err != nil {
			return false, err
		}
		f.log("%s is back as %s", next[0].id, l.id)
	}
	time.Sleep(greyTime - crashTime)
	mu.Lock()
	grey = nil
	f.log("%d requests have failed; from now on all leaves answer all requests", failed)
	mu.Unlock()
	config = `{"version":2,"routes":[` + safeRoute("c", "/c/", "catalog") + "," + safeRoute("o", "/o/", "orders") + "," + safeRoute("n", "/n/", "orders") + `],` + movedServices
	if err := f.order("POST", "/Configuration.Replace", config); err != nil {
		return false, err
	}
	return w.addedRouteStarves("/n/")
}

// awaitCompleted asks for the state of a roll-out until it is completed.
func (f *fleet) awaitCompleted(service string, limit time.Duration) error {
	last := ""
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		status, text := f.cores()[rand.IntN(len(f.cores()))].call("GET", "/Rollouts.Get/"+service, "")
		if text = strings.TrimSpace(text); status == 200 && text != last {
			last = text
			f.log("operator: roll-out %s", text)
		}
		if status == 200 && strings.Contains(text, `"completed"`) {
			return nil
		}
	}
	return fmt.Errorf("the roll-out was not completed: %s", last)
}
