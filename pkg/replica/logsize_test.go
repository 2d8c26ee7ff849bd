package replica_test

import (
	"context"
	"slices"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/journal"
	"radishturn.example/radishturn/pkg/journal/journaltest"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/replica"
)

// lastMachine keeps the last command, like a configuration that is replaced as a whole.
type lastMachine struct {
	mu   sync.Mutex
	last []byte
}

func (l *lastMachine) Apply(_ uint64, command []byte) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last = slices.Clone(command)
	return nil
}

func (l *lastMachine) Snapshot() ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.last), nil
}

func (l *lastMachine) Restore(snapshot []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last = slices.Clone(snapshot)
	return nil
}

var _ = Describe("A member's data folder", func() {
	const (
		commandBytes = 1 << 20
		commands     = 120
		// wantedBytes holds the snapshot twice, the log since the one before, what is
		// added while a snapshot is written, and a segment.
		wantedBytes = 48 << 20
	)

	// Guards against a log of versions of the state that is much larger than the state.
	It("stays small if the state is small", func() {
		const (
			versions     = 600
			versionBytes = 10_000
			// wantedBytes holds the log up to a snapshot, what is added while it is written, and
			// the snapshot twice.
			wantedBytes = 3 << 20
		)
		disk := &journaltest.Disk{}
		n, err := replica.Open(replica.Options{
			Mesh: newNetwork().join("a"), StateMachine: &lastMachine{},
			Journal:        journal.Options{Folder: "/data", FileSystem: disk},
			InitialMembers: []model.InstanceID{"a"}, ElectionTimeout: electionTimeout, Heartbeat: heartbeat,
		})
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- n.Run(ctx) }()
		Eventually(n.IsLeader, waitTimeout, heartbeat).Should(BeTrue())
		most := 0
		for i := range versions {
			_, err := n.Propose(ctx, slices.Repeat([]byte{byte(i)}, versionBytes))
			Expect(err).NotTo(HaveOccurred())
			most = max(most, disk.Size())
		}
		cancel()
		Expect(<-done).To(Succeed())
		Expect(n.Close()).To(Succeed())
		Expect(most).To(BeNumerically("<=", wantedBytes))
	})

	// Changes of a configuration of 1,480 routes filled the disks of all members.
	It("stays small however large the commands are, also after a restart", func() {
		disk := &journaltest.Disk{}
		most := 0
		run := func(from, to int) {
			n, err := replica.Open(replica.Options{
				Mesh: newNetwork().join("a"), StateMachine: &lastMachine{},
				Journal:        journal.Options{Folder: "/data", FileSystem: disk},
				InitialMembers: []model.InstanceID{"a"}, ElectionTimeout: electionTimeout, Heartbeat: heartbeat,
			})
			Expect(err).NotTo(HaveOccurred())
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan error, 1)
			go func() { done <- n.Run(ctx) }()
			Eventually(n.IsLeader, waitTimeout, heartbeat).Should(BeTrue())
			for i := from; i < to; i++ {
				_, err := n.Propose(ctx, slices.Repeat([]byte{byte(i)}, commandBytes))
				Expect(err).NotTo(HaveOccurred())
				most = max(most, disk.Size())
			}
			cancel()
			Expect(<-done).To(Succeed())
			Expect(n.Close()).To(Succeed())
		}
		// A restart in the middle of an interval counts what the log already holds.
		for i := range 10 {
			run(i*commands/10, (i+1)*commands/10)
		}
		Expect(most).To(BeNumerically("<=", wantedBytes))
	})
})
