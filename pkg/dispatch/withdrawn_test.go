package dispatch

import (
	"net"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/routing"
	"radishturn.example/radishturn/pkg/view"
)

// dialSlowly makes each new connection take a time.
func (f *memoryFixture) dialSlowly(d time.Duration) {
	opts := f.engine.opts
	opts.Dial = func(address string, timeout time.Duration) (net.Conn, error) {
		time.Sleep(d)
		return f.network.dial(address, timeout)
	}
	f.engine = New(opts)
}

func TestNewConnectionIsNotUsedOnceItsTargetStopped(t *testing.T) {
	for name, route := range map[string]*routing.Route{"call": longRoute(false), "query": longQuery("s")} {
		t.Run(name, func(t *testing.T) {
			whileWaiting(t, func(g *WithT, f *memoryFixture, stop func(*memoryFixture, *view.View)) {
				f.dialSlowly(900 * time.Millisecond)
				f.add("other", "a", nil)
				f.add("s", "b", nil)
				f.publish(nil)
				f.changeAt(500*time.Millisecond, stop)
				out := f.doWithin(8*time.Second, route, "q")
				g.Expect(f.servers["i-1"].Requests()).To(BeEmpty())
				g.Expect(out.NotRun()).To(BeTrue())
			})
		})
	}
}

func TestTargetThatStoppedWhileItWasConnectedToKeepsItsHealth(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, f := NewWithT(t), newMemoryFixture(t)
		f.dialSlowly(900 * time.Millisecond)
		f.add("other", "a", nil)
		f.add("s", "b", nil)
		f.publish(nil)
		f.changeAt(500*time.Millisecond, stopsUse["is in an evacuated availability zone"])
		g.Expect(f.doWithin(8*time.Second, longRoute(false), "q").NotRun()).To(BeTrue())
		f.publish(nil)
		g.Expect(f.doWithin(8*time.Second, longRoute(false), "r").Reply).NotTo(BeNil())
	})
}
