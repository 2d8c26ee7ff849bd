package entryapi_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn"
	"radishturn.example/radishturn/pkg/burn"
	"radishturn.example/radishturn/pkg/entryapi"
	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/fanout"
	"radishturn.example/radishturn/pkg/order"
	"radishturn.example/radishturn/pkg/query"
	"radishturn.example/radishturn/pkg/settings"
	"radishturn.example/radishturn/pkg/view"
)

// Times of the planned stop in these specs.
const (
	stopGrace = 3 * time.Second
	stopLag   = 1250 * time.Millisecond
)

// silentTargets fakes services whose targets never answer: a request that was passed on
// ends with its deadline or its context.
type silentTargets struct {
	fakeServices
	mu       sync.Mutex
	passedOn int
}

func (s *silentTargets) await(ctx context.Context, deadline time.Time) error {
	s.mu.Lock()
	s.passedOn++
	s.mu.Unlock()
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	<-ctx.Done()
	return failure.New(failure.OutcomeUnknown, failure.Unknown, "wait for target", "t1", "%w", context.Cause(ctx))
}

func (s *silentTargets) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.passedOn
}

func (s *silentTargets) Query(ctx context.Context, r query.Request) (*query.Answer, error) {
	return nil, s.await(ctx, r.Deadline)
}

func (s *silentTargets) Place(ctx context.Context, r order.Request) (*order.Result, error) {
	return nil, s.await(ctx, r.Deadline)
}

// startStoppable runs a module and returns it with its address.
func startStoppable(s *silentTargets) (*entryapi.Module, string) {
	GinkgoHelper()
	address := freeAddress()
	c := radishturn.NewContext(&settings.Settings{
		Instance: settings.Instance{ID: "e1", CallerListen: address},
		Platform: settings.Platform{BalancerLag: settings.Duration(stopLag)}, Stop: settings.Stop{Grace: settings.Duration(stopGrace)},
		Collections: []settings.Collection{{ID: "shopfront", Deadline: settings.Duration(time.Minute)}},
	})
	Expect(radishturn.Provide[view.Source](c, s)).To(Succeed())
	Expect(radishturn.Provide[query.Runner](c, s)).To(Succeed())
	Expect(radishturn.Provide[order.Service](c, s)).To(Succeed())
	Expect(radishturn.Provide[fanout.Readiness](c, s)).To(Succeed())
	Expect(radishturn.Provide[burn.Recorder](c, s)).To(Succeed())
	m := &entryapi.Module{}
	Expect(m.Provision(c)).To(Succeed())
	go func() {
		defer GinkgoRecover()
		Expect(m.Run(GinkgoT().Context())).To(Succeed())
	}()
	return m, "http://" + address.String()
}

// statusOf sends a request and returns the status of the response, or 0 if there is none.
func statusOf(client *http.Client, url, body string) int {
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return 0
	}
	request.Header.Set("Idempotency-Key", "key")
	request.Header.Set("Request-Timeout", "30000")
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

var _ = Describe("A planned stop", func() {
	DescribeTable("answers each request that it passed on", func(http2 bool) {
		s := &silentTargets{fakeServices: fakeServices{lease: view.LeaseHeld}}
		m, base := startStoppable(s)
		protocols := new(http.Protocols)
		protocols.SetHTTP1(!http2)
		protocols.SetUnencryptedHTTP2(http2)
		client := &http.Client{Transport: &http.Transport{Protocols: protocols, DisableKeepAlives: !http2}}
		var (
			running  sync.WaitGroup
			mu       sync.Mutex
			statuses = make(map[string]int)
		)
		send := func(when string) {
			for path, body := range map[string]string{"query": validQuery, "orders": `{"leafKey": "k", "order": "loaf"}`} {
				running.Go(func() {
					status := statusOf(client, base+"/v1/collections/shopfront/"+path, body)
					mu.Lock()
					defer mu.Unlock()
					statuses[when+" "+path] = status
				})
			}
		}
		send("before")
		Eventually(s.count).Should(Equal(2))
		began := time.Now()
		took := make(chan time.Duration, 1)
		go func() {
			_ = m.Drain(context.Background())
			_ = m.Cleanup()
			took <- time.Since(began)
		}()
		const steps = 6
		for i := 1; i < steps; i++ {
			time.Sleep(time.Until(began.Add(time.Duration(i) * stopGrace / steps)))
			send(fmt.Sprintf("step %d", i))
		}
		running.Wait()
		Expect(<-took).To(BeNumerically("<", stopGrace))
		answered := 0
		for when, status := range statuses {
			Expect(status).To(BeElementOf(0, http.StatusServiceUnavailable, http.StatusGatewayTimeout), when)
			if status == http.StatusGatewayTimeout {
				answered++
			}
		}
		// A request that was refused or got no answer was not passed on.
		Expect(answered).To(Equal(s.count()))
		Expect(answered).To(BeNumerically(">=", 2*2), fmt.Sprint(statuses))
	},
		Entry("over HTTP/1.1", false),
		Entry("over HTTP/2", true),
	)

	It("ends a request whose body does not arrive as not run", func() {
		s := &silentTargets{fakeServices: fakeServices{lease: view.LeaseHeld}}
		m, base := startStoppable(s)
		body, unfinished := newUnfinishedBody()
		defer unfinished()
		status := make(chan int, 1)
		go func() {
			request, err := http.NewRequest(http.MethodPost, base+"/v1/collections/shopfront/orders", body)
			if err != nil {
				return
			}
			request.Header.Set("Idempotency-Key", "key")
			response, err := (&http.Client{Transport: &http.Transport{}}).Do(request)
			if err != nil {
				status <- 0
				return
			}
			_ = response.Body.Close()
			status <- response.StatusCode
		}()
		body.awaitRead()
		Expect(m.Drain(context.Background())).To(Succeed())
		Expect(m.Cleanup()).To(Succeed())
		Eventually(status, "5s").Should(Receive(Equal(http.StatusServiceUnavailable)))
		Expect(s.count()).To(BeZero())
	})
})

// unfinishedBody is a body of which only the start arrives.
type unfinishedBody struct {
	read     chan struct{}
	finished chan struct{}
	once     sync.Once
	sent     bool
}

func newUnfinishedBody() (*unfinishedBody, func()) {
	b := &unfinishedBody{read: make(chan struct{}), finished: make(chan struct{})}
	return b, func() { close(b.finished) }
}

// Read implements io.Reader.
func (b *unfinishedBody) Read(p []byte) (int, error) {
	if !b.sent {
		b.sent = true
		return copy(p, `{"leafKey": `), nil
	}
	b.once.Do(func() { close(b.read) })
	<-b.finished
	return 0, context.Canceled
}

// awaitRead waits until the start was sent.
func (b *unfinishedBody) awaitRead() { <-b.read }
