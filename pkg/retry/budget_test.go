package retry_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"radishturn.example/radishturn/pkg/retry"
)

func TestRetry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "retry")
}

type arrival struct {
	at    time.Duration
	extra bool
}

// count returns the number of arrivals in the window of length w that begins at
// from.
func count(arrivals []arrival, from, w time.Duration, extra bool) int {
	n := 0
	for _, a := range arrivals {
		if a.extra == extra && a.at >= from && a.at < from+w {
			n++
		}
	}
	return n
}

// firstExceededWindow returns the start of the first window in which the fleet's
// extra requests exceed the bound. The share applies to the maximum of the
// requests in that window, in the previous one and in the one that begins half a
// window earlier, because an extra request is allowed by the requests in the window
// that ends with it, most of which may lie before the window under test.
func firstExceededWindow(arrivals []arrival, b retry.Bound) (time.Duration, bool) {
	for _, start := range arrivals {
		from := start.at
		requests := max(
			count(arrivals, from, b.Window, false),
			count(arrivals, from-b.Window, b.Window, false),
			count(arrivals, from-b.Window/2, b.Window, false),
		)
		if float64(count(arrivals, from, b.Window, true)) > b.Ratio*float64(requests)+b.Slack {
			return from, true
		}
	}
	return 0, false
}

var _ = Describe("Budget", func() {
	It("keeps the fleet within the bound in every window while the request rate varies by half", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			fleet := retry.Bound{Window: 10 * time.Second, Ratio: 0.2, Slack: 12}
			instances := rapid.IntRange(1, 4).Draw(t, "instances")
			budgets := make([]retry.Budget, instances)
			var arrivals []arrival
			now := time.Duration(0)
			for range rapid.IntRange(1, 600).Draw(t, "requests") {
				now += time.Duration(rapid.IntRange(25, 75).Draw(t, "gap")) * time.Millisecond
				b := &budgets[rapid.IntRange(0, instances-1).Draw(t, "instance")]
				bound := fleet.ForInstance(instances, 0.85)
				b.RecordRequest(now, bound)
				arrivals = append(arrivals, arrival{at: now})
				for range rapid.IntRange(0, 3).Draw(t, "hedges") {
					if b.Take(now, bound) {
						arrivals = append(arrivals, arrival{at: now, extra: true})
					}
				}
			}
			if at, bad := firstExceededWindow(arrivals, fleet); bad {
				t.Fatalf("bound exceeded in the window from %s", at)
			}
		})
	})

	It("allows extra requests again once the window has passed", func() {
		b, bound := &retry.Budget{}, retry.Bound{Window: time.Second, Slack: 1}
		Expect(b.Take(0, bound)).To(BeTrue())
		Expect(b.Take(500*time.Millisecond, bound)).To(BeFalse())
		Expect(b.Take(1200*time.Millisecond, bound)).To(BeTrue())
	})

	It("resets after a long pause", func() {
		b, bound := &retry.Budget{}, retry.Bound{Window: time.Second, Slack: 1}
		Expect(b.Take(0, bound)).To(BeTrue())
		Expect(b.Take(time.Hour, bound)).To(BeTrue())
	})
})
