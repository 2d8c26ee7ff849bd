package httpserver_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/httpserver"
	"radishturn.example/radishturn/pkg/membudget"
)

// smallestMachineMB is the memory of the smallest process, in MiB.
const smallestMachineMB = 184

// guarded is a server whose clients count against a budget.
type guarded struct {
	address string
	memory  *membudget.Budget
	ran     atomic.Int64
}

// serveGuarded runs a server with a body of replyBytes in each answer.
func serveGuarded(memory *membudget.Budget, replyBytes int) *guarded {
	GinkgoHelper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	g := &guarded{address: l.Addr().String(), memory: memory}
	reply := strings.Repeat("x", replyBytes)
	s := httpserver.New("test", l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(r.Body); err == nil {
			g.ran.Add(1)
			_, _ = io.WriteString(w, reply)
		}
	}), httpserver.DefaultLimits.With(httpserver.ShareMain, memory))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Run(ctx)
	}()
	DeferCleanup(func() {
		cancel()
		<-done
		Eventually(memory.Used, 5*time.Second).Should(BeZero())
	})
	return g
}

func (g *guarded) dial() net.Conn {
	GinkgoHelper()
	c, err := net.Dial("tcp4", g.address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(c.Close)
	return c
}

func exchange(c net.Conn, request string) (int, error) {
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err := io.WriteString(c, request); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

var _ = Describe("The limits of what clients hold", func() {
	It("are not reached by 300 connections of one address with the longest heads and bodies", func() {
		g := serveGuarded(membudget.ForProcess(smallestMachineMB), 100)
		head := "POST / HTTP/1.1\r\nHost: a\r\nX-A: " + strings.Repeat("a", 15<<10) + "\r\n"
		long := head + "Content-Length: 262144\r\n\r\n" + strings.Repeat("b", 262144)
		short := head + "Content-Length: 0\r\n\r\n"
		var clients sync.WaitGroup
		slots := make(chan struct{}, 8)
		for range 300 {
			c := g.dial()
			clients.Go(func() {
				defer GinkgoRecover()
				for _, request := range []string{short, long, short} {
					slots <- struct{}{}
					status, err := exchange(c, request)
					<-slots
					Expect(err).NotTo(HaveOccurred())
					Expect(status).To(Equal(http.StatusOK))
				}
			})
		}
		clients.Wait()
		Expect(g.ran.Load()).To(BeEquivalentTo(900))
	})

	It("close what has sent no complete request, and answer others", func() {
		g := serveGuarded(membudget.New(2<<20), 100)
		kept := g.dial()
		Expect(exchange(kept, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")).To(Equal(http.StatusOK))
		for range 200 {
			_, _ = io.WriteString(g.dial(), "GET / HTTP/1.1\r\nHost: a\r\nX-A: "+strings.Repeat("a", 14<<10))
		}
		Expect(exchange(kept, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")).To(Equal(http.StatusOK))
		Expect(exchange(g.dial(), "GET / HTTP/1.1\r\nHost: a\r\n\r\n")).To(Equal(http.StatusOK))
		Expect(g.memory.Used()).To(BeNumerically("<", 1<<20))
		Expect(g.ran.Load()).To(BeEquivalentTo(3))
	})

	It("hold for HTTP/2 too, whose requests are answered", func() {
		g := serveGuarded(membudget.New(4<<20), 100)
		protocols := new(http.Protocols)
		protocols.SetUnencryptedHTTP2(true)
		transport := &http.Transport{Protocols: protocols}
		client := &http.Client{Transport: transport, Timeout: 20 * time.Second}
		for range 20 {
			response, err := client.Post("http://"+g.address, "", strings.NewReader(strings.Repeat("b", 100<<10)))
			Expect(err).NotTo(HaveOccurred())
			Expect(response.StatusCode).To(Equal(http.StatusOK))
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
		Expect(g.memory.Used()).To(BeNumerically("<", 256<<10))
		transport.CloseIdleConnections()
		Eventually(g.memory.Used, 5*time.Second).Should(BeZero())
	})
})
