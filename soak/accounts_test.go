//go:build soak

package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// keyMark is part of every key, so that a key is found in any output.
	keyMark = "s3cret"
	// baseAccount has a key in each version.
	baseAccount, baseKey = "base", "base-" + keyMark
	metricsPort          = 9464
)

// Version v of the configuration adds key v of the account "turn", and removes key v-2.
func turnKey(version int) string { return fmt.Sprintf("turn-%d-%s", version, keyMark) }

// tenants returns the accounts of a version.
func tenants(version int) string {
	return fmt.Sprintf(`,"tenants":[{"name":%q,"api-keys":[%q]},{"name":"turn","api-keys":[%q,%q],"priority":1}]`,
		baseAccount, baseKey, turnKey(max(1, version-1)), turnKey(version))
}

// checkCaller checks what a target is told of the account of a request.
func (f *fleet) checkCaller(r *http.Request) {
	account := r.Header.Get("X-Radishturn-Tenant")
	if f.accounts && account != baseAccount && account != "turn" {
		f.addFinding("request %s reached a target for the account %q", r.Header.Get("X-Radishturn-Request-Id"), account)
	}
	for name, values := range r.Header {
		if bytes.Contains([]byte(fmt.Sprint(values)), []byte(keyMark)) {
			f.addFinding("a target got a key in %s", name)
		}
	}
}

// TestAccounts removes and adds keys by configuration versions while entry instances are
// killed and frozen.
func TestAccounts(t *testing.T) {
	seed, duration := uint64(envInt("SOAK_SEED", 1)), time.Duration(envInt("SOAK_SECONDS", 15))*time.Second
	f := newFleet(t, seed)
	f.accounts = true
	ctx, cancel := context.WithTimeout(context.Background(), duration+60*time.Second)
	defer cancel()
	f.replaceConfiguration(ctx)
	f.waitReady(ctx)
	time.Sleep(contactWindow)
	ctx, stop := context.WithCancel(ctx)
	var running sync.WaitGroup
	for i := range entryCount * 2 {
		running.Go(func() { f.runClient(ctx, i) })
	}
	for _, n := range f.instances[controlCount:] {
		running.Go(func() { f.probeKeys(ctx, n) })
	}
	running.Go(func() { f.disturbEntries(ctx, seed) })
	f.changeConfigurations(ctx, seed, time.Now().Add(duration))
	f.checkSharedKey(ctx)
	stop()
	running.Wait()
	f.searchOutputs()
	if f.checker.probes[http.StatusOK] == 0 || f.checker.probes[http.StatusUnauthorized] == 0 {
		f.addFinding("no key was accepted, or none was refused: %v", f.checker.probes)
	}
	f.checker.takeServedShare()
	f.report(seed)
}

// disturbEntries kills and freezes one entry instance after the other.
func (f *fleet) disturbEntries(ctx context.Context, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 5))
	for ctx.Err() == nil {
		n := f.instances[controlCount+rng.IntN(2)]
		if rng.IntN(2) == 0 {
			n.signal(syscall.SIGKILL)
		} else {
			f.freeze(n, time.Duration(300+rng.IntN(3000))*time.Millisecond)
		}
		time.Sleep(time.Duration(500+rng.IntN(4000)) * time.Millisecond)
	}
}

// probeKeys sends requests with keys that come and go to one entry instance.
func (f *fleet) probeKeys(ctx context.Context, entry *instance) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}, Timeout: 2 * requestTimeout}
	defer client.CloseIdleConnections()
	p := &routeProbe{fleet: f, entry: entry, client: client}
	for ctx.Err() == nil {
		f.mu.Lock()
		key, acknowledged := max(1, f.sentVersion-3+rand.IntN(5)), f.acknowledgedVersion
		f.mu.Unlock()
		p.send(ctx, key, "/q/", turnKey(key), func(id string, key, status int, inForce versionRange) {
			p.checkKey(id, key, status, inForce, acknowledged)
		})
		time.Sleep(time.Duration(5+rand.IntN(30)) * time.Millisecond)
	}
}

// checkKey checks a status. inForce are the versions that may be in force at the entry;
// acknowledged is the version that was the newest of control when the request was sent.
func (p *routeProbe) checkKey(id string, key, status int, inForce versionRange, acknowledged int) {
	p.fleet.mu.Lock()
	newest := versionRange{acknowledged, p.fleet.sentVersion}
	p.fleet.mu.Unlock()
	inTouch := p.fleet.checker.contact.binds(p.entry, time.Time{}, 0, time.Now())
	switch {
	case status == http.StatusUnauthorized && (inForce.allHave(key) || newest.allHave(key) && inTouch):
		p.fleet.addFinding("request %s with key %d got 401 from entry %s; in force %v, newest %v", id, key, p.entry.ip, inForce, newest)
	case status == http.StatusOK && inForce.noneHas(key), status == http.StatusNotFound:
		p.fleet.addFinding("request %s with key %d got %d from entry %s; in force %v", id, key, status, p.entry.ip, inForce)
	}
}

// checkSharedKey checks that a configuration in which two accounts share a key is refused,
// without stating the key.
func (f *fleet) checkSharedKey(ctx context.Context) {
	text := fmt.Sprintf(`{"version":1000000,"tenants":[{"name":"a","api-keys":[%q]},{"name":"b","api-keys":[%q]}]}`, baseKey, baseKey)
	status, body := f.call(ctx, http.MethodPost, f.instances[0].ip, "/Configuration.Replace", text)
	if status != http.StatusBadRequest || bytes.Contains([]byte(body), []byte(keyMark)) {
		f.addFinding("a configuration with a shared key got status %d: %s", status, body)
	}
}

// searchOutputs looks for keys in the logs, metrics and status of all instances.
func (f *fleet) searchOutputs() {
	logs, err := filepath.Glob(filepath.Join(f.folder, "127.*.log"))
	f.must(err)
	for _, file := range logs {
		text, err := os.ReadFile(file)
		f.must(err)
		if len(text) == 0 || bytes.Contains(text, []byte(keyMark)) {
			f.addFinding("%s is empty or has a key", filepath.Base(file))
		}
	}
	for _, n := range f.instances {
		for _, path := range []string{"/metrics", "/status"} {
			r, err := http.Get(fmt.Sprintf("http://%s:%d%s", n.ip, metricsPort, path))
			if err != nil {
				continue
			}
			text, _ := io.ReadAll(r.Body)
			_ = r.Body.Close()
			if bytes.Contains(text, []byte(keyMark)) {
				f.addFinding("%s of %s has a key", path, n.ip)
			}
		}
	}
}
