package standin

import (
	"encoding/json"
	"sync"
	"time"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/platform"
)

// laggingList delays the visibility of each version of the platform's list.
type laggingList struct {
	sync.Mutex
	lag      time.Duration
	sequence uint64
	versions []listVersion
}

type listVersion struct {
	visibleFrom time.Time
	json        []byte
}

// publish makes the list visible after the lag, or at once if it is the first.
func (l *laggingList) publish(list platform.List) error {
	l.Lock()
	defer l.Unlock()
	l.sequence++
	list.Sequence = l.sequence
	encoded, err := json.Marshal(list)
	if err != nil {
		return err
	}
	from := time.Now()
	if len(l.versions) > 0 {
		from = from.Add(l.lag)
	}
	l.versions = append(l.versions, listVersion{visibleFrom: from, json: encoded})
	return nil
}

// visible returns the newest version whose lag has passed.
func (l *laggingList) visible() []byte {
	l.Lock()
	defer l.Unlock()
	now := time.Now()
	for len(l.versions) > 1 && !l.versions[1].visibleFrom.After(now) {
		l.versions = l.versions[1:]
	}
	return l.versions[0].json
}

// publishList publishes a list of the current state of the targets. The mutex
// keeps an older list from replacing a newer one.
func (s *Standin) publishList() error {
	s.publishMu.Lock()
	defer s.publishMu.Unlock()
	list := platform.List{Instances: s.listedInstances()}
	held := make(map[snapshotKey]bool)
	for _, t := range s.targets {
		for _, id := range t.heldSnapshots() {
			held[snapshotKey{t.Collection, id}] = true
		}
		if listed, ok := t.listEntry(); ok {
			list.Targets = append(list.Targets, listed)
		}
	}
	for _, snapshot := range s.partitionMaps.snapshots {
		if held[snapshotKey{snapshot.Collection, snapshot.ID}] {
			list.Snapshots = append(list.Snapshots, snapshot)
		}
	}
	return s.list.publish(list)
}

func (s *Standin) listedInstances() []platform.ListedInstance {
	var listed []platform.ListedInstance
	for _, i := range s.settings.Instances {
		listed = append(listed, platform.ListedInstance{ID: i.ID, AvailabilityZone: i.AvailabilityZone})
	}
	return listed
}

// listEntry returns the target as the platform's list shows it, and false if the
// target is not listed.
func (t *target) listEntry() (model.Target, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	listed := t.Target
	listed.Leaving = t.leaving
	return listed, t.listed
}

// setListed sets whether the platform's list contains the target, and whether
// the target is marked there as leaving.
func (t *target) setListed(listed, leaving bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listed, t.leaving = listed, leaving
}
