package dispatch

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/gather"
	"radishturn.example/radishturn/pkg/routing"
)

// Guards against hedges of calls that the load of the target explains, or that cannot be
// answered in time.
var _ = DescribeTable("The hedge of a call to one service", func(current, next, at time.Duration) {
	const ms = time.Millisecond
	s := singleCall{
		call:     &Call{Route: &routing.Route{Objective: 800 * ms}},
		trace:    Trace{Usual: 170 * ms},
		deadline: 8 * time.Second,
		expected: gather.Expectation{Current: current, Next: next},
	}
	Expect(s.hedgeAt()).To(Equal(at))
},
	Entry("nothing expected", time.Duration(0), time.Duration(0), 400*time.Millisecond),
	Entry("usual targets", 170*time.Millisecond, 170*time.Millisecond, 425*time.Millisecond),
	Entry("earlier, to be in time", 300*time.Millisecond, 300*time.Millisecond, 461*time.Millisecond),
	Entry("slow target", 550*time.Millisecond, 170*time.Millisecond, 805*time.Millisecond),
	Entry("queue longer than the deadline", 170*time.Millisecond, 8*time.Second, 8*time.Second),
)
