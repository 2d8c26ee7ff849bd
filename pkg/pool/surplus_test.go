package pool_test

import (
	"fmt"
	"net"
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
