package state

import (
	"fmt"
	"maps"
	"time"

	"radishturn.example/radishturn/pkg/control"
	"radishturn.example/radishturn/pkg/duty"
	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/move"
	"radishturn.example/radishturn/pkg/routing"
	"radishturn.example/radishturn/pkg/rules"
	"radishturn.example/radishturn/pkg/usage"
)

const (
	// MaxHistory limits the number of accepted changes in the history.
	MaxHistory = 256
	// MaxHistoryBytes limits the total text of the accepted changes in the history.
	MaxHistoryBytes = 8 << 20
	// MaxInstances limits the number of instances that may hold leases.
	MaxInstances = 4096
	// MaxZones limits the number of availability zones whose newest call is recorded.
	MaxZones = 1024
)

// State is the complete replicated state. It is not safe for concurrent use.
type State struct {
	data snapshotData
	// itemChanges records the changed items, from which deltas are computed. It is
	// unrelated to the Raft log.
	itemChanges changeLog
	// claimExpiries orders the claims by expiry.
	claimExpiries expiryQueue
	// ruleIndex maps items to the newest rules.
	ruleIndex map[itemKey]rules.Rule
}

// snapshotData is the part of the state that snapshots contain.
type snapshotData struct {
	// Clock is the highest Command.Clock so far.
	Clock time.Duration `cbor:"1,keyasint"`
	// Version is the index of the newest command that changed the view of the
	// entry instances.
	Version uint64 `cbor:"2,keyasint"`
	// Changes are the accepted rules, oldest first.
	Changes     []control.Change                         `cbor:"3,keyasint"`
	Moves       map[model.CollectionID]move.State        `cbor:"4,keyasint"`
	Suspects    map[model.Fingerprint]suspect            `cbor:"5,keyasint"`
	Quarantined map[model.Fingerprint]control.Quarantine `cbor:"6,keyasint"`
	Instances   map[model.InstanceID]model.Instance      `cbor:"7,keyasint"`
	// JoinedAt is the age of the group at which each instance was recorded.
	JoinedAt map[model.InstanceID]time.Duration `cbor:"9,keyasint"`
	// InstancesVersion is the index of the newest command that added or removed an
	// instance.
	InstancesVersion uint64                   `cbor:"10,keyasint"`
	Claims           map[OrderKey]ClaimRecord `cbor:"-"`
	// ClaimList holds Claims in a fixed order; it is set only in an encoded snapshot.
	ClaimList []claimEntry `cbor:"8,keyasint"`
	// Table is the routing table in force, or nil before the first one.
	Table *routing.Table `cbor:"11,keyasint,omitempty"`
	// Evacuated are the availability zones whose targets receive no new requests.
	Evacuated map[model.AvailabilityZoneID]bool `cbor:"12,keyasint,omitempty"`
	// EvacuationCalls holds the newest command on each availability zone.
	EvacuationCalls map[model.AvailabilityZoneID]evacuationCall `cbor:"14,keyasint,omitempty"`
	// LastOrdinal is the ordinal of the most recently recorded instance; see
	// model.Instance.Ordinal.
	LastOrdinal uint64 `cbor:"13,keyasint,omitempty"`
	// Judged holds the crashes that counted for quarantines, those in force and those
	// that have ended.
	Judged map[model.Fingerprint]judgedCrashes `cbor:"15,keyasint,omitempty"`
	// Duties holds the holder of each duty.
	Duties map[duty.Name]duty.Record `cbor:"16,keyasint,omitempty"`
	// UsagePending are the windows that were decided and not accepted, oldest first.
	UsagePending []usage.WindowCounts `cbor:"17,keyasint,omitempty"`
	// UsageProgress is nil before the first decided window.
	UsageProgress *UsageProgress `cbor:"18,keyasint,omitempty"`
	// UsageCheckpoint is what was counted in windows that are not decided.
	UsageCheckpoint []usage.ProcessCounts `cbor:"19,keyasint,omitempty"`
}

// New returns an empty state.
func New() *State {
	return &State{data: snapshotData{
		Moves:       make(map[model.CollectionID]move.State),
		Suspects:    make(map[model.Fingerprint]suspect),
		Quarantined: make(map[model.Fingerprint]control.Quarantine),
		Instances:   make(map[model.InstanceID]model.Instance),
		JoinedAt:    make(map[model.InstanceID]time.Duration),
		Claims:      make(map[OrderKey]ClaimRecord),
	}}
}

// Apply applies the command at the given log index.
func (s *State) Apply(index uint64, c *Command) *Result {
	s.data.Clock = max(s.data.Clock, c.Clock)
	s.expireClaims()
	switch {
	case c.ApplyRules != nil:
		return s.applyRules(index, c.ApplyRules)
	case c.StepMove != nil:
		return s.stepMove(index, c.StepMove)
	case c.TargetCrashes != nil:
		return s.recordCrashes(index, c.TargetCrashes)
	case c.LiftQuarantine != nil:
		return s.liftQuarantine(index, c.LiftQuarantine)
	case c.PutInstance != nil:
		return s.putInstance(index, c.PutInstance.Instance)
	case c.RemoveInstances != nil:
		return s.removeInstances(index, c.RemoveInstances.Instances)
	case c.Orders != nil:
		return s.changeOrders(c.Orders)
	case c.PutTable != nil:
		return s.putTable(index, &c.PutTable.Table)
	case c.Evacuate != nil:
		return s.evacuate(index, c.Evacuate)
	case c.StartMove != nil:
		return s.startMove(index, c.StartMove)
	case c.AcquireDuty != nil:
		return s.acquireDuty(index, c.AcquireDuty)
	case c.DecideUsage != nil:
		return s.decideUsage(c.DecideUsage)
	case c.AcceptUsage != nil:
		return s.acceptUsage(c.AcceptUsage)
	case c.SaveUsage != nil:
		return s.saveUsage(c.SaveUsage)
	default:
		return &Result{}
	}
}

// recordChange records that an item changed, for deltas to the entry instances.
func (s *State) recordChange(index uint64, k itemKey) {
	s.data.Version = index
	s.itemChanges.add(changeEntry{version: index, key: k})
}

// Newest returns the newest accepted change, or one with Revision 0 if there is none.
func (s *State) Newest() control.Change {
	if len(s.data.Changes) == 0 {
		return control.Change{}
	}
	return s.data.Changes[len(s.data.Changes)-1]
}

// History returns at most limit accepted changes, newest first.
func (s *State) History(limit int) []control.Change {
	n := min(max(limit, 0), len(s.data.Changes))
	history := make([]control.Change, 0, n)
	for i := len(s.data.Changes) - 1; len(history) < n; i-- {
		history = append(history, s.data.Changes[i])
	}
	return history
}

// applyRules accepts a change based on the newest revision. A resend, with the same
// base and content as an accepted change, gets the result of that change.
func (s *State) applyRules(index uint64, a *ApplyRules) *Result {
	newest := s.Newest()
	if a.Base != newest.Revision {
		return s.answerOutdatedBase(a, newest)
	}
	change := control.Change{
		Revision: a.Base + 1, Hash: a.Hash, Text: a.Text, Author: a.Author, At: a.At, Rules: a.Rules,
	}
	s.data.Changes = append(s.data.Changes, change)
	s.trimHistory()
	s.data.Version = index
	s.ruleIndex = indexRules(change.Rules)
	s.recordRuleChanges(index, newest.Rules, change.Rules)
	s.updateMoves(index, &change)
	return &Result{Change: &change}
}

func (s *State) answerOutdatedBase(a *ApplyRules, newest control.Change) *Result {
	accepted, ok := s.acceptedChange(a.Base + 1)
	if ok && accepted.Hash == a.Hash {
		return &Result{Change: &accepted}
	}
	if !ok {
		return &Result{Refusal: refuse(failure.Conflict,
			"the change builds on revision %d; the newest is %d by %s", a.Base, newest.Revision, newest.Author)}
	}
	return &Result{Refusal: refuse(failure.Conflict,
		"revision %d is already taken by %s (hash %s, %s); the newest is %d",
		accepted.Revision, accepted.Author, accepted.Hash, accepted.At.UTC().Format(time.RFC3339), newest.Revision)}
}

func (s *State) acceptedChange(r model.Revision) (control.Change, bool) {
	for _, c := range s.data.Changes {
		if c.Revision == r {
			return c, true
		}
	}
	return control.Change{}, false
}

// trimHistory drops the oldest changes beyond the limits, but never the newest.
func (s *State) trimHistory() {
	bytes := 0
	for _, c := range s.data.Changes {
		bytes += len(c.Text)
	}
	for len(s.data.Changes) > 1 && (len(s.data.Changes) > MaxHistory || bytes > MaxHistoryBytes) {
		bytes -= len(s.data.Changes[0].Text)
		s.data.Changes = s.data.Changes[1:]
	}
}

func (s *State) putInstance(index uint64, i model.Instance) *Result {
	recorded, ok := s.data.Instances[i.ID]
	i.Ordinal = recorded.Ordinal
	if ok && recorded == i {
		return &Result{}
	}
	if !ok && len(s.data.Instances) >= MaxInstances {
		return &Result{Refusal: refuse(failure.Overloaded, "the limit of %d instances is reached", MaxInstances)}
	}
	if !ok {
		s.data.LastOrdinal++
		i.Ordinal = s.data.LastOrdinal
		s.data.JoinedAt[i.ID] = s.data.Clock
		s.data.InstancesVersion = index
	}
	s.data.Instances[i.ID] = i
	s.recordChange(index, itemKey{kind: itemInstance, name: string(i.ID)})
	return &Result{}
}

func (s *State) removeInstances(index uint64, ids []model.InstanceID) *Result {
	for _, id := range ids {
		if _, ok := s.data.Instances[id]; ok {
			delete(s.data.Instances, id)
			delete(s.data.JoinedAt, id)
			s.data.InstancesVersion = index
			s.recordChange(index, itemKey{kind: itemInstance, name: string(id)})
		}
	}
	return &Result{}
}

// Snapshot returns the encoded state. Equal states have equal encodings.
func (s *State) Snapshot() ([]byte, error) {
	d := s.data
	d.ClaimList = s.claimList()
	b, err := encoding.Marshal(&d)
	if err != nil {
		return nil, fmt.Errorf("encode state: %w", err)
	}
	return b, nil
}

// Restore replaces the state with an encoded snapshot.
func (s *State) Restore(snapshot []byte) error {
	restored := New()
	if err := decoding.Unmarshal(snapshot, &restored.data); err != nil {
		return fmt.Errorf("decode state: %w", err)
	}
	restored.loadClaims()
	restored.ruleIndex = indexRules(restored.Newest().Rules)
	restored.itemChanges.oldestVersion = restored.data.Version
	*s = *restored
	return nil
}

// Clock returns the age of the group at the newest command.
func (s *State) Clock() time.Duration { return s.data.Clock }

// JoinedAt returns the age of the group at which an instance was recorded.
func (s *State) JoinedAt(id model.InstanceID) time.Duration { return s.data.JoinedAt[id] }

// Instances returns a copy of the recorded instances.
func (s *State) Instances() map[model.InstanceID]model.Instance {
	return maps.Clone(s.data.Instances)
}

// RecordsInstance reports whether an instance with this ID is recorded.
func (s *State) RecordsInstance(id model.InstanceID) bool {
	_, ok := s.data.Instances[id]
	return ok
}

// HasInstance reports whether i is recorded with the same fields, apart from its
// ordinal.
func (s *State) HasInstance(i model.Instance) bool {
	recorded, ok := s.data.Instances[i.ID]
	i.Ordinal = recorded.Ordinal
	return ok && recorded == i
}
