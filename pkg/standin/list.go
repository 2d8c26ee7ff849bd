package standin

import (
	"encoding/json"
	"sync"
	"time"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/platform"
)

// laggingList shows each version of the platform's list only after a lag.
type laggingList struct {
	sync.Mutex
	lag      time.Duration
	sequence uint64
	versions []listVersion
}

type listVersion struct {
	from time.Time
	json []byte
}

// publish makes the list visible after the lag; the first one at once.
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
	l.versions = append(l.versions, listVersion{from: from, json: encoded})
	return nil
}

// visible returns the newest version whose lag is over.
func (l *laggingList) visible() []byte {
	l.Lock()
	defer l.Unlock()
	now := time.Now()
	for len(l.versions) > 1 && !l.versions[1].from.After(now) {
		l.versions = l.versions[1:]
	}
	return l.versions[0].json
}

// publishList publishes the list as the targets stand now. One call at a time
// does so, since a later list must not be replaced by an earlier one.
func (s *Standin) publishList() error {
	s.publishing.Lock()
	defer s.publishing.Unlock()
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
	for _, snapshot := range s.contents.snapshots {
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

// listEntry returns the target as listed, and false if it is not.
func (t *target) listEntry() (model.Target, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	listed := t.Target
	listed.Leaving = t.leaving
	return listed, t.listed
}

// setListed changes how the list shows the target.
func (t *target) setListed(listed, leaving bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listed, t.leaving = listed, leaving
}
