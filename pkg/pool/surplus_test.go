package pool_test

import (
	"fmt"
	"net"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/exchange"
	"radishturn.example/radishturn/pkg/exchange/exchangetest"
	"radishturn.example/radishturn/pkg/pool"
)

var _ = Describe("Bytes after a reply", func() {
	// Guards against a request that is answered with what a target sent before it.
	It("do not answer the request that starts next", func() {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(l.Close)
		go func() {
			const reply = "200 %s %s false false false false 0 0\n"
			for sent := fmt.Sprintf(reply+reply, "a", "right", "b", "early"); ; sent = fmt.Sprintf(reply, "b", "right") {
				c, err := l.Accept()
				if err != nil {
					return
				}
				DeferCleanup(c.Close)
				if _, err := c.Read(make([]byte, 4<<10)); err == nil {
					_, _ = c.Write([]byte(sent))
				}
			}
		}()
		p := pool.New("i-1", l.Addr().String(), pool.Shared{Codec: exchangetest.Codec{}}, 2)
		DeferCleanup(p.Close)
		results := make(chan pool.Result, 1)
		params := exchange.TargetParams{Target: "i-1", Timeout: time.Second}
		next := &pool.Attempt{Request: &exchange.Request{ID: "b", Method: "GET"}, Params: params, Done: func(r pool.Result) { results <- r }}
		first := &pool.Attempt{Request: &exchange.Request{ID: "a", Method: "GET"}, Params: params, Done: func(pool.Result) { p.Start(next) }}
		Expect(p.Start(first)).To(BeTrue())
		r := await(results)
		Expect(r.Err).NotTo(HaveOccurred())
		Expect(r.Reply.Signature).To(Equal("right"))
	})
})

// watchedConn closes readOn when it is read for the second time.
type watchedConn struct {
	net.Conn
	reads  atomic.Int64
	readOn chan struct{}
}

func (c *watchedConn) Read(p []byte) (int, error) {
	if c.reads.Add(1) == 2 {
		close(c.readOn)
	}
	return c.Conn.Read(p)
}

var _ = Describe("Bytes before the first request", func() {
	// Guards against a connection that takes no request, and still counts as one.
	It("close the connection, which makes room for another", func() {
		readOn, ended := make(chan struct{}), make(chan error, 1)
		dial := func(string, time.Duration) (net.Conn, error) {
			ours, target := net.Pipe()
			go func() {
				_, _ = target.Write([]byte("2"))
				_, err := target.Read(make([]byte, 1))
				ended <- err
			}()
			return &watchedConn{Conn: ours, readOn: readOn}, nil
		}
		p := pool.New("i-1", "target", pool.Shared{Codec: exchangetest.Codec{}, Dial: dial}, 1)
		DeferCleanup(p.Close)
		results := make(chan pool.Result, 1)
		a := &pool.Attempt{
			Request: &exchange.Request{ID: "a", Method: "GET"}, Params: exchange.TargetParams{Target: "i-1", Timeout: time.Second},
			Done:      func(r pool.Result) { results <- r },
			Withdrawn: func() bool { <-readOn; return false },
		}
		Expect(p.Start(a)).To(BeTrue())
		Expect(await(results).Err).To(MatchError(pool.ErrNotSent))
		Eventually(ended, "5s").Should(Receive(HaveOccurred()))
		Eventually(p.Connections, "5s").Should(BeZero())
	})
})
