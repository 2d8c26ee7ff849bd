package target_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/target"
	"radishturn.example/radishturn/pkg/targetproto"
)

func TestTarget(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "target")
}

var leaf = model.LeafID{Service: "svc", Leaf: 1}

func clientOf(address net.Addr) *target.Client {
	c := target.NewClient(model.Target{ID: "t", Leaf: leaf, Address: netip.MustParseAddrPort(address.String())})
	c.SetGrant(2)
	return c
}

func serve(handler http.HandlerFunc) *target.Client {
	server := httptest.NewServer(handler)
	DeferCleanup(server.Close)
	c := clientOf(server.Listener.Addr())
	DeferCleanup(c.Close)
	return c
}

func ask(c *target.Client) target.Result {
	return c.Query(context.Background(), &target.Query{
		Request: "r-1", Snapshot: "s1", Documents: 7,
		Header: target.NewHeader("r-1", "s1", "search", 1, 100), Body: []byte(`{"query":"rye","limit":1}`),
	})
}

func answerWith(w http.ResponseWriter, body string, length int) {
	h := w.Header()
	h.Set(targetproto.HeaderRequest, "r-1")
	h.Set(targetproto.HeaderSnapshot, "s1")
	h.Set(targetproto.HeaderLeaf, leaf.String())
	if length >= 0 {
		h.Set("Content-Length", fmt.Sprint(length))
	}
	_, _ = io.WriteString(w, body)
}

func goodReply() string {
	body, err := json.Marshal(targetproto.QueryReply{Request: "r-1", Leaf: leaf, Snapshot: "s1", Documents: 7})
	Expect(err).NotTo(HaveOccurred())
	return string(body)
}

var _ = Describe("a leaf query", func() {
	It("gives a verified reply", func() {
		c := serve(func(w http.ResponseWriter, _ *http.Request) { answerWith(w, goodReply(), len(goodReply())) })
		Expect(ask(c).Kind).To(Equal(target.KindOK))
	})

	It("drops a truncated reply", func() {
		c := serve(func(w http.ResponseWriter, _ *http.Request) { answerWith(w, goodReply()[:20], len(goodReply())) })
		Expect(ask(c).Reply).To(BeNil())
	})

	It("drops a reply whose length cuts the body", func() {
		c := serve(func(w http.ResponseWriter, _ *http.Request) {
			answerWith(w, goodReply()[:len(goodReply())-1], len(goodReply())-1)
		})
		Expect(ask(c).Kind).To(Equal(target.KindMismatched))
	})

	It("proves not-run only by a refusal header or a failed dial", func() {
		for refusal, kind := range map[targetproto.Refusal]target.Kind{
			targetproto.RefusalShed: target.KindShed, targetproto.RefusalDraining: target.KindDraining, "": target.KindFailed,
		} {
			c := serve(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(targetproto.HeaderRefusal, string(refusal))
				w.WriteHeader(http.StatusServiceUnavailable)
			})
			result := ask(c)
			Expect(result.Kind).To(Equal(kind))
			Expect(result.Err.Ran == failure.NotRun).To(Equal(refusal != ""))
		}
		closed, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		Expect(closed.Close()).To(Succeed())
		result := ask(clientOf(closed.Addr()))
		Expect(result.Kind).To(Equal(target.KindUnreachable))
		Expect(result.Err.Ran).To(Equal(failure.NotRun))
	})
})

var _ = Describe("an order", func() {
	place := func(c *target.Client, allowed func() bool) target.OrderResult {
		return c.Order(context.Background(), &target.Order{Request: "r-1", IdempotencyKey: "k", RemainingMillis: 100}, allowed)
	}

	It("is sent once, even when the target drops connections that were used before", func() {
		var seen atomic.Int32
		c := serve(func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get(targetproto.HeaderIdempotencyKey) == "" {
				answerWith(w, goodReply(), len(goodReply()))
				return
			}
			seen.Add(1)
			panic(http.ErrAbortHandler)
		})
		Expect(ask(c).Kind).To(Equal(target.KindOK))
		result := place(c, func() bool { return true })
		Expect(result.Err.Ran).To(Equal(failure.Unknown))
		Expect(seen.Load()).To(Equal(int32(1)))
	})

	It("asks for permission after the dial and before the first byte", func() {
		var requests, permissions atomic.Int32
		c := serve(func(http.ResponseWriter, *http.Request) { requests.Add(1) })
		result := place(c, func() bool { permissions.Add(1); return false })
		Expect(result.Err.Ran).To(Equal(failure.NotRun))
		Expect(permissions.Load()).To(Equal(int32(1)))
		Expect(requests.Load()).To(BeZero())
	})

	It("has not run if no connection could be made", func() {
		closed, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		Expect(closed.Close()).To(Succeed())
		asked := false
		result := place(clientOf(closed.Addr()), func() bool { asked = true; return true })
		Expect(result.Err.Ran).To(Equal(failure.NotRun))
		Expect(asked).To(BeFalse())
	})
})

// FuzzQueryReply feeds any body to the client: it never panics, and accepts
// only a reply of its own request, leaf, snapshot and document count.
func FuzzQueryReply(f *testing.F) {
	f.Add([]byte(`{"request":"r-1","leaf":{"service":"svc","leaf":1},"snapshot":"s1","documents":7,"hits":[{"id":"a","score":1}]}`))
	f.Add([]byte(`{"request":"r-2","leaf":{"service":"svc","leaf":1},"snapshot":"s1","documents":7}`))
	f.Add([]byte(`{"request":"r-1","documents":7e99,"hits":[{`))
	f.Add([]byte(`[]`))
	f.Add([]byte(``))
	var body atomic.Pointer[[]byte]
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		text := *body.Load()
		answerWith(w, string(text), len(text))
	}))
	f.Cleanup(server.Close)
	c := clientOf(server.Listener.Addr())
	f.Fuzz(func(t *testing.T, text []byte) {
		body.Store(&text)
		result := ask(c)
		if result.Kind != target.KindOK {
			return
		}
		var expected targetproto.QueryReply
		if err := json.Unmarshal(text, &expected); err != nil {
			t.Fatalf("accepted %q, which encoding/json refuses: %v", text, err)
		}
		r := result.Reply
		if r.Request != "r-1" || r.Leaf != leaf || r.Snapshot != "s1" || r.Documents != 7 {
			t.Fatalf("accepted %+v", r)
		}
	})
}
