package standin_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/platform"
	"radishturn.example/radishturn/pkg/settings"
	"radishturn.example/radishturn/pkg/standin"
	"radishturn.example/radishturn/pkg/targetproto"
)

// fastService keeps tests short. slowService is long enough that a request is
// still in flight while a test acts.
const (
	fastService = time.Millisecond
	slowService = 20 * time.Second
)

func testSettings() *standin.Settings {
	return &standin.Settings{
		Platform: netip.MustParseAddrPort("127.0.0.1:0"),
		Control:  netip.MustParseAddrPort("127.0.0.1:0"),
		Collections: []standin.Collection{{
			ID:                  "shopfront",
			AvailabilityZones:   []model.AvailabilityZoneID{"split-a", "zadar-b", "sibenik-c"},
			Services:            1,
			Leaves:              2,
			Slots:               3,
			Versions:            []model.VersionID{"41", "42"},
			Snapshots:           []standin.Snapshot{{ID: "s1"}, {ID: "s2"}, {ID: "s3", Leaves: 3}},
			MinDocumentsPerLeaf: 10,
			Connections:         8,
			ServiceTime:         standin.Distribution{Median: settings.Duration(fastService)},
			Cold:                standin.Cold{MaxLoad: 1, CrashLoad: 3, Requests: 4, Factor: 1},
		}},
	}
}

// fixture is a running stand-in with a client.
type fixture struct {
	*standin.Standin
	client *http.Client
}

func start(s *standin.Settings) *fixture {
	Expect(s.Check()).To(Succeed())
	running, err := standin.New(s)
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- running.Run(ctx) }()
	client := &http.Client{Transport: &http.Transport{}, Timeout: 5 * time.Second}
	DeferCleanup(func() {
		cancel()
		Expect(<-done).To(Succeed())
		client.CloseIdleConnections()
	})
	return &fixture{Standin: running, client: client}
}

func (f *fixture) list() platform.List {
	var list platform.List
	f.get(f.PlatformAddress(), platform.ListPath, &list)
	return list
}

func (f *fixture) get(a netip.AddrPort, path string, into any) {
	GinkgoHelper()
	response, err := f.client.Get("http://" + a.String() + path)
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	Expect(json.NewDecoder(response.Body).Decode(into)).To(Succeed())
}

// target returns the target with the ID from the platform's list.
func (f *fixture) target(id model.TargetID) model.Target {
	GinkgoHelper()
	for _, t := range f.list().Targets {
		if t.ID == id {
			return t
		}
	}
	Fail("no target " + string(id))
	return model.Target{}
}

// statsOf returns the statistics of a target.
func (f *fixture) statsOf(id model.TargetID) standin.TargetStats {
	for _, t := range f.Stats(true).Targets {
		if t.ID == id {
			return t
		}
	}
	return standin.TargetStats{}
}

// call is a leaf request to send. With a key it is an order, otherwise a query.
type call struct {
	requestID string
	snapshot  string
	text      string
	route     string
	key       string
	deadline  time.Duration
}

// reply is the reply to a leaf request.
type reply struct {
	status int
	header http.Header
	body   []byte
	query  targetproto.QueryReply
}

func (f *fixture) send(ctx context.Context, t model.Target, c call) (reply, error) {
	path, body := targetproto.QueryPath(t.Leaf), any(targetproto.QueryRequest{Query: c.text, Limit: 3})
	if c.key != "" {
		path, body = targetproto.OrderPath(t.Leaf), targetproto.OrderRequest{LeafKey: "loaf", Order: c.text}
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		return reply{}, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+t.Address.String()+path, bytes.NewReader(encoded))
	if err != nil {
		return reply{}, err
	}
	request.GetBody = nil
	request.Header.Set(targetproto.HeaderRequest, c.requestID)
	request.Header.Set(targetproto.HeaderSnapshot, c.snapshot)
	request.Header.Set(targetproto.HeaderRoute, c.route)
	if c.key != "" {
		request.Header.Set(targetproto.HeaderIdempotencyKey, c.key)
	}
	if c.deadline > 0 {
		request.Header.Set(targetproto.HeaderDeadline, strconv.FormatInt(c.deadline.Milliseconds(), 10))
	}
	response, err := f.client.Do(request)
	if err != nil {
		return reply{}, err
	}
	defer response.Body.Close()
	r := reply{status: response.StatusCode, header: response.Header}
	if r.body, err = io.ReadAll(response.Body); err != nil {
		return r, err
	}
	if r.status == http.StatusOK && c.key == "" {
		return r, json.Unmarshal(r.body, &r.query)
	}
	return r, nil
}

var requestCount int

// sendQuery sends a query for snapshot s1 and expects a reply of any status.
func (f *fixture) sendQuery(id model.TargetID) reply {
	GinkgoHelper()
	requestCount++
	r, err := f.send(context.Background(), f.target(id), call{requestID: fmt.Sprintf("r%d", requestCount), snapshot: "s1", text: "bread"})
	Expect(err).NotTo(HaveOccurred())
	return r
}

// sendInBackground sends a query and returns a channel that receives its error.
func (f *fixture) sendInBackground(ctx context.Context, id model.TargetID, c call) <-chan error {
	t := f.target(id)
	done := make(chan error, 1)
	go func() {
		_, err := f.send(ctx, t, c)
		done <- err
	}()
	return done
}

// apply sets a fault over HTTP and returns the number of targets it was set at.
func (f *fixture) apply(text string) int {
	GinkgoHelper()
	request, err := http.NewRequest(http.MethodPut, "http://"+f.ControlAddress().String()+standin.FaultsPath, bytes.NewReader([]byte(`{"faults": [`+text+`]}`)))
	Expect(err).NotTo(HaveOccurred())
	response, err := f.client.Do(request)
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	Expect(response.StatusCode).To(Equal(http.StatusOK))
	var result standin.FaultsReply
	Expect(json.NewDecoder(response.Body).Decode(&result)).To(Succeed())
	return result.Targets[0]
}
