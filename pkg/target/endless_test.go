package target_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"runtime/metrics"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/membudget"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/target"
	"radishturn.example/radishturn/pkg/targetproto"
)

const (
	endlessMemoryMB = 184
	endlessTargets  = 300
	endlessTimeout  = time.Second
	endlessPause    = time.Millisecond
)

// listenEndless starts a target that answers with begin, and then repeats a piece, if
// there is one, until the connection is closed.
func listenEndless(begin, repeat string) net.Listener {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	piece := []byte(repeat)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				requests := bufio.NewReader(c)
				if _, err := http.ReadRequest(requests); err != nil {
					return
				}
				_, err := c.Write([]byte(begin))
				for err == nil && len(piece) > 0 {
					time.Sleep(endlessPause)
					_, err = c.Write(piece)
				}
				// Without a piece, it waits until the other side closes.
				_, _ = requests.ReadByte()
			}()
		}
	}()
	return l
}

// endlessBytes is the memory that the process takes from the system.
func endlessBytes() float64 {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(samples)
	return float64(samples[0].Value.Uint64() - samples[1].Value.Uint64())
}

var _ = Describe("300 targets whose replies have no end", func() {
	head := "HTTP/1.1 200 OK\r\n" + fmt.Sprintf("%s: r-1\r\n%s: s1\r\n%s: %s\r\n",
		targetproto.HeaderRequest, targetproto.HeaderSnapshot, targetproto.HeaderLeaf, leaf.String())

	DescribeTable("take less than 0.8 of the memory, and others are asked", func(begin, repeat string) {
		limit := debug.SetMemoryLimit(-1)
		DeferCleanup(func() { debug.SetMemoryLimit(limit) })
		membudget.LimitRuntime(endlessMemoryMB)
		debug.FreeOSMemory()
		memory := membudget.ForProcess(endlessMemoryMB)
		sound := startTarget(func(w http.ResponseWriter, _ *http.Request) { writeReply(w, validReply(), len(validReply())) })
		var queries sync.WaitGroup
		ctx, cancel := context.WithTimeout(context.Background(), endlessTimeout)
		DeferCleanup(cancel)
		for range endlessTargets {
			l := listenEndless(begin, repeat)
			c := target.NewClient(model.Target{ID: "t", Leaf: leaf, Address: netip.MustParseAddrPort(l.Addr().String())}, memory)
			c.SetGrant(1)
			DeferCleanup(c.Close)
			queries.Go(func() {
				q := &target.Query{Request: "r-1", Snapshot: "s1", Documents: 7, Header: target.NewHeader("r-1", "s1", "search", 1, 1000), Body: []byte(`{}`)}
				for ctx.Err() == nil {
					_ = c.Query(ctx, q)
				}
			})
		}
		ended := make(chan struct{})
		go func() { queries.Wait(); close(ended) }()
		for running := true; running; {
			Expect(sendQuery(sound).Kind).To(Equal(target.KindOK))
			Expect(endlessBytes()).To(BeNumerically("<", 0.8*(endlessMemoryMB<<20)))
			select {
			case <-ended:
				running = false
			case <-time.After(2 * time.Millisecond):
			}
		}
		Expect(memory.Used()).To(BeZero())
	},
		Entry("a head", head, strings.Repeat("X-Other: value\r\n", 1<<10)),
		Entry("a field", head+"X-Other: ", strings.Repeat("x", 16<<10)),
		Entry("a stated length", head+"Content-Length: 8388608\r\n\r\n", ""),
		Entry("a body", head+"Content-Length: 8388608\r\n\r\n", strings.Repeat("x", 16<<10)),
	)
})
