package clientlimit_test

import (
	"net/netip"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"radishturn.example/radishturn/pkg/clientlimit"
)

var (
	one   = netip.MustParseAddr("10.0.0.1")
	other = netip.MustParseAddr("10.0.0.2")
)

func open(g *WithT, t *clientlimit.Table, a netip.Addr) *clientlimit.Conn {
	c, reason := t.Open(a, 1)
	g.Expect(reason).To(Equal(clientlimit.ReasonNone))
	return c
}

// Guards against an ordinary client that is cut off in favour of one that sends nothing.
func TestTheOldestWithoutACompleteRequestIsEvictedFirst(t *testing.T) {
	g := NewWithT(t)
	table := clientlimit.New(clientlimit.Limits{Connections: 8, Bytes: 100})
	busy, kept, part := open(g, table, one), open(g, table, one), open(g, table, one)
	g.Expect(table.Begin(busy, true)).To(BeTrue())
	g.Expect(table.Begin(kept, true)).To(BeTrue())
	table.Idle(kept, 1)
	g.Expect(table.Begin(part, false)).To(BeTrue())
	silent := []*clientlimit.Conn{open(g, table, other), open(g, table, other), open(g, table, other)}
	g.Expect(table.TakeEvicted()).To(BeEmpty())
	open(g, table, other)
	evicted := table.TakeEvicted()
	g.Expect(evicted).To(HaveLen(1))
	g.Expect(evicted[0].Conn == silent[0] || evicted[0].Conn == part).To(BeTrue())
	g.Expect(table.Begin(evicted[0].Conn, true)).To(BeFalse(), "a request of an evicted connection runs")
	for range 100 {
		open(g, table, other)
	}
	g.Expect(table.Begin(busy, true)).To(BeTrue())
	g.Expect(table.Begin(kept, true)).To(BeTrue())
}

// Guards against one client address that takes all connections.
func TestOneAddressLeavesRoomForOthers(t *testing.T) {
	g := NewWithT(t)
	table := clientlimit.New(clientlimit.Limits{Connections: 100, Bytes: 1000})
	for range 75 {
		c := open(g, table, one)
		g.Expect(table.Begin(c, true)).To(BeTrue())
	}
	_, reason := table.Open(one, 1)
	g.Expect(reason).To(Equal(clientlimit.ReasonAddress))
	open(g, table, other)
	g.Expect(table.TakeEvicted()).To(BeEmpty())
}

// Guards against kept connections of many clients that lock new ones out.
func TestIdleConnectionsOfTheLargestClientGiveWay(t *testing.T) {
	g := NewWithT(t)
	table := clientlimit.New(clientlimit.Limits{Connections: 4, Bytes: 1000})
	small := open(g, table, other)
	var large []*clientlimit.Conn
	for _, c := range []*clientlimit.Conn{small, open(g, table, one)} {
		table.Begin(c, true)
		table.Idle(c, 1)
	}
	for range 2 {
		c := open(g, table, one)
		table.Begin(c, true)
		table.Idle(c, 1)
		large = append(large, c)
	}
	c, reason := table.Open(netip.MustParseAddr("10.0.0.3"), 1)
	g.Expect(reason).To(Equal(clientlimit.ReasonNone))
	g.Expect(c).NotTo(BeNil())
	g.Expect(table.TakeEvicted()).To(HaveLen(1))
	g.Expect(table.Begin(small, true)).To(BeTrue())
	g.Expect(table.Begin(large[1], true)).To(BeTrue())
}

// Guards against ordinary clients whose requests are cut while they arrive, though kept
// connections hold most of the room.
func TestIdleConnectionsGiveWayToRequestsThatArrive(t *testing.T) {
	g := NewWithT(t)
	for _, whose := range []netip.Addr{one, other} {
		table := clientlimit.New(clientlimit.Limits{Connections: 20, Bytes: 20})
		for range 14 {
			c := open(g, table, whose)
			table.Begin(c, true)
			table.Idle(c, 1)
		}
		arriving := []*clientlimit.Conn{open(g, table, one), open(g, table, one)}
		g.Expect(table.Grow(arriving[0], 6)).To(BeTrue(), "idle connections of %s", whose)
		for _, c := range arriving {
			g.Expect(table.Begin(c, true)).To(BeTrue(), "idle connections of %s", whose)
		}
	}
}

// Guards against clients that take no answers and lock others out.
func TestBusyConnectionsThatTakeNoAnswerGiveWayLast(t *testing.T) {
	g := NewWithT(t)
	table := clientlimit.New(clientlimit.Limits{Connections: 4, Bytes: 1000})
	table.Stalled = func(owner any) bool { return owner == "stalled" }
	begin := func(a netip.Addr) *clientlimit.Conn {
		c := open(g, table, a)
		g.Expect(table.Begin(c, true)).To(BeTrue())
		return c
	}
	running, stalled, idle := begin(one), begin(one), begin(other)
	stalled.Owner = "stalled"
	table.Idle(idle, 1)
	for _, victim := range []*clientlimit.Conn{idle, stalled} {
		begin(other)
		c := begin(netip.MustParseAddr("10.0.0.3"))
		evicted := table.TakeEvicted()
		g.Expect(evicted).To(HaveLen(1))
		g.Expect(evicted[0].Conn).To(BeIdenticalTo(victim))
		table.Close(c)
	}
	g.Expect(table.Begin(running, true)).To(BeTrue())
}

// Guards against a sum of what clients hold that passes the limits or is not returned,
// and against requests that run on connections which were evicted.
func TestLimitsHoldInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := clientlimit.Limits{Connections: rapid.IntRange(2, 20).Draw(t, "connections"), Bytes: 200}
		table := clientlimit.New(limits)
		var conns []*clientlimit.Conn
		gone := make(map[*clientlimit.Conn]bool)
		pick := func() *clientlimit.Conn { return conns[rapid.IntRange(0, len(conns)-1).Draw(t, "connection")] }
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			step := rapid.IntRange(0, 9).Draw(t, "step")
			switch {
			case step < 4 || len(conns) == 0:
				address := netip.AddrFrom4([4]byte{10, 0, 0, byte(rapid.IntRange(0, 3).Draw(t, "address"))})
				if c, _ := table.Open(address, 5); c != nil {
					conns = append(conns, c)
				}
			case step == 4:
				table.Grow(pick(), int64(rapid.IntRange(1, 60).Draw(t, "bytes")))
			case step == 5:
				if c := pick(); table.Begin(c, rapid.Bool().Draw(t, "whole")) && gone[c] {
					t.Fatal("a request begins on a connection that was evicted")
				}
			case step == 6:
				table.Complete(pick())
			case step == 7:
				table.Idle(pick(), 5)
			case step == 8:
				table.Partial(pick())
			default:
				c := pick()
				table.Close(c)
				gone[c] = true
			}
			for _, e := range table.TakeEvicted() {
				gone[e.Conn] = true
			}
			if table.Connections() > limits.Connections || table.Bytes() > limits.Bytes {
				t.Fatalf("%d connections, %d bytes", table.Connections(), table.Bytes())
			}
			if live := len(conns) - len(gone); live != table.Connections() {
				t.Fatalf("%d connections live, %d counted", live, table.Connections())
			}
		}
		for _, c := range conns {
			table.Close(c)
		}
		if table.Connections() != 0 || table.Bytes() != 0 {
			t.Fatalf("%d connections, %d bytes are left", table.Connections(), table.Bytes())
		}
	})
}
