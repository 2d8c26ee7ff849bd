//go:build soak

package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"
)

const (
	// remoteMeshPort is the mesh port of instances that others reach through a relay.
	remoteMeshPort = meshPort + 11
	// changesBefore is the number of versions in the log when a voter is lost, and
	// largeTable the number of routes of each.
	changesBefore, largeTable = 100, 80
	changeInterval            = 400 * time.Millisecond
	// leaderBound is the time within which a leader must serve after the processes started.
	leaderBound = 20 * time.Second
)

// bytesPerSecondOfSlowPaths are rates at which the whole log arrives long before the last
// disks are lost.
var bytesPerSecondOfSlowPaths = []int{1_000_000, 200_000}

// Guards against the loss of the quorum when two disks are lost at once: the group had
// removed a lost voter long before, and the voter in its place never caught up.
func TestLostDisksStopAGroupWithAnUnfinishedReplacement(t *testing.T) {
	runUnfinishedReplacement(t, 1, pathFault{lossShare: 0.2})
}

// Guards against the same over a path without loss that is slower than the pace at which
// entries count as lost. It runs only if SOAK_SEEDS is set.
func TestLostDisksStopAGroupWithAReplacementOverASlowPath(t *testing.T) {
	if envInt("SOAK_SEEDS", 0) == 0 {
		return
	}
	for _, rate := range bytesPerSecondOfSlowPaths {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			runUnfinishedReplacement(t, 1, pathFault{bytesPerSecond: rate})
		})
	}
}

// runUnfinishedReplacement replaces a voter by one behind a faulty path, lets a second
// member lose its disk and, later, two more in a loss of power.
func runUnfinishedReplacement(t *testing.T, seed uint64, fault pathFault) {
	useMemoryFolder(t)
	f := newFleet(t, seed)
	f.fixedRoutes = largeTable
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	replacement := f.newMember(remoteMeshPort)
	path := f.startRelay(seed, f.instances, []*instance{replacement})
	path.setFault(fault)
	for range changesBefore {
		f.replaceConfiguration(ctx)
	}
	f.awaitVoters(ctx, f.instances[:controlCount])
	stopChanges := f.startChanges(ctx)

	f.instances[0].stop()
	time.Sleep(time.Second)
	replacement.start()
	time.Sleep(12 * time.Second)
	f.instances[1].loseDisk(time.Second)
	time.Sleep(10 * time.Second)
	f.checker.contact.log("the path passed %d bytes and dropped %d", path.passed.Load(), path.dropped.Load())
	f.losePower(time.Second, append(slices.Clone(f.instances[1:]), replacement), f.instances[2:4])
	f.awaitLeader(ctx)
	stopChanges()
	f.replaceConfigurationInTime(ctx)
	f.report(seed)
}

// memoryFolder is on a file system in memory, on systems that have it.
const memoryFolder = "/dev/shm"

// useMemoryFolder keeps the data of the instances in memory if possible: syncs of a busy
// disk may take longer than leaderBound.
func useMemoryFolder(t *testing.T) {
	if _, err := os.Stat(memoryFolder); err == nil {
		t.Setenv("TMPDIR", memoryFolder)
	}
}

// newMember returns a further control instance, whose process is not started yet.
func (f *fleet) newMember(meshPort int) *instance {
	n := &instance{fleet: f, ip: instanceIP(len(f.instances)), member: true, meshPort: meshPort}
	f.t.Cleanup(func() {
		n.stop()
		n.awaitExit()
	})
	return n
}

// loseDisk kills the process and starts it after a time, without its data folder.
func (n *instance) loseDisk(down time.Duration) {
	n.stop()
	time.Sleep(down)
	n.removeData()
	n.start()
}

// removeData deletes the data folder of an instance that does not run. The instance
// starts without bootstrap from then on.
func (n *instance) removeData() {
	n.fleet.must(os.RemoveAll(filepath.Join(n.fleet.folder, n.ip)))
	n.bootstrap = false
	n.fleet.checker.contact.log("%s loses its disk", n.ip)
}

// losePower kills processes at once, and starts them after a time. Some of the instances
// lose their disks.
func (f *fleet) losePower(down time.Duration, instances, lostDisks []*instance) {
	f.checker.contact.loseMost()
	for _, n := range instances {
		n.stop()
	}
	time.Sleep(down)
	for _, n := range lostDisks {
		n.removeData()
	}
	for _, n := range instances {
		n.start()
	}
}

// awaitVoters waits until the voters are exactly the given members, with their disks.
func (f *fleet) awaitVoters(ctx context.Context, members []*instance) {
	for !f.areVoters(ctx, members) {
		f.must(ctx.Err())
		time.Sleep(50 * time.Millisecond)
	}
}

// areVoters reports whether one of the members leads a group whose voters are the members.
func (f *fleet) areVoters(ctx context.Context, members []*instance) bool {
	var disks, voters []diskStatus
	for _, n := range members {
		s := n.status(ctx)
		disks = append(disks, s.Self)
		if s.Role == "leader" {
			voters = s.Voters
		}
	}
	isMissing := func(d diskStatus) bool { return !slices.Contains(voters, d) }
	return len(voters) == len(members) && !slices.ContainsFunc(disks, isMissing)
}

// memberStatus is what a control instance tells of the control group.
type memberStatus struct {
	Self   diskStatus   `json:"self"`
	Role   string       `json:"role"`
	Voters []diskStatus `json:"voters"`
}

// diskStatus is a member of the control group: an instance and its disk.
type diskStatus struct {
	Instance string `json:"instance"`
	Disk     string `json:"disk"`
}

// status returns the status of a control instance, or an empty one if it does not answer.
func (n *instance) status(ctx context.Context) memberStatus {
	var status struct {
		Control struct {
			Member memberStatus `json:"member"`
		} `json:"control"`
	}
	text := n.fleet.get(ctx, fmt.Sprintf("http://%s:%d/status", n.ip, metricsPort))
	_ = json.Unmarshal(text, &status)
	return status.Control.Member
}

// get returns the body of a response, or nothing if there is none in time.
func (f *fleet) get(ctx context.Context, url string) []byte {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	f.must(err)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil
	}
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(response.Body)
	return text
}

// startChanges replaces the configuration at a fixed interval; stop ends it.
func (f *fleet) startChanges(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	running.Go(func() {
		for ctx.Err() == nil {
			f.replaceConfigurationInTime(ctx)
			time.Sleep(changeInterval)
		}
	})
	return func() {
		cancel()
		running.Wait()
	}
}

// replaceConfigurationInTime sends a new version until it is acknowledged, which must
// succeed within leaderBound.
func (f *fleet) replaceConfigurationInTime(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, leaderBound)
	defer cancel()
	f.replaceConfiguration(bounded)
	if bounded.Err() != nil && ctx.Err() == nil {
		f.addFinding("a new configuration is not acknowledged within %s", leaderBound)
	}
}

// awaitLeader reads the configuration until a leader answers, and returns how long that
// took.
func (f *fleet) awaitLeader(ctx context.Context) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, leaderBound)
	defer cancel()
	began := time.Now()
	for !f.readConfiguration(ctx) {
		if ctx.Err() != nil {
			f.addFinding("no leader serves the configuration %s after the start of the processes", leaderBound)
			break
		}
		time.Sleep(time.Duration(10+rand.IntN(20)) * time.Millisecond)
	}
	took := time.Since(began)
	f.checker.contact.log("a leader serves after %s", took.Round(time.Millisecond))
	return took
}
