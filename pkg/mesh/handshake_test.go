package mesh_test

import (
	"context"
	"net"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/keys"
	"radishturn.example/radishturn/pkg/mesh"
)

// slowLink delivers datagrams one after the other at a limited rate.
type slowLink struct {
	bytesPerSecond int

	mu        sync.Mutex
	busyUntil time.Time
}

func (l *slowLink) deliver(datagram []byte, write func([]byte)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); l.busyUntil.Before(now) {
		l.busyUntil = now
	}
	l.busyUntil = l.busyUntil.Add(time.Duration(len(datagram)) * time.Second / time.Duration(l.bytesPerSecond))
	time.AfterFunc(time.Until(l.busyUntil), func() { write(datagram) })
}

// relaySlowly forwards datagrams between one client and a server, at a limited rate in each
// direction, and returns its address.
func relaySlowly(server net.Addr, bytesPerSecond int) *net.UDPAddr {
	GinkgoHelper()
	front, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	Expect(err).NotTo(HaveOccurred())
	back, err := net.DialUDP("udp", nil, server.(*net.UDPAddr))
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(front.Close)
	DeferCleanup(back.Close)
	clients := make(chan *net.UDPAddr, 1)
	go func() {
		link := &slowLink{bytesPerSecond: bytesPerSecond}
		known := false
		for {
			buffer := make([]byte, 64<<10)
			n, from, err := front.ReadFromUDP(buffer)
			if err != nil {
				return
			}
			if !known {
				known = true
				clients <- from
			}
			link.deliver(buffer[:n], func(d []byte) { _, _ = back.Write(d) })
		}
	}()
	go func() {
		link := &slowLink{bytesPerSecond: bytesPerSecond}
		client := <-clients
		for {
			buffer := make([]byte, 64<<10)
			n, err := back.Read(buffer)
			if err != nil {
				return
			}
			link.deliver(buffer[:n], func(d []byte) { _, _ = front.WriteToUDP(d, client) })
		}
	}()
	return front.LocalAddr().(*net.UDPAddr)
}

// Guards against a handshake that is abandoned with the call that began it, and begun anew
// by the next one, so that calls with short timeouts never connect over a slow path.
var _ = Describe("Calls with a shorter timeout than a handshake takes", func() {
	const (
		bytesPerSecond = 10_000
		// callTimeout is that of messages without entries between control members.
		callTimeout = 350 * time.Millisecond
		// connectBound is the time within which a group has to elect a leader.
		connectBound = 4 * time.Second
	)
	It("connect, since they share one handshake", func() {
		folder := GinkgoT().TempDir()
		Expect(keys.InitAuthority(folder, time.Hour)).To(Succeed())
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		a := start(ctx, issue(folder, folder, "a", keys.RoleInstance))
		b := start(ctx, issue(folder, folder, "b", keys.RoleInstance))
		a.SetPeer("b", relaySlowly(net.UDPAddrFromAddrPort(b.Address()), bytesPerSecond).AddrPort())
		Eventually(func() error {
			limited, cancelCall := context.WithTimeout(ctx, callTimeout)
			defer cancelCall()
			_, err := mesh.Call[greeting, greeting](limited, a, "b", greet, &greeting{Text: "hello"})
			return err
		}, connectBound, time.Millisecond).Should(Succeed())
	})
})
