//go:build soak

// Package soak runs the real programs as separate processes on loopback, with
// faults from outside them, and checks what clients and back ends see.
package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const (
	entries  = 4
	controls = 5
	shards   = 6
	// Ports of every instance; each instance has a loopback address of its own.
	frontPort, readyPort, controlPort, meshPort = 18104, 18108, 18106, 17380
	requestTimeout                              = 1500 * time.Millisecond
)

// world is one soak run.
type world struct {
	t      *testing.T
	rng    *rand.Rand
	folder string
	check  *checker
	list   string
	ids    atomic.Int64

	mu    sync.Mutex
	leafs map[string]*leaf
	nodes []*node
	// acked is the highest version that was acknowledged, and tables the shards
	// of each version that was sent.
	acked  int
	sent   int
	shards map[string]bool
	broken int
}

func (w *world) nextID() int64 { return w.ids.Add(1) }

func (w *world) must(err error) {
	if err != nil {
		w.t.Fatal(err)
	}
}

// node is one instance and its process.
type node struct {
	world   *world
	ip      string
	control bool
	first   bool

	mu      sync.Mutex
	process *exec.Cmd
	wanted  bool
}

func newWorld(t *testing.T, seed uint64) *world {
	w := &world{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), folder: t.TempDir(), check: newChecker(),
		leafs: make(map[string]*leaf), shards: make(map[string]bool),
	}
	list, err := net.Listen("tcp4", "127.0.0.1:0")
	w.must(err)
	w.list = list.Addr().String()
	server := &http.Server{Handler: http.HandlerFunc(w.serveList)}
	go func() { _ = server.Serve(list) }()
	t.Cleanup(func() { _ = server.Close() })
	for i := range shards {
		w.shards[fmt.Sprintf("shard-%d", i)] = true
	}
	for s := range w.shards {
		w.startLeaf(s, "a")
		w.startLeaf(s, "b")
	}
	for range 3 {
		w.startLeaf("orders", "a")
	}
	for i := range controls + entries {
		n := &node{world: w, ip: fmt.Sprintf("127.0.1.%d", i+1), control: i < controls, first: true}
		w.nodes = append(w.nodes, n)
		n.start()
	}
	t.Cleanup(w.stopAll)
	return w
}

func (w *world) stopAll() {
	for _, n := range w.nodes {
		n.kill()
	}
	for _, l := range w.leafs {
		l.proxy.stop()
		_ = l.server.Close()
	}
}

func (n *node) zone() string {
	if n.ip[len(n.ip)-1]%2 == 0 {
		return "a"
	}
	return "b"
}

func (n *node) settings() string {
	var b bytes.Buffer
	set := func(k, v string) { fmt.Fprintf(&b, "%s=%s\n", k, v) }
	set("ip-address", n.ip)
	set("zone", n.zone())
	set("internal-port-range", fmt.Sprintf("%d,%d", meshPort, meshPort+10))
	set("seeds", fmt.Sprintf("127.0.1.1:%d,127.0.1.2:%d,127.0.1.3:%d", controlPort, controlPort, controlPort))
	set("bootstrap", fmt.Sprint(n.first))
	set("fault-tolerance.machines", "2")
	set("bounds.drain-ms", "3000")
	set("bounds.budget-window-s", "10")
	set("bounds.retry-budget-ratio", "0.2")
	set("bounds.retry-budget-slack", "200")
	set("cloud.address", n.world.list)
	if n.control {
		set("serves", "control")
		set("listen-addresses.control", fmt.Sprintf("%s:%d", n.ip, controlPort))
		set("data-directory", filepath.Join(n.world.folder, n.ip))
	} else {
		set("serves", "front")
		set("listen-addresses.front", fmt.Sprintf("%s:%d", n.ip, frontPort))
		set("listen-addresses.ready", fmt.Sprintf("%s:%d", n.ip, readyPort))
	}
	return b.String()
}

// start starts the process and starts it again whenever it ends, as a
// supervisor does.
func (n *node) start() {
	file := filepath.Join(n.world.folder, n.ip+".conf")
	n.world.must(os.WriteFile(file, []byte(n.settings()), 0o600))
	log, err := os.OpenFile(filepath.Join(n.world.folder, n.ip+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	n.world.must(err)
	p := exec.Command(os.Getenv("RADISHTURND"))
	p.Env = append(os.Environ(), "RADISHTURN_NODE_FILE="+file)
	p.Stdout, p.Stderr = log, log
	n.mu.Lock()
	defer n.mu.Unlock()
	n.wanted = true
	n.world.must(p.Start())
	n.process = p
	go func() {
		_ = p.Wait()
		_ = log.Close()
		time.Sleep(100 * time.Millisecond)
		n.mu.Lock()
		again := n.wanted && n.process == p
		n.mu.Unlock()
		if again {
			n.start()
		}
	}()
}

// signal sends a signal to the process that this run started.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil && n.process.Process != nil {
		_ = n.process.Process.Signal(s)
	}
}

func (n *node) kill() {
	n.mu.Lock()
	n.wanted = false
	n.mu.Unlock()
	n.signal(syscall.SIGKILL)
}

// wipe ends the process, removes its disk and starts it anew.
func (n *node) wipe() {
	n.kill()
	time.Sleep(200 * time.Millisecond)
	n.world.must(os.RemoveAll(filepath.Join(n.world.folder, n.ip)))
	n.first = false
	n.start()
}

func (w *world) pick(control bool) *node {
	var fit []*node
	for _, n := range w.nodes {
		if n.control == control {
			fit = append(fit, n)
		}
	}
	return fit[w.rng.IntN(len(fit))]
}

// configuration returns the document of a version.
func (w *world) configuration(version int) string {
	list, services := "", `{"name":"orders","max-connections":60}`
	for s := range w.shards {
		list += fmt.Sprintf(",%q", s)
		services += fmt.Sprintf(`,{"name":%q,"max-connections":60}`, s)
	}
	return fmt.Sprintf(`{"version":%d,"routes":[
{"name":"q","host":"h.example","path-prefix":"/q/","kind":"safe","timeout-ms":1500,"target-latency-ms":150,"max-attempts":2,"top-k":%d,"minimum-shard-share":0.6,"gather":[%s]},
{"name":"o","host":"h.example","path-prefix":"/o/","kind":"unsafe","timeout-ms":1500,"target-latency-ms":300,"max-attempts":2,"service":"orders"}],
"services":[%s],"limits":{"max-body-bytes":10000}}`, version, topRecords, list[1:], services)
}

// change sends a new version to control instances until one acknowledges it.
func (w *world) change(ctx context.Context) {
	w.mu.Lock()
	w.sent++
	version := w.sent
	w.mu.Unlock()
	text := w.configuration(version)
	for ctx.Err() == nil {
		n := w.nodes[rand.IntN(controls)]
		status, _ := w.call(ctx, http.MethodPost, n.ip, "/Configuration.Replace", text)
		if status == http.StatusOK {
			w.mu.Lock()
			w.acked = max(w.acked, version)
			w.mu.Unlock()
			return
		}
		if status == http.StatusBadRequest {
			w.finding("version %d was refused", version)
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// readBack reads the configuration at any control instance.
func (w *world) readBack(ctx context.Context) bool {
	w.mu.Lock()
	floor := w.acked
	w.mu.Unlock()
	status, body := w.call(ctx, http.MethodGet, w.nodes[rand.IntN(controls)].ip, "/Configuration.Get", "")
	if status != http.StatusOK {
		return false
	}
	var version int
	if _, err := fmt.Sscanf(body, `{"version":%d`, &version); err != nil || version < floor {
		w.finding("read version %d after %d was acknowledged (%v)", version, floor, err)
	}
	return true
}

func (w *world) call(ctx context.Context, method, ip, path, body string) (int, string) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", ip, controlPort, path), bytes.NewBufferString(body))
	w.must(err)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(text)
}

func (w *world) finding(format string, args ...any) {
	w.check.mu.Lock()
	defer w.check.mu.Unlock()
	w.check.find(format, args...)
}
