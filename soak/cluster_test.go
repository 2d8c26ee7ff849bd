//go:build soak

// Package soak runs the real programs as separate processes on loopback, injects
// faults from outside, and checks what clients and back ends observe.
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
	entryCount   = 4
	controlCount = 5
	shardCount   = 6
	// Ports of every instance; each instance has its own loopback address.
	frontPort, readyPort, controlPort, meshPort = 18104, 18108, 18106, 17380
	requestTimeout                              = 1500 * time.Millisecond
)

// cluster holds the instances, the leaves and the checker of one soak run.
type cluster struct {
	t           *testing.T
	rng         *rand.Rand
	folder      string
	checker     *checker
	listAddress string
	ids         atomic.Int64

	mu     sync.Mutex
	leaves map[string]*leaf
	nodes  []*node
	// acknowledgedVersion is the highest configuration version that control
	// acknowledged, and sentVersion the highest that was sent.
	acknowledgedVersion int
	sentVersion         int
	shards              map[string]bool
	lostDisks           int
}

func (c *cluster) nextID() int64 { return c.ids.Add(1) }

func (c *cluster) must(err error) {
	if err != nil {
		c.t.Fatal(err)
	}
}

// node is one instance and its process.
type node struct {
	cluster   *cluster
	ip        string
	control   bool
	bootstrap bool

	mu          sync.Mutex
	process     *exec.Cmd
	keepRunning bool
}

func newCluster(t *testing.T, seed uint64) *cluster {
	c := &cluster{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), folder: t.TempDir(), checker: newChecker(),
		leaves: make(map[string]*leaf), shards: make(map[string]bool),
	}
	list, err := net.Listen("tcp4", "127.0.0.1:0")
	c.must(err)
	c.listAddress = list.Addr().String()
	server := &http.Server{Handler: http.HandlerFunc(c.serveList)}
	go func() { _ = server.Serve(list) }()
	t.Cleanup(func() { _ = server.Close() })
	for i := range shardCount {
		c.shards[fmt.Sprintf("shard-%d", i)] = true
	}
	for s := range c.shards {
		c.startLeaf(s, "a")
		c.startLeaf(s, "b")
	}
	for range 3 {
		c.startLeaf("orders", "a")
	}
	for i := range controlCount + entryCount {
		n := &node{cluster: c, ip: fmt.Sprintf("127.0.1.%d", i+1), control: i < controlCount, bootstrap: true}
		c.nodes = append(c.nodes, n)
		n.start()
	}
	t.Cleanup(c.stopAll)
	return c
}

func (c *cluster) stopAll() {
	for _, n := range c.nodes {
		n.kill()
	}
	for _, l := range c.leaves {
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
	set("bootstrap", fmt.Sprint(n.bootstrap))
	set("fault-tolerance.machines", "2")
	set("bounds.drain-ms", "3000")
	set("bounds.budget-window-s", "10")
	set("bounds.retry-budget-ratio", "0.2")
	set("bounds.retry-budget-slack", "200")
	set("cloud.address", n.cluster.listAddress)
	if n.control {
		set("serves", "control")
		set("listen-addresses.control", fmt.Sprintf("%s:%d", n.ip, controlPort))
		set("data-directory", filepath.Join(n.cluster.folder, n.ip))
	} else {
		set("serves", "front")
		set("listen-addresses.front", fmt.Sprintf("%s:%d", n.ip, frontPort))
		set("listen-addresses.ready", fmt.Sprintf("%s:%d", n.ip, readyPort))
	}
	return b.String()
}

// start starts the process and restarts it whenever it exits, as a supervisor
// does.
func (n *node) start() {
	file := filepath.Join(n.cluster.folder, n.ip+".conf")
	n.cluster.must(os.WriteFile(file, []byte(n.settings()), 0o600))
	log, err := os.OpenFile(filepath.Join(n.cluster.folder, n.ip+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	n.cluster.must(err)
	p := exec.Command(os.Getenv("RADISHTURND"))
	p.Env = append(os.Environ(), "RADISHTURN_NODE_FILE="+file)
	p.Stdout, p.Stderr = log, log
	n.mu.Lock()
	defer n.mu.Unlock()
	n.keepRunning = true
	n.cluster.must(p.Start())
	n.process = p
	go func() {
		_ = p.Wait()
		_ = log.Close()
		time.Sleep(100 * time.Millisecond)
		n.mu.Lock()
		again := n.keepRunning && n.process == p
		n.mu.Unlock()
		if again {
			n.start()
		}
	}()
}

// signal sends a signal to the node's current process.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil && n.process.Process != nil {
		_ = n.process.Process.Signal(s)
	}
}

func (n *node) kill() {
	n.mu.Lock()
	n.keepRunning = false
	n.mu.Unlock()
	n.signal(syscall.SIGKILL)
}

// wipe kills the process, deletes its data directory and starts it again without
// bootstrap.
func (n *node) wipe() {
	n.kill()
	time.Sleep(200 * time.Millisecond)
	n.cluster.must(os.RemoveAll(filepath.Join(n.cluster.folder, n.ip)))
	n.bootstrap = false
	n.start()
}

func (c *cluster) randomNode(control bool) *node {
	var nodes []*node
	for _, n := range c.nodes {
		if n.control == control {
			nodes = append(nodes, n)
		}
	}
	return nodes[c.rng.IntN(len(nodes))]
}

// configuration returns the configuration document of a version.
func (c *cluster) configuration(version int) string {
	list, services := "", `{"name":"orders","max-connections":60}`
	for s := range c.shards {
		list += fmt.Sprintf(",%q", s)
		services += fmt.Sprintf(`,{"name":%q,"max-connections":60}`, s)
	}
	return fmt.Sprintf(`{"version":%d,"routes":[
{"name":"q","host":"h.example","path-prefix":"/q/","kind":"safe","timeout-ms":1500,"target-latency-ms":150,"max-attempts":2,"top-k":%d,"minimum-shard-share":0.6,"gather":[%s]},
{"name":"o","host":"h.example","path-prefix":"/o/","kind":"unsafe","timeout-ms":1500,"target-latency-ms":300,"max-attempts":2,"service":"orders"}],
"services":[%s],"limits":{"max-body-bytes":10000}}`, version, topK, list[1:], services)
}

// replaceConfiguration sends a new version to random control instances until one
// acknowledges it.
func (c *cluster) replaceConfiguration(ctx context.Context) {
	c.mu.Lock()
	c.sentVersion++
	version := c.sentVersion
	c.mu.Unlock()
	text := c.configuration(version)
	for ctx.Err() == nil {
		n := c.nodes[rand.IntN(controlCount)]
		status, _ := c.call(ctx, http.MethodPost, n.ip, "/Configuration.Replace", text)
		if status == http.StatusOK {
			c.mu.Lock()
			c.acknowledgedVersion = max(c.acknowledgedVersion, version)
			c.mu.Unlock()
			return
		}
		if status == http.StatusBadRequest {
			c.addFinding("version %d was refused", version)
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// readConfiguration reads the configuration from a random control instance and
// checks its version. It reports whether the read succeeded.
func (c *cluster) readConfiguration(ctx context.Context) bool {
	c.mu.Lock()
	acknowledged := c.acknowledgedVersion
	c.mu.Unlock()
	status, body := c.call(ctx, http.MethodGet, c.nodes[rand.IntN(controlCount)].ip, "/Configuration.Get", "")
	if status != http.StatusOK {
		return false
	}
	var version int
	if _, err := fmt.Sscanf(body, `{"version":%d`, &version); err != nil || version < acknowledged {
		c.addFinding("read version %d after %d was acknowledged (%v)", version, acknowledged, err)
	}
	return true
}

func (c *cluster) call(ctx context.Context, method, ip, path, body string) (int, string) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", ip, controlPort, path), bytes.NewBufferString(body))
	c.must(err)
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

func (c *cluster) addFinding(format string, args ...any) {
	c.checker.mu.Lock()
	defer c.checker.mu.Unlock()
	c.checker.addFinding(format, args...)
}
