package dispatch

import (
	"fmt"
	"net"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp/fasthttputil"

	"radishturn.example/radishturn/pkg/exchange/exchangetest"
	"radishturn.example/radishturn/pkg/model"
)

// The tests in this file state how long a call takes. They run in a synctest bubble,
// whose clock advances only while nothing is left to do, with connections in memory.

// memoryNetwork connects an Engine to targets in the same process.
type memoryNetwork map[string]*fasthttputil.InmemoryListener

// dial implements pool.DialFunc.
func (n memoryNetwork) dial(address string, _ time.Duration) (net.Conn, error) {
	l, ok := n[address]
	if !ok {
		return nil, fmt.Errorf("no target at %s", address)
	}
	return l.Dial()
}

// memoryFixture is a fixture whose targets are reached in memory.
type memoryFixture struct {
	*fixture
	network memoryNetwork
}

func newMemoryFixture(t *testing.T) *memoryFixture {
	f := &memoryFixture{fixture: newFixture(), network: make(memoryNetwork)}
	opts := f.engine.opts
	opts.Dial = f.network.dial
	f.engine = New(opts)
	t.Cleanup(f.stop)
	return f
}

// stop ends all targets and connections, and waits until their goroutines have ended.
func (f *memoryFixture) stop() {
	for _, t := range f.servers {
		t.Stop()
	}
	synctest.Wait()
}

func (f *memoryFixture) add(service model.ServiceID, zone model.AvailabilityZoneID, behave func(int) exchangetest.Behaviour) {
	l := fasthttputil.NewInmemoryListener()
	l.SetLocalAddr(&net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: len(f.targets) + 1})
	f.network[l.Addr().String()] = l
	f.list(exchangetest.Serve(f.nextID(), l, behave), service, zone)
}

func TestQueryOmitsStalledShardWithinObjective(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newMemoryFixture(t)
		f.add("x", "a", nil)
		f.add("y", "a", nil)
		f.add("z", "a", always(exchangetest.Behaviour{NoReply: true}))
		f.publish(nil)
		began := time.Now()
		out := f.do(queryRoute("x", "y", "z"), "q1")
		g.Expect(out.Answer.Missing).To(Equal(1))
		g.Expect(out.Trace.Unanswered).To(HaveLen(1))
		g.Expect(out.Trace.Unanswered[0]).To(HavePrefix("z=i-2"))
		g.Expect(time.Since(began)).To(BeNumerically("<", 200*time.Millisecond))
	})
}
