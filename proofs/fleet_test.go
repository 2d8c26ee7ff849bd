//go:build proofs

// Package proofs holds system tests with fault injection. They run the daemon as
// separate processes and inject kills, freezes, lost disks and network
// partitions. The package needs the programs in bin; "make proofs" builds them.
package proofs

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/order"
	"radishturn.example/radishturn/pkg/problem"
	"radishturn.example/radishturn/pkg/query"
	"radishturn.example/radishturn/pkg/standin"
)

func TestProofs(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "proofs")
}

// basePort is the first port of the fleet; PROOF_PORT overrides it, so that two
// runs can share a machine. It must be a multiple of 100.
var basePort = int(envUint64("PROOF_PORT", 31000))

// Ports of the parts of the fleet. The instance number is added to the first
// four.
var (
	meshPort        = basePort + 100
	forwarderPort   = basePort + 200
	callerPort      = basePort + 300
	adminPort       = basePort + 400
	platformPort    = basePort + 500
	standinPort     = basePort + 501
	firstTargetPort = basePort + 1000
)

const (
	instances      = 6
	memberCount    = 3
	readyTimeout   = 20 * time.Second
	requestTimeout = 5 * time.Second
	programFolder  = "../bin/"
)

var zones = []string{"split-a", "zadar-b", "sibenik-c"}

// fleet is a stand-in and six instances, each a separate process, with a
// forwarder in front of each instance's mesh address.
type fleet struct {
	folder     string
	network    *network
	forwarders []*forwarder
	client     *http.Client

	mu        sync.Mutex
	processes map[string]*process
}

type process struct {
	command *exec.Cmd
	done    chan struct{}
	err     error
}

// newFleet starts a fleet and waits until every instance is ready.
// standinChanges are pairs of old and new text to replace in the stand-in's
// settings.
func newFleet(seed uint64, standinChanges ...string) *fleet {
	f := &fleet{
		folder:    GinkgoT().TempDir(),
		network:   newNetwork(seed),
		client:    &http.Client{Timeout: requestTimeout},
		processes: make(map[string]*process),
	}
	GinkgoWriter.Printf("seed %d, folder %s\n", seed, f.folder)
	f.run("keys", "init", f.folder+"/keys")
	f.run("keys", "issue", "--for-operator", f.folder+"/keys", "operator", "rival")
	for n := 1; n <= instances; n++ {
		f.run("keys", "issue", f.folder+"/keys", instanceID(n))
		f.writeSettings(n)
		f.addForwarder(n)
	}
	DeferCleanup(f.stopAll)
	f.start("standin", "radishturn-standin", "--config", f.writeStandin(standinChanges))
	for n := 1; n <= instances; n++ {
		f.startInstance(n)
	}
	for n := 1; n <= instances; n++ {
		f.waitReady(n)
	}
	return f
}

// instanceID returns the ID that the demo settings give instance n; n starts at 1.
func instanceID(n int) string { return fmt.Sprintf("e%d", n) }

func allInstances() []int { return []int{1, 2, 3, 4, 5, 6} }

// allExcept returns the numbers of all instances but n; numbers start at 1, so
// allExcept(0) returns all.
func allExcept(n int) []int {
	var others []int
	for _, other := range allInstances() {
		if other != n {
			others = append(others, other)
		}
	}
	return others
}

func address(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

func (f *fleet) addForwarder(n int) {
	forwarder, err := startForwarder(f.network, n, netip.MustParseAddrPort(address(forwarderPort+n)),
		netip.MustParseAddrPort(address(meshPort+n)), func(a netip.AddrPort) int { return int(a.Port()) - meshPort })
	Expect(err).NotTo(HaveOccurred())
	f.forwarders = append(f.forwarders, forwarder)
}

// writeSettings derives the settings of instance n from the demo settings. There
// the ports of instance n are 710n (mesh), 810n (callers) and 910n (admin), so
// replacing the digits before n moves all of them, including those of the peers,
// which are reached through the forwarders. Only members of the control group
// have a data folder.
func (f *fleet) writeSettings(n int) {
	template, err := os.ReadFile("../config/demo/instance.jsonc")
	Expect(err).NotTo(HaveOccurred())
	text := strings.NewReplacer(
		"@N@", fmt.Sprint(n), "@ZONE@", zones[(n-1)%len(zones)], "@FOLDER@", f.folder,
		fmt.Sprintf("%q: \"127.0.0.1:710@N@\"", "meshListen"),
		fmt.Sprintf("%q: %q, %q: %q", "meshListen", address(meshPort+n), "meshAdvertise", address(forwarderPort+n)),
		"127.0.0.1:710", fmt.Sprintf("127.0.0.1:%d", forwarderPort/10),
		"127.0.0.1:810", fmt.Sprintf("127.0.0.1:%d", callerPort/10),
		"127.0.0.1:910", fmt.Sprintf("127.0.0.1:%d", adminPort/10),
		"127.0.0.1:7000", address(platformPort),
	).Replace(string(template))
	if n > memberCount {
		var kept []string
		for _, line := range strings.Split(text, "\n") {
			if !strings.Contains(line, `"dataFolder"`) {
				kept = append(kept, line)
			}
		}
		text = strings.Join(kept, "\n")
	}
	Expect(os.WriteFile(f.settings(n), []byte(text), 0o600)).To(Succeed())
}

func (f *fleet) settings(n int) string { return filepath.Join(f.folder, instanceID(n)+".jsonc") }

func (f *fleet) dataFolder(n int) string { return filepath.Join(f.folder, "data", instanceID(n)) }

func (f *fleet) writeStandin(changes []string) string {
	text, err := os.ReadFile("../config/demo/standin.jsonc")
	Expect(err).NotTo(HaveOccurred())
	pairs := append(slices.Clone(changes), "127.0.0.1:7000", address(platformPort), "127.0.0.1:7001", address(standinPort),
		`"firstPort": 20000`, fmt.Sprintf(`"firstPort": %d`, firstTargetPort))
	settings := strings.NewReplacer(pairs...).Replace(string(text))
	file := filepath.Join(f.folder, "standin.jsonc")
	Expect(os.WriteFile(file, []byte(settings), 0o600)).To(Succeed())
	return file
}

func (f *fleet) start(name, programName string, args ...string) {
	log, err := os.OpenFile(filepath.Join(f.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	Expect(err).NotTo(HaveOccurred())
	p := &process{command: exec.Command(programFolder+programName, args...), done: make(chan struct{})}
	p.command.Stderr, p.command.Stdout = log, log
	Expect(p.command.Start()).To(Succeed())
	go func() {
		p.err = p.command.Wait()
		_ = log.Close()
		close(p.done)
	}()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.processes[name] = p
}

func (f *fleet) startInstance(n int) { f.start(instanceID(n), "radishturnd", "-config", f.settings(n)) }

func (f *fleet) process(n int) *process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.processes[instanceID(n)]
}

func (f *fleet) signal(n int, s syscall.Signal) { _ = f.process(n).command.Process.Signal(s) }

// kill sends SIGKILL to instance n and waits until the process has exited.
func (f *fleet) kill(n int) {
	f.signal(n, syscall.SIGKILL)
	<-f.process(n).done
}

// stop requests a graceful shutdown and returns the exit error of the process.
func (f *fleet) stop(n int) error {
	f.signal(n, syscall.SIGTERM)
	<-f.process(n).done
	return f.process(n).err
}

func (f *fleet) stopAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.processes {
		_ = p.command.Process.Signal(syscall.SIGCONT)
		_ = p.command.Process.Kill()
		<-p.done
	}
	for _, forwarder := range f.forwarders {
		forwarder.close()
	}
	clear(f.processes)
	f.forwarders = nil
}

func (f *fleet) isReady(n int) bool {
	response, err := f.client.Get("http://" + address(callerPort+n) + "/readyz")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (f *fleet) waitReady(n int) {
	GinkgoHelper()
	Eventually(func() bool { return f.isReady(n) }, readyTimeout, 50*time.Millisecond).Should(BeTrue(), func() string {
		log, _ := os.ReadFile(filepath.Join(f.folder, instanceID(n)+".log"))
		return instanceID(n) + " is not ready; its log ends:\n" + string(log[max(0, len(log)-2000):])
	})
}

// command runs the command-line client as an operator against the given
// instances, and returns its output and exit code.
func (f *fleet) command(operator string, at []int, args ...string) (string, int) {
	var addresses []string
	for _, n := range at {
		addresses = append(addresses, address(adminPort+n))
	}
	c := exec.Command(programFolder+"radishturn", args...)
	c.Env = append(os.Environ(), "RADISHTURN_ADMIN="+strings.Join(addresses, ","),
		"RADISHTURN_KEYS="+f.folder+"/keys", "RADISHTURN_OPERATOR="+operator)
	out, err := c.CombinedOutput()
	if _, ok := err.(*exec.ExitError); err != nil && !ok {
		Fail(err.Error())
	}
	return string(out), c.ProcessState.ExitCode()
}

func (f *fleet) run(args ...string) {
	GinkgoHelper()
	out, code := f.command("operator", allInstances(), args...)
	Expect(code).To(Equal(0), out)
}

// reply is the response that a caller got to a query or an order: answer is the
// body of a successful query, result that of a successful order, and problem that
// of an error response.
type reply struct {
	status  int
	answer  query.Answer
	result  order.Result
	problem problem.Details
	err     error
}

// notRun reports whether the response states that the request did not run.
func (r reply) notRun() bool { return r.err == nil && r.problem.Ran == failure.NotRun }

// summary describes the response in a few words.
func (r reply) summary() string {
	switch {
	case r.err != nil:
		return "no answer"
	case r.status == http.StatusOK:
		return "ok"
	}
	return fmt.Sprintf("%s %s", r.problem.Code, r.problem.Ran)
}

func (f *fleet) query(n int, text string) reply {
	body := map[string]any{"query": text, "route": "search", "limit": 3}
	r, raw := f.post(n, "query", "", body)
	if r.status == http.StatusOK {
		r.err = json.Unmarshal(raw, &r.answer)
	}
	return r
}

func (f *fleet) order(n int, key string) reply {
	r, raw := f.post(n, "orders", key, map[string]any{"leafKey": key, "order": "a loaf"})
	if r.status == http.StatusOK {
		r.err = json.Unmarshal(raw, &r.result)
	}
	return r
}

func (f *fleet) post(n int, path, key string, body any) (reply, []byte) {
	payload, err := json.Marshal(body)
	if err != nil {
		return reply{err: err}, nil
	}
	url := fmt.Sprintf("http://%s/v1/collections/shopfront/%s", address(callerPort+n), path)
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, bytes.NewReader(payload))
	if err != nil {
		return reply{err: err}, nil
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Request-Timeout", "2000")
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := f.client.Do(request)
	if err != nil {
		return reply{err: err}, nil
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	r := reply{status: response.StatusCode, err: err}
	if err == nil && r.status != http.StatusOK {
		r.err = json.Unmarshal(raw, &r.problem)
	}
	return r, raw
}

func (f *fleet) getFromStandin(path string, into any) {
	GinkgoHelper()
	response, err := f.client.Get("http://" + address(standinPort) + path)
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	Expect(json.NewDecoder(response.Body).Decode(into)).To(Succeed())
}

func (f *fleet) stats() standin.Stats {
	GinkgoHelper()
	var s standin.Stats
	f.getFromStandin(standin.StatsPath, &s)
	return s
}

// orderRuns returns how often targets ran each key.
func (f *fleet) orderRuns() map[string]int {
	GinkgoHelper()
	var log standin.OrderLog
	f.getFromStandin(standin.OrdersPath, &log)
	runs := make(map[string]int, len(log.Runs))
	for key, list := range log.Runs {
		runs[key] = len(list)
	}
	return runs
}

func (f *fleet) setStandinFaults(faults ...standin.Fault) {
	GinkgoHelper()
	body, err := json.Marshal(standin.FaultsRequest{Faults: faults})
	Expect(err).NotTo(HaveOccurred())
	request, err := http.NewRequest(http.MethodPut, "http://"+address(standinPort)+standin.FaultsPath, bytes.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	request.Header.Set("Content-Type", "application/json")
	response, err := f.client.Do(request)
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	Expect(response.StatusCode).To(BeNumerically("<", http.StatusMultipleChoices))
}

// rulesFile writes rules to a new file and returns its name.
func (f *fleet) rulesFile(lines ...string) string {
	GinkgoHelper()
	file, err := os.CreateTemp(f.folder, "rules-*.txt")
	Expect(err).NotTo(HaveOccurred())
	defer file.Close()
	_, err = file.WriteString(strings.Join(lines, "\n") + "\n")
	Expect(err).NotTo(HaveOccurred())
	return file.Name()
}
