//go:build flood

package flood

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

const (
	standaloneIP, standinIP = "127.0.3.3", "127.0.3.4"
	// Ports of the stand-in for the platform and the targets.
	platformPort, standinPort, firstTargetPort = 17000, 17001, 17100
	queryPath                                  = "/v1/collections/c/query"
	queryText                                  = `{"query":"a","limit":1000}`
)

// startStandalone starts an instance with settings of its own and a stand-in for its
// platform and targets, and waits until the instance answers queries.
func startStandalone(t *testing.T, program string) *daemon {
	t.Helper()
	bin, folder := filepath.Dir(program), t.TempDir()
	run(t, filepath.Join(bin, "radishturn"), "keys", "init", folder)
	run(t, filepath.Join(bin, "radishturn"), "keys", "issue", folder, "e1")
	startStandin(t, filepath.Join(bin, "radishturn-standin"), folder)
	address := func(port int) string { return fmt.Sprintf("%s:%d", standaloneIP, port) }
	file := writeJSON(t, folder, "e1.json", map[string]any{
		"instance": map[string]any{
			"id": "e1", "availabilityZone": "a", "memoryMB": lowMemoryMB,
			"meshListen": address(meshPort), "callerListen": address(callerPort), "adminListen": address(controlPort),
		},
		"dataFolder": filepath.Join(folder, "data"), "availabilityZones": []string{"a"},
		"peers":   []any{map[string]any{"id": "e1", "availabilityZone": "a", "meshAddress": address(meshPort)}},
		"control": map[string]any{"members": []string{"e1"}},
		"keys": map[string]any{
			"authority":   filepath.Join(folder, "authority.pem"),
			"certificate": filepath.Join(folder, "e1.pem"), "key": filepath.Join(folder, "e1.key"),
		},
		"platform": map[string]any{"address": fmt.Sprintf("%s:%d", standinIP, platformPort), "balancerLag": "1s"},
		"collections": []any{map[string]any{
			"id": "c", "services": 2, "leaves": 1, "slots": 2, "connections": 30, "deadline": "2s", "policy": "time",
			"objectives": map[string]any{"latency": "100ms", "latencyShare": 0.9, "coverage": 0.9, "coverageShare": 0.9, "orderShare": 0.9},
		}},
	})
	d := startLimited(t, standaloneIP, lowMemoryMB, nil, program, "-config", file)
	awaitStatus(t, http.MethodPost, d.address(callerPort)+queryPath, queryText)
	return d
}

// startStandin starts the platform and the targets of the standalone instance.
func startStandin(t *testing.T, program, folder string) {
	t.Helper()
	file := writeJSON(t, folder, "standin.json", map[string]any{
		"platform": fmt.Sprintf("%s:%d", standinIP, platformPort), "control": fmt.Sprintf("%s:%d", standinIP, standinPort),
		"firstPort": firstTargetPort, "listLag": "100ms", "log": map[string]any{"format": "json", "level": "info"},
		"instances": []any{map[string]any{"id": "e1", "availabilityZone": "a"}},
		"collections": []any{map[string]any{
			"id": "c", "availabilityZones": []string{"a"}, "services": 2, "leaves": 1, "slots": 2,
			"versions": []string{"1"}, "snapshots": []any{map[string]any{"id": "s1"}}, "documentsPerLeaf": 1000,
			"connections": 30, "concurrency": 24, "queue": 48, "serviceTime": map[string]any{"median": "1ms", "sigma": 0.3},
			"cold": map[string]any{"load": 4, "crashLoad": 1000, "requests": 1, "factor": 1, "restartAfter": "1s"},
		}},
	})
	process := exec.Command(program, "--config", file)
	log, err := os.Create(filepath.Join(folder, "standin.log"))
	must(t, err)
	process.Stdout, process.Stderr = log, log
	must(t, process.Start())
	t.Cleanup(func() {
		_ = process.Process.Kill()
		_ = process.Wait()
		_ = log.Close()
	})
}

func writeJSON(t *testing.T, folder, name string, content any) (file string) {
	t.Helper()
	text, err := json.Marshal(content)
	must(t, err)
	file = filepath.Join(folder, name)
	must(t, os.WriteFile(file, text, 0o600))
	return file
}

func run(t *testing.T, program string, arguments ...string) {
	t.Helper()
	if output, err := exec.Command(program, arguments...).CombinedOutput(); err != nil {
		t.Fatalf("%s %v: %s: %s", program, arguments, err, output)
	}
}
