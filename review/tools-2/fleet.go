//go:build review

package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Ports of the system's processes. Each process has a loopback address of its own.
const (
	frontPort    = 8104
	controlPort  = 8106
	readyPort    = 8108
	meshPort     = 7380
	metricsPort  = 9464
	controlCount = 5
	entryCount   = 6
)

// zones are those of the small deployment pecnica-search.
var zones = []string{"split-a", "zadar-b", "sibenik-c"}

// fleet is the system under test: processes of target/radishturnd, started as the deploy
// file says.
type fleet struct {
	record  *record
	folder  string
	network string
	list    string
	control []*process
	entries []*process
}

type process struct {
	fleet     *fleet
	ip, zone  string
	entry     bool
	bootstrap bool

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

func newFleet(r *record, list string, network string) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: r, folder: folder, network: network, list: list}
	for i := range controlCount {
		f.control = append(f.control, &process{fleet: f, ip: fmt.Sprintf("%s.%d", network, 11+i), zone: zones[i%len(zones)], bootstrap: true})
	}
	for i := range entryCount {
		f.entries = append(f.entries, &process{fleet: f, ip: fmt.Sprintf("%s.%d", network, 31+i), zone: zones[i%len(zones)], entry: true, bootstrap: true})
	}
	for _, p := range f.all() {
		if err := p.start(); err != nil {
			f.stop()
			return nil, err
		}
	}
	return f, nil
}

func (f *fleet) all() []*process { return append(append([]*process(nil), f.control...), f.entries...) }

// freeNetwork returns the first three numbers of loopback addresses on which the ports of
// the system are free.
func freeNetwork() (string, error) {
	for range 50 {
		network := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		free := true
		for _, port := range []int{frontPort, controlPort, readyPort, meshPort, metricsPort} {
			for _, host := range []int{1, 11, 15, 31, 36} {
				l, err := net.Listen("tcp4", fmt.Sprintf("%s.%d:%d", network, host, port))
				if err != nil {
					free = false
					continue
				}
				_ = l.Close()
			}
		}
		if free {
			return network, nil
		}
	}
	return "", fmt.Errorf("no free loopback network")
}

func (p *process) settings() string {
	var b bytes.Buffer
	set := func(k, v string) { fmt.Fprintf(&b, "%s=%s\n", k, v) }
	f := p.fleet
	set("ip-address", p.ip)
	set("zone", p.zone)
	set("region", "dalmacija")
	for _, z := range zones {
		set("zones."+z, "dalmacija")
	}
	set("internal-port-range", "7380,7395")
	set("seeds", fmt.Sprintf("%s:%d,%s:%d,%s:%d", f.control[0].ip, controlPort, f.control[1].ip, controlPort, f.control[2].ip, controlPort))
	set("bootstrap", fmt.Sprint(p.bootstrap))
	set("in-tolerance", fmt.Sprint(!p.entry))
	set("limits.cores", "1")
	set("limits.link-mbps", "1000.0")
	set("discovery", "cloud")
	set("entry", "virtual_ip")
	set("heartbeat-interval-ms", "1200")
	set("contracts", "base,drain,config,cost,retry,recover,scatter,places,rollout")
	set("fault-tolerance.machines", "2")
	set("fault-tolerance.zones", "1")
	set("fault-tolerance.regions", "0")
	for _, bound := range []string{
		"seed-lag-s=3", "reuse-after-s=2", "contact-window-ms=4000", "ack-timeout-ms=5000", "catch-up-s=4", "drain-ms=3000", "grace-s=6",
		"loss-slack-ms=200", "configuration-apply-ms=3000", "rollback-slack-ms=250", "max-stretch-ms=12000", "retry-budget-ratio=0.2",
		"budget-window-s=10", "retry-budget-slack=52", "exposure-share=0.1", "exposure-slack=50", "rollback-ms=5000",
		"cold-burst-factor=1.5", "cold-slack=5", "evacuation-ms=5000", "recovery-s=12",
	} {
		fmt.Fprintf(&b, "bounds.%s\n", bound)
	}
	set("config_mode", "highest")
	set("cloud.address", f.list)
	set("cloud.rate-per-s", "49.0")
	set("cloud.duties", "")
	set("cloud.list-lag-ms", "800")
	if p.entry {
		set("machine-class", "front")
		set("serves", "front")
		set("limits.cpu-share", "0.4")
		set("limits.memory-mb", "284")
		set("limits.fd-limit", "4100")
		set("limits.disk-mb", "0")
		set("listen-addresses.front", fmt.Sprintf("%s:%d", p.ip, frontPort))
		set("listen-addresses.ready", fmt.Sprintf("%s:%d", p.ip, readyPort))
	} else {
		set("machine-class", "core")
		set("serves", "control")
		set("limits.cpu-share", "0.96")
		set("limits.memory-mb", "280")
		set("limits.fd-limit", "4096")
		set("limits.disk-mb", "128")
		set("data-directory", filepath.Join(f.folder, "data-"+p.ip))
		set("listen-addresses.control", fmt.Sprintf("%s:%d", p.ip, controlPort))
	}
	return b.String()
}

// start starts the process with the command of the deploy file.
func (p *process) start() error {
	file := filepath.Join(p.fleet.folder, p.ip+".conf")
	if err := os.WriteFile(file, []byte(p.settings()), 0o600); err != nil {
		return err
	}
	if !p.entry {
		if err := os.MkdirAll(filepath.Join(p.fleet.folder, "data-"+p.ip), 0o700); err != nil {
			return err
		}
	}
	log, err := os.OpenFile(filepath.Join(p.fleet.folder, p.ip+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/radishturnd")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "RADISHTURN_NODE_FILE=" + file}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.cmd, p.exited = cmd, exited
	p.bootstrap = false
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(exited)
	}()
	return nil
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// kill ends the process at once and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

func (p *process) running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.exited == nil {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// stop ends all processes and removes their files, unless KEEP is set.
func (f *fleet) stop() {
	for _, p := range f.all() {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
	}
	for _, p := range f.all() {
		p.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	} else {
		f.record.note("logs are in %s", f.folder)
	}
}

var plain = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}

func (p *process) ready() bool {
	response, err := plain.Get(fmt.Sprintf("http://%s:%d/readiness", p.ip, readyPort))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all entries are ready.
func (f *fleet) awaitReady(limit time.Duration) error {
	until := time.Now().Add(limit)
	for time.Now().Before(until) {
		n := 0
		for _, p := range f.entries {
			if p.ready() {
				n++
			}
		}
		if n == len(f.entries) {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("the entries are not ready after %s", limit)
}

// order sends an operator's call to one control node after the other until one answers
// it clearly, and returns its status and body.
func (f *fleet) order(method, path, body string, limit time.Duration) (int, string) {
	until := time.Now().Add(limit)
	for time.Now().Before(until) {
		p := f.control[rand.IntN(len(f.control))]
		status, text := f.call(p, method, path, body)
		if status != 0 && status < 500 && status != 408 && status != 429 {
			return status, text
		}
		time.Sleep(50 * time.Millisecond)
	}
	return 0, ""
}

func (f *fleet) call(p *process, method, path, body string) (int, string) {
	request, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", p.ip, controlPort, path), bytes.NewBufferString(body))
	if err != nil {
		return 0, ""
	}
	if body != "" {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := plain.Do(request)
	if err != nil {
		f.record.note("operator: %s %s at %s: no answer", method, path, p.ip)
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	f.record.note("operator: %s %s at %s: %d", method, path, p.ip, response.StatusCode)
	return response.StatusCode, string(text)
}
