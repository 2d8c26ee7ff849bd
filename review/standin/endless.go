//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { scenarios["endless"] = endless }

// Figures of the scenario.
const (
	// memoryMB is limits.memory-mb of a front.
	memoryMB = 284
	// endlessPart and endlessTime are the dose: srv_grey, how "all", x = 0.4, for 6.5 s.
	endlessPart = 0.4
	endlessTime = 6500 * time.Millisecond
	// endlessBytes are sent each endlessPause until the connection is closed.
	endlessBytes = 16 << 10
	endlessPause = 10 * time.Millisecond
	// endlessRounds are the times at which the leaves are in trouble.
	endlessRounds = 5
	// ordersPause is the time between two requests to one front: 11.25 a second, 22.5
	// a second in all, as on the site.
	ordersPause = 89 * time.Millisecond
	// endsToFault and machinesToFault are the bounds of the rule.
	endsToFault     = 3
	machinesToFault = 2
)

// endless lets all leaves of a service send bytes without end in a part of their answers
// for some seconds, several times. The platform kills a process that uses more memory than
// its machine has, and starts it again.
func endless(f *fleet, trouble bool) (bool, error) {
	var on atomic.Bool
	var begun atomic.Int64
	chunk := []byte(strings.Repeat("x", endlessBytes))
	handle := func(l *leaf, c *leafConn, r *leafRequest) bool {
		time.Sleep(10 * time.Millisecond)
		if !on.Load() || rand.Float64() >= endlessPart {
			_, err := c.Write(l.answer(r, 200, []byte("body of "+r.id)))
			return err == nil
		}
		begun.Add(1)
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Radishturn-Request-Id: %s\r\n\r\n", r.id)
		for err == nil {
			time.Sleep(endlessPause)
			_, err = c.Write(chunk)
		}
		return false
	}
	if err := f.startNodes(3, 2); err != nil {
		return false, err
	}
	for i := range 5 {
		if _, err := f.startLeaf("orders", []string{"mechelen", "leuven"}[i%2], "v1", handle); err != nil {
			return false, err
		}
	}
	config := `{"version":1,"routes":[{"name":"o","host":"h.example","path-prefix":"/o/","kind":"unsafe","timeout-ms":6000,"target-latency-ms":400,"priority":2,"max-attempts":2,"service":"orders"}],
"services":[{"name":"orders","health-path":"/health","max-connections":45,"protocol":"h1","tls":false,"cold-start-s":3.0,"cold-per-s":0.0}],"limits":{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000}}`
	if err := f.order("POST", "/Configuration.Replace", config); err != nil {
		return false, err
	}
	if err := f.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var others sync.WaitGroup
	defer others.Wait()
	defer close(stop)
	ends := make(map[string]int)
	peak := make(map[string]int)
	var mu sync.Mutex
	for _, front := range f.fronts() {
		others.Go(func() {
			f.steadyLoad(stop, front, ordersPause, 6*time.Second, func() string { return "/o/" }, func(string, answer) {})
		})
		others.Go(func() {
			f.limitMemory(stop, front, func(mb int, killed bool) {
				mu.Lock()
				defer mu.Unlock()
				peak[front.name] = max(peak[front.name], mb)
				if killed {
					ends[front.name]++
				}
			})
		})
	}
	for range endlessRounds {
		time.Sleep(5 * time.Second)
		if trouble {
			on.Store(true)
			f.log("the leaves of orders send bytes without end in %g of their answers", endlessPart)
		}
		time.Sleep(endlessTime)
		on.Store(false)
		f.log("the leaves are sound; %d answers had no end so far", begun.Load())
		time.Sleep(8 * time.Second)
	}
	mu.Lock()
	defer mu.Unlock()
	machines := 0
	for _, front := range f.fronts() {
		f.log("%s: peak of %d MB of %d, %d times over the limit", front.name, peak[front.name], memoryMB, ends[front.name])
		if ends[front.name] >= endsToFault {
			machines++
		}
	}
	return machines >= machinesToFault, nil
}

// limitMemory kills the process of a machine when it uses more memory than the machine
// has, and starts it again.
func (f *fleet) limitMemory(stop chan struct{}, n *node, report func(mb int, killed bool)) {
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		mb := n.residentMB()
		over := mb > memoryMB
		report(mb, over)
		if !over {
			continue
		}
		f.log("platform: %s uses %d MB of %d; its process is killed and started again", n.name, mb, memoryMB)
		n.signal(syscall.SIGKILL)
		<-n.exited
		time.Sleep(300 * time.Millisecond)
		if err := n.start(false); err != nil {
			f.log("could not start %s: %v", n.name, err)
			return
		}
	}
}

// residentMB returns the resident memory of the process, 0 if it is unknown.
func (n *node) residentMB() int {
	n.mu.Lock()
	pid := n.process.Process.Pid
	n.mu.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.Atoi(fields[1])
	if err != nil {
		return 0
	}
	return pages * os.Getpagesize() >> 20
}
