package fanout_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"radishturn.example/radishturn/pkg/events"
	"radishturn.example/radishturn/pkg/fanout"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/platform"
	"radishturn.example/radishturn/pkg/query"
	"radishturn.example/radishturn/pkg/settings"
	"radishturn.example/radishturn/pkg/targetproto"
	"radishturn.example/radishturn/pkg/view"
)

// benchServerEnv is the environment variable that makes the test binary serve the
// targets in a separate process, so that the benchmark measures the CPU time of the
// client alone.
const benchServerEnv = "RADISHTURN_BENCH_SERVER"

const (
	benchLeaves = 150
	benchHits   = 10
)

func TestMain(m *testing.M) {
	if os.Getenv(benchServerEnv) != "" {
		serveBench()
		return
	}
	if err := events.Setup(io.Discard, "json", "error"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// serveBench answers queries for every leaf until standard input is closed.
func serveBench() {
	server := &http.Server{Handler: http.HandlerFunc(handleBenchQuery)}
	listener, err := listenLoopback()
	if err != nil {
		panic(err)
	}
	fmt.Println(listener.Addr())
	go func() {
		_, _ = io.Copy(io.Discard, os.Stdin)
		os.Exit(0)
	}()
	_ = server.Serve(listener)
}

func handleBenchQuery(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(r.URL.Path, "/")
	number, _ := strconv.Atoi(parts[3])
	leaf := model.LeafID{Service: model.ServiceID(parts[2]), Leaf: number}
	_, _ = io.Copy(io.Discard, r.Body)
	reply := targetproto.QueryReply{
		Request: model.RequestID(r.Header.Get(targetproto.HeaderRequest)), Leaf: leaf,
		Snapshot: "s1", Documents: documentsPerLeaf,
	}
	for i := range benchHits {
		reply.Hits = append(reply.Hits, targetproto.Hit{ID: fmt.Sprintf("%s-%d", leaf, i), Score: float64(i), Title: "sourdough with rye and spelt"})
	}
	h := w.Header()
	h.Set(targetproto.HeaderRequest, string(reply.Request))
	h.Set(targetproto.HeaderLeaf, leaf.String())
	h.Set(targetproto.HeaderSnapshot, "s1")
	h.Set(targetproto.HeaderVersion, "1")
	h.Set(targetproto.HeaderBoot, "b1")
	h.Set(targetproto.HeaderState, string(targetproto.StateWarm))
	writeJSON(w, reply)
}

func listenLoopback() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }

func startBenchServer(b *testing.B) netip.AddrPort {
	command := exec.Command(os.Args[0], "-test.run=^$")
	command.Env = append(os.Environ(), benchServerEnv+"=1")
	stdin, err := command.StdinPipe()
	if err != nil {
		b.Fatal(err)
	}
	stdout, err := command.StdoutPipe()
	if err != nil {
		b.Fatal(err)
	}
	if err := command.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		_ = stdin.Close()
		_ = command.Wait()
	})
	line := make([]byte, 64)
	n, err := stdout.Read(line)
	if err != nil {
		b.Fatal(err)
	}
	return netip.MustParseAddrPort(strings.TrimSpace(string(line[:n])))
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// measurePerLeaf runs one query at a time and reports the CPU time per leaf request.
func measurePerLeaf(b *testing.B, sendQuery func()) {
	for range 20 {
		sendQuery()
	}
	b.ReportAllocs()
	b.ResetTimer()
	before := processorTime()
	for range b.N {
		sendQuery()
	}
	elapsed := processorTime() - before
	b.StopTimer()
	b.ReportMetric(float64(elapsed.Microseconds())/float64(b.N*benchLeaves), "cpu-µs/leaf")
}

// BenchmarkBareClient is the baseline: one goroutine per leaf that sends, reads and
// decodes with net/http and encoding/json alone.
func BenchmarkBareClient(b *testing.B) {
	address := startBenchServer(b)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: benchLeaves, MaxIdleConns: benchLeaves, DisableCompression: true}}
	defer client.CloseIdleConnections()
	body, _ := json.Marshal(targetproto.QueryRequest{Query: "rye", Limit: benchHits})
	measurePerLeaf(b, func() {
		var requests sync.WaitGroup
		for leaf := range benchLeaves {
			requests.Go(func() { sendBareQuery(b, client, address, leaf, body) })
		}
		requests.Wait()
	})
}

func sendBareQuery(b *testing.B, client *http.Client, address netip.AddrPort, leaf int, body []byte) {
	path := targetproto.QueryPath(model.LeafID{Service: "svc", Leaf: leaf})
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+address.String()+path, bytes.NewReader(body))
	if err != nil {
		b.Error(err)
		return
	}
	for key, value := range map[string]string{
		targetproto.HeaderRequest: "r-1", targetproto.HeaderAttempt: "1", targetproto.HeaderDeadline: "2000",
		targetproto.HeaderSnapshot: "s1", targetproto.HeaderRoute: "search", "Content-Type": "application/json",
	} {
		request.Header.Set(key, value)
	}
	response, err := client.Do(request)
	if err != nil {
		b.Error(err)
		return
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		b.Error(err)
		return
	}
	var reply targetproto.QueryReply
	if err := json.Unmarshal(content, &reply); err != nil {
		b.Error(err)
	}
}

// BenchmarkFanout measures the whole query path over the same leaves.
func BenchmarkFanout(b *testing.B) {
	address := startBenchServer(b)
	f := &fixture{
		lease: view.LeaseHeld,
		list:  &platform.List{Snapshots: []model.Snapshot{snapshotOf("s1", 1, benchLeaves)}},
		view:  &view.View{Grants: map[model.TargetID]view.Grant{}},
	}
	for leaf := range benchLeaves {
		for slot := range 3 {
			id := model.LeafID{Service: "svc", Leaf: leaf}
			t := model.Target{
				ID: model.NewTargetID(shop, id, slot), Collection: shop, Leaf: id, Slot: slot,
				Address: address, AvailabilityZone: zones[slot], Version: "1",
			}
			f.list.Targets = append(f.list.Targets, t)
			f.view.Grants[t.ID] = view.Grant{Connections: 3, ColdLoad: 1}
		}
	}
	f.config = settings.Settings{
		Instance:    settings.Instance{MaxInFlight: 64},
		Collections: []settings.Collection{{ID: shop, HedgeBudget: 0.05, Connections: 30}},
	}
	origin := time.Now()
	f.service = fanout.NewService(fanout.Config{
		Settings: &f.config, Platform: f, View: f, Reporter: f,
		Now: func() time.Duration { return time.Since(origin) },
	})
	f.service.Refresh()
	defer f.service.Close()
	measurePerLeaf(b, func() {
		answer, err := f.service.Query(context.Background(), query.Request{
			ID: "r-1", Collection: shop, Caller: "ana", Route: "search", Query: "rye", Limit: benchHits,
			MinCoverage: 1, Deadline: time.Now().Add(2 * time.Second),
		})
		if err != nil || len(answer.Hits) != benchHits {
			b.Error(err)
		}
	})
}
