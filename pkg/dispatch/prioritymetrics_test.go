package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/routing"
)

// Metrics were looked up by a name that was formatted for each call.
func TestMetricsByPriorityAllocateNothing(t *testing.T) {
	g := NewWithT(t)
	c := &Call{Route: &routing.Route{Objective: time.Second}, Arrived: time.Now()}
	for _, priority := range []int{-1, 0, maxPriorityLabel, maxPriorityLabel + 1} {
		c.Priority = priority
		g.Expect(testing.AllocsPerRun(10, func() {
			observeWait(c.Priority, time.Millisecond)
			observePriority(c, Outcome{})
		})).To(BeZero())
	}
}
