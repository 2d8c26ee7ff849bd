//go:build review

package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

func init() { scenarios["firststart"] = firstStart }

// Figures of the first start.
const (
	// startLag is how much later than the others one of the seeds starts; the platform
	// starts all machines within 0.3 s of each other. It is lost lostAfter its start.
	startLag  = 250 * time.Millisecond
	lostAfter = 20 * time.Millisecond
	// replacedAfter is when its successor starts; the sheets' days use 1.2 to 2 s.
	replacedAfter = 2 * time.Second
	// trafficAfter is when the traffic starts: 10 s after the machines.
	trafficAfter = 10 * time.Second
	// watchedFor is how long the first configuration is sent and clients ask.
	watchedFor = 60 * time.Second
	// ackTimeout is ack-timeout-ms.
	ackTimeout = 5 * time.Second
)

// firstStart starts the whole system for the first time. With trouble, one machine of
// the core is lost for good right after the start and replaced by an empty one at another
// address. The settings of all others then name seeds that run.
func firstStart(f *fleet, trouble bool) (bool, error) {
	handle := func(l *leaf, c *leafConn, r *leafRequest) bool {
		time.Sleep(10 * time.Millisecond)
		_, err := c.Write(l.answer(r, 200, []byte("body of "+r.id)))
		return err == nil
	}
	for i := range 4 {
		if _, err := f.startLeaf("orders", []string{"mechelen", "leuven"}[i%2], "v1", handle); err != nil {
			return false, err
		}
	}
	f.firstCoreLag = startLag
	started := time.Now()
	f.log("platform: 5 core and 2 front machines start for the first time")
	if err := f.startNodes(5, 2); err != nil {
		return false, err
	}
	if trouble {
		if err := f.replaceSeed(started); err != nil {
			return false, err
		}
	}
	config := `{"version":1,"routes":[` + safeRoute("o", "/o/", "orders") + `],` + movedServices
	var acked time.Time
	var mu sync.Mutex
	stop := make(chan struct{})
	var operator sync.WaitGroup
	operator.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			default:
			}
			cores := f.running()
			n := cores[i%len(cores)]
			status, _ := n.call("POST", "/Configuration.Replace", config)
			if i < 8 || i%40 == 0 || status == 200 {
				f.log("operator: the first configuration, attempt %d, at %s: %d", i+1, n.name, status)
			}
			if status == 200 {
				mu.Lock()
				acked = time.Now()
				mu.Unlock()
				return
			}
			time.Sleep(min(time.Second, time.Duration(i+1)*50*time.Millisecond))
		}
	})
	time.Sleep(time.Until(started.Add(trafficAfter)))
	asked, served := 0, 0
	for n := 0; time.Since(started) < watchedFor; n++ {
		a := askOnce(f.fronts()[n%2], "GET", fmt.Sprintf("/o/%d", n), "h.example", fmt.Sprintf("r%d", n), 2*time.Second, nil)
		asked++
		if a.status == 200 && a.header.Get("X-Radishturn-Server-Signature") != "" {
			served++
		}
		time.Sleep(50 * time.Millisecond)
	}
	close(stop)
	operator.Wait()
	f.log("clients: %d requests asked, %d served", asked, served)
	mu.Lock()
	defer mu.Unlock()
	if acked.IsZero() {
		f.log("the first configuration has no acknowledgement %s after the start; the core was stable for all but the first seconds", watchedFor)
	}
	return served == 0 && acked.IsZero(), nil
}

// replaceSeed ends the first core machine for good, adds an empty one, and names seeds
// that run in the settings of all others.
func (f *fleet) replaceSeed(started time.Time) error {
	lost := f.nodes[0]
	time.Sleep(lostAfter)
	lost.signal(syscall.SIGKILL)
	f.log("%s, one of the three seeds, is lost for good", lost.name)
	time.Sleep(time.Until(started.Add(replacedAfter)))
	next := &node{f: f, ip: f.prefix + "20", zone: lost.zone, core: true, name: "core-6"}
	f.mu.Lock()
	f.nodes = append([]*node{}, f.nodes[1:]...)
	f.nodes = append(f.nodes, next)
	f.lost = append(f.lost, lost)
	f.mu.Unlock()
	if err := next.start(false); err != nil {
		return err
	}
	f.log("%s, empty and at another address, takes its place", next.name)
	for _, n := range f.nodes[:len(f.nodes)-1] {
		if err := os.WriteFile(filepath.Join(f.dir, n.name+".conf"), []byte(n.settings(true)), 0o600); err != nil {
			return err
		}
		n.signal(syscall.SIGHUP)
	}
	f.log("the settings of all machines name seeds that run; SIGHUP to all")
	return nil
}

// running returns the core machines that run.
func (f *fleet) running() []*node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.byClass(true)
}
