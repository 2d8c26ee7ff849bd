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

func newClient(address net.Addr) *target.Client {
	c := target.NewClient(model.Target{ID: "t", Leaf: leaf, Address: netip.MustParseAddrPort(address.String())}, nil)
	c.SetGrant(2)
	return c
}

func startTarget(handler http.HandlerFunc) *target.Client {
	server := httptest.NewServer(handler)
	DeferCleanup(server.Close)
	c := newClient(server.Listener.Addr())
	DeferCleanup(c.Close)
	return c
}

func sendQuery(c *target.Client) target.Result {
	return c.Query(context.Background(), &target.Query{
		Request: "r-1", Snapshot: "s1", Documents: 7,
		Header: target.NewHeader("r-1", "s1", "search", 1, 100), Body: []byte(`{"query":"rye","limit":1}`),
	})
}

func writeReply(w http.ResponseWriter, body string, length int) {
	h := w.Header()
	h.Set(targetproto.HeaderRequest, "r-1")
	h.Set(targetproto.HeaderSnapshot, "s1")
	h.Set(targetproto.HeaderLeaf, leaf.String())
	if length >= 0 {
		h.Set("Content-Length", fmt.Sprint(length))
	}
	_, _ = io.WriteString(w, body)
}

func validReply() string {
	body, err := json.Marshal(targetproto.QueryReply{Request: "r-1", Leaf: leaf, Snapshot: "s1", Documents: 7})
	Expect(err).NotTo(HaveOccurred())
	return string(body)
}

var _ = Describe("a leaf query", func() {
	It("returns a verified reply", func() {
		c := startTarget(func(w http.ResponseWriter, _ *http.Request) { writeReply(w, validReply(), len(validReply())) })
		Expect(sendQuery(c).Kind).To(Equal(target.KindOK))
	})

	It("rejects a truncated reply", func() {
		c := startTarget(func(w http.ResponseWriter, _ *http.Request) { writeReply(w, validReply()[:20], len(validReply())) })
		Expect(sendQuery(c).Reply).To(BeNil())
	})

	It("rejects a reply whose Content-Length matches an incomplete body", func() {
		c := startTarget(func(w http.ResponseWriter, _ *http.Request) {
			writeReply(w, validReply()[:len(validReply())-1], len(validReply())-1)
		})
		Expect(sendQuery(c).Kind).To(Equal(target.KindMismatched))
	})

	It("proves not-run only by a refusal header or a failed dial", func() {
		for refusal, kind := range map[targetproto.Refusal]target.Kind{
			targetproto.RefusalShed: target.KindShed, targetproto.RefusalDraining: target.KindDraining, "": target.KindFailed,
		} {
			c := startTarget(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(targetproto.HeaderRefusal, string(refusal))
				w.WriteHeader(http.StatusServiceUnavailable)
			})
			result := sendQuery(c)
			Expect(result.Kind).To(Equal(kind))
			Expect(result.Err.Ran == failure.NotRun).To(Equal(refusal != ""))
		}
		closed, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		Expect(closed.Close()).To(Succeed())
		result := sendQuery(newClient(closed.Addr()))
		Expect(result.Kind).To(Equal(target.KindUnreachable))
		Expect(result.Err.Ran).To(Equal(failure.NotRun))
	})
})

var _ = Describe("an order", func() {
	place := func(c *target.Client, allowed func() bool) target.OrderResult {
		return c.Order(context.Background(), &target.Order{Request: "r-1", IdempotencyKey: "k", RemainingMillis: 100}, allowed)
	}

	It("is sent once, even when the target closes connections that an earlier request has used", func() {
		var seen atomic.Int32
		c := startTarget(func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get(targetproto.HeaderIdempotencyKey) == "" {
				writeReply(w, validReply(), len(validReply()))
				return
			}
			seen.Add(1)
			panic(http.ErrAbortHandler)
		})
		Expect(sendQuery(c).Kind).To(Equal(target.KindOK))
		result := place(c, func() bool { return true })
		Expect(result.Err.Ran).To(Equal(failure.Unknown))
		Expect(seen.Load()).To(Equal(int32(1)))
	})

	It("calls allowed after the dial and before the first byte", func() {
		var requests, permissions atomic.Int32
		c := startTarget(func(http.ResponseWriter, *http.Request) { requests.Add(1) })
		result := place(c, func() bool { permissions.Add(1); return false })
		Expect(result.Err.Ran).To(Equal(failure.NotRun))
		Expect(permissions.Load()).To(Equal(int32(1)))
		Expect(requests.Load()).To(BeZero())
	})

	It("has not run if the connection is refused", func() {
		closed, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		Expect(closed.Close()).To(Succeed())
		asked := false
		result := place(newClient(closed.Addr()), func() bool { asked = true; return true })
		Expect(result.Err.Ran).To(Equal(failure.NotRun))
		Expect(asked).To(BeFalse())
	})
})

// FuzzQueryReply passes arbitrary reply bodies to the client. It must not panic
// and must accept only a reply with the request, leaf, snapshot and document count
// of its query.
func FuzzQueryReply(f *testing.F) {
	f.Add([]byte(`{"request":"r-1","leaf":{"service":"svc","leaf":1},"snapshot":"s1","documents":7,"hits":[{"id":"a","score":1}]}`))
	f.Add([]byte(`{"request":"r-2","leaf":{"service":"svc","leaf":1},"snapshot":"s1","documents":7}`))
	f.Add([]byte(`{"request":"r-1","documents":7e99,"hits":[{`))
	f.Add([]byte(`[]`))
	f.Add([]byte(``))
	var body atomic.Pointer[[]byte]
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		text := *body.Load()
		writeReply(w, string(text), len(text))
	}))
	f.Cleanup(server.Close)
	c := newClient(server.Listener.Addr())
	f.Fuzz(func(t *testing.T, text []byte) {
		body.Store(&text)
		result := sendQuery(c)
		if result.Kind != target.KindOK {
			return
		}
		var expected targetproto.QueryReply
		if err := json.Unmarshal(text, &expected); err != nil {
			t.Fatalf("accepted %q, which encoding/json rejects: %v", text, err)
		}
		r := result.Reply
		if r.Request != "r-1" || r.Leaf != leaf || r.Snapshot != "s1" || r.Documents != 7 {
			t.Fatalf("accepted %+v", r)
		}
	})
}
