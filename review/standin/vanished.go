//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { scenarios["vanished"] = vanished }

// Figures of the scenario: two of 14 leaves are lost, a share of 0.143.
const (
	vanishedOldLeaves = 12
	vanishedNewLeaves = 2
	vanishedAfter     = 4 * time.Second
)

// vanished moves a service to a version whose leaves are lost for good during the
// roll-out (with trouble). The leaves of the old version end if the roll-out is reported
// as completed, and stay otherwise.
func vanished(f *fleet, trouble bool) (bool, error) {
	handle := func(l *leaf, c *leafConn, r *leafRequest) bool {
		time.Sleep(10 * time.Millisecond)
		_, err := c.Write(l.answer(r, 200, []byte("body of "+r.id)))
		return err == nil
	}
	if err := f.startNodes(3, 2); err != nil {
		return false, err
	}
	zones := []string{"mechelen", "leuven"}
	var old, next []*leaf
	for i := range vanishedOldLeaves {
		l, err := f.startLeaf("orders", zones[i%2], "v1", handle)
		if err != nil {
			return false, err
		}
		old = append(old, l)
	}
	for i := range 2 {
		if _, err := f.startLeaf("catalog", zones[i%2], "v1", handle); err != nil {
			return false, err
		}
	}
	routes := safeRoute("c", "/c/", "catalog") + "," + safeRoute("o", "/o/", "orders")
	if err := f.order("POST", "/Configuration.Replace", `{"version":1,"routes":[`+routes+`],`+movedServices); err != nil {
		return false, err
	}
	if err := f.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	w := f.watch("/c/", "/o/")
	defer w.end()
	time.Sleep(3 * time.Second)
	for i := range vanishedNewLeaves {
		l, err := f.startLeaf("orders", zones[i%2], "v2", handle)
		if err != nil {
			return false, err
		}
		next = append(next, l)
	}
	if err := f.order("POST", "/Rollouts.Start", fmt.Sprintf(`{"service":"orders","target-version":"v2","duration-s":%d}`, movedRolloutSeconds)); err != nil {
		return false, err
	}
	var losses sync.WaitGroup
	if trouble {
		losses.Go(func() {
			time.Sleep(vanishedAfter)
			for _, l := range next {
				l.stop()
				f.log("%s of v2 is lost for good", l.id)
			}
			time.Sleep(2 * time.Second)
			for _, l := range next {
				l.set(func() { l.gone = true })
			}
			f.log("platform: the lost leaves are no longer listed")
		})
	}
	err := f.awaitCompleted("orders", 2*movedRolloutSeconds*time.Second)
	losses.Wait()
	if err == nil {
		for _, l := range old {
			l.set(func() { l.gone = true })
			l.stop()
		}
		f.log("platform: the leaves of v1 have ended")
	} else {
		f.log("platform: the leaves of v1 stay: %v", err)
	}
	config := `{"version":2,"routes":[` + routes + "," + safeRoute("n", "/n/", "orders") + `],` + movedServices
	if err := f.order("POST", "/Configuration.Replace", config); err != nil {
		return false, err
	}
	return w.addedRouteStarves("/n/")
}
