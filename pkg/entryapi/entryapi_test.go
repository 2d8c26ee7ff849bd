package entryapi_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"radishturn.example/radishturn"
	"radishturn.example/radishturn/pkg/burn"
	"radishturn.example/radishturn/pkg/entryapi"
	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/fanout"
	"radishturn.example/radishturn/pkg/membudget"
	"radishturn.example/radishturn/pkg/order"
	"radishturn.example/radishturn/pkg/problem"
	"radishturn.example/radishturn/pkg/query"
	"radishturn.example/radishturn/pkg/settings"
	"radishturn.example/radishturn/pkg/targetproto"
	"radishturn.example/radishturn/pkg/view"
)

func TestEntryAPI(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "entryapi")
}

// fakeServices fakes every service that the module depends on.
type fakeServices struct {
	lease   view.LeaseState
	query   query.Request
	order   order.Request
	hits    []targetproto.Hit
	failure error
}

func (b *fakeServices) View() *view.View         { return &view.View{} }
func (b *fakeServices) Lease() view.LeaseState   { return b.lease }
func (b *fakeServices) LeaseLeft() time.Duration { return time.Second }
func (b *fakeServices) Snapshots() (int, int)    { return 1, 1 }
func (b *fakeServices) Record(burn.Observation)  {}

func (b *fakeServices) Query(_ context.Context, r query.Request) (*query.Answer, error) {
	b.query = r
	return &query.Answer{RequestID: r.ID, Snapshot: "s1", Hits: b.hits}, b.failure
}

func (b *fakeServices) Place(_ context.Context, r order.Request) (*order.Result, error) {
	b.order = r
	return &order.Result{RequestID: r.ID}, b.failure
}

// serve runs the module on a free port until the spec ends.
func serve(b *fakeServices) string {
	GinkgoHelper()
	url, _ := serveWithMemory(b, 0)
	return url
}

// serveWithMemory is serve with the memory that the settings state, and returns the budget.
func serveWithMemory(b *fakeServices, memoryMB int) (url string, budget *membudget.Budget) {
	GinkgoHelper()
	address := freeAddress()
	c := radishturn.NewContext(&settings.Settings{
		Instance:    settings.Instance{ID: "e1", CallerListen: address, MemoryMB: memoryMB},
		Collections: []settings.Collection{{ID: "shopfront", Deadline: settings.Duration(time.Second)}},
	})
	Expect(radishturn.Provide[view.Source](c, b)).To(Succeed())
	Expect(radishturn.Provide[query.Runner](c, b)).To(Succeed())
	Expect(radishturn.Provide[order.Service](c, b)).To(Succeed())
	Expect(radishturn.Provide[fanout.Readiness](c, b)).To(Succeed())
	Expect(radishturn.Provide[burn.Recorder](c, b)).To(Succeed())
	m := &entryapi.Module{}
	Expect(m.Provision(c)).To(Succeed())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer GinkgoRecover()
		defer close(done)
		Expect(m.Run(ctx)).To(Succeed())
	}()
	DeferCleanup(func() {
		cancel()
		<-done
	})
	return "http://" + address.String(), c.Memory
}

func freeAddress() netip.AddrPort {
	GinkgoHelper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	return netip.MustParseAddrPort(l.Addr().String())
}

// post sends a POST request and returns the status and the problem details, if any.
func post(url, body string, headers ...string) (int, problem.Details) {
	GinkgoHelper()
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	var d problem.Details
	if response.StatusCode >= http.StatusBadRequest {
		Expect(response.Header.Get("Content-Type")).To(Equal(problem.ContentType))
		Expect(json.Unmarshal(text, &d)).To(Succeed())
	}
	return response.StatusCode, d
}

const validQuery = `{"query": "olive bread", "route": "search", "limit": 3}`

var _ = Describe("Caller API", func() {
	var leaks goleak.Option

	BeforeEach(func() {
		leaks = goleak.IgnoreCurrent()
		DeferCleanup(func() {
			Eventually(func() error { return goleak.Find(leaks) }, 5*time.Second).Should(Succeed())
		})
	})

	It("forwards a query with its deadline, limit and caller", func() {
		b := &fakeServices{lease: view.LeaseHeld}
		status, _ := post(serve(b)+"/v1/collections/shopfront/query", validQuery, "Radishturn-Caller", "bakery", "Request-Timeout", "250")
		Expect(status).To(Equal(http.StatusOK))
		Expect(b.query.Caller).To(BeEquivalentTo("bakery"))
		Expect(b.query.Limit).To(Equal(3))
		Expect(b.query.MinCoverage).To(BeNumerically("<", 0))
		Expect(time.Until(b.query.Deadline)).To(BeNumerically("<=", 250*time.Millisecond))
		Expect(string(b.query.ID)).To(HavePrefix("e1."))
	})

	It("rejects an order without an idempotency key, since a resend would look like a new order", func() {
		b := &fakeServices{lease: view.LeaseHeld}
		status, d := post(serve(b)+"/v1/collections/shopfront/orders", `{"leafKey": "k", "order": "loaf"}`)
		Expect(status).To(Equal(http.StatusBadRequest))
		Expect(d.Ran).To(Equal(failure.NotRun))
		Expect(b.order).To(BeZero())
	})

	DescribeTable("rejects invalid input as not run", func(path, body, timeout string, status int, code failure.Code) {
		b := &fakeServices{lease: view.LeaseHeld}
		got, d := post(serve(b)+path, body, "Request-Timeout", timeout)
		Expect(got).To(Equal(status))
		Expect(d.Code).To(Equal(code))
		Expect(d.Ran).To(Equal(failure.NotRun))
		Expect(b.query).To(BeZero())
	},
		Entry("malformed JSON", "/v1/collections/shopfront/query", `{"query": `, "", http.StatusBadRequest, failure.BadRequest),
		Entry("unknown field", "/v1/collections/shopfront/query", `{"query": "a", "q": 1}`, "", http.StatusBadRequest, failure.BadRequest),
		Entry("two values", "/v1/collections/shopfront/query", validQuery+validQuery, "", http.StatusBadRequest, failure.BadRequest),
		Entry("empty query", "/v1/collections/shopfront/query", `{"query": ""}`, "", http.StatusBadRequest, failure.BadRequest),
		Entry("limit of zero", "/v1/collections/shopfront/query", `{"query": "a", "limit": 0}`, "", http.StatusBadRequest, failure.BadRequest),
		Entry("coverage above one", "/v1/collections/shopfront/query", `{"query": "a", "minCoverage": 2}`, "", http.StatusBadRequest, failure.BadRequest),
		Entry("body over the limit", "/v1/collections/shopfront/query", `{"query": "`+strings.Repeat("a", 2<<20)+`"}`, "", http.StatusRequestEntityTooLarge, failure.TooLarge),
		Entry("timeout of zero", "/v1/collections/shopfront/query", validQuery, "0", http.StatusBadRequest, failure.BadRequest),
		Entry("negative timeout", "/v1/collections/shopfront/query", validQuery, "-5", http.StatusBadRequest, failure.BadRequest),
		Entry("timeout that is not a number", "/v1/collections/shopfront/query", validQuery, "soon", http.StatusBadRequest, failure.BadRequest),
		Entry("unknown collection", "/v1/collections/moon/query", validQuery, "", http.StatusNotFound, failure.UnknownCollection),
		Entry("unknown path", "/v1/nothing", validQuery, "", http.StatusNotFound, failure.NotFound),
		Entry("admin path", "/admin/v1/rules", validQuery, "", http.StatusNotFound, failure.NotFound),
	)

	It("rejects headers over the limit", func() {
		url := serve(&fakeServices{lease: view.LeaseHeld})
		request, err := http.NewRequest(http.MethodPost, url+"/v1/collections/shopfront/query", strings.NewReader(validQuery))
		Expect(err).NotTo(HaveOccurred())
		request.Header.Set("Radishturn-Caller", strings.Repeat("a", 64<<10))
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		response, err := client.Do(request)
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		Expect(response.StatusCode).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
	})

	It("returns the details of a failure", func() {
		b := &fakeServices{lease: view.LeaseHeld, failure: &failure.Error{
			Code: failure.OutcomeUnknown, Ran: failure.Unknown, Step: "dispatch", Peer: "t1", RetryAfter: 1500 * time.Millisecond,
		}}
		status, d := post(serve(b)+"/v1/collections/shopfront/orders", `{"leafKey": "k", "order": "loaf"}`, "Idempotency-Key", "key-1")
		Expect(status).To(Equal(http.StatusGatewayTimeout))
		Expect(d.Ran).To(Equal(failure.Unknown))
		Expect(d.Step).To(Equal("dispatch"))
		Expect(d.Peer).To(Equal("t1"))
		Expect(d.RetryAfterMs).To(BeEquivalentTo(1500))
		Expect(d.RequestID).To(Equal(b.order.ID))
	})

	DescribeTable("is ready only with a lease or while control is lost", func(lease view.LeaseState, status int) {
		response, err := http.Get(serve(&fakeServices{lease: lease}) + "/readyz")
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		Expect(response.StatusCode).To(Equal(status))
		http.DefaultClient.CloseIdleConnections()
	},
		Entry("none", view.LeaseNone, http.StatusServiceUnavailable),
		Entry("held", view.LeaseHeld, http.StatusOK),
		Entry("control lost", view.LeaseControlLost, http.StatusOK),
		Entry("cut off", view.LeaseCutOff, http.StatusServiceUnavailable),
	)
})
