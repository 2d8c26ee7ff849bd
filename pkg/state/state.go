package state

import (
	"fmt"
	"maps"
	"time"

	"radishturn.example/radishturn/pkg/control"
	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/move"
	"radishturn.example/radishturn/pkg/routing"
	"radishturn.example/radishturn/pkg/rules"
)

const (
	// MaxHistory bounds the accepted changes that are kept.
	MaxHistory = 256
	// MaxHistoryBytes bounds the text of the accepted changes that are kept.
	MaxHistoryBytes = 8 << 20
	// MaxInstances bounds the instances that may hold leases.
	MaxInstances = 4096
)

// State is the whole replicated state. It is not safe for concurrent use.
type State struct {
	data  data
	log   changeLog
	queue expiryQueue
	// ruleIndex finds the newest rules by item.
	ruleIndex map[itemKey]rules.Rule
}

// data is what snapshots hold.
type data struct {
	// Clock is the newest Command.Clock.
	Clock time.Duration `cbor:"1,keyasint"`
	// Version is the index of the newest command that changed what entries see.
	Version uint64 `cbor:"2,keyasint"`
	// Changes are the accepted configurations, oldest first.
	Changes     []control.Change                         `cbor:"3,keyasint"`
	Moves       map[model.CollectionID]move.State        `cbor:"4,keyasint"`
	Suspects    map[model.Fingerprint]suspect            `cbor:"5,keyasint"`
	Quarantined map[model.Fingerprint]control.Quarantine `cbor:"6,keyasint"`
	Instances   map[model.InstanceID]model.Instance      `cbor:"7,keyasint"`
	// Joined is the age of the group at which each instance was recorded.
	Joined map[model.InstanceID]time.Duration `cbor:"9,keyasint"`
	// Membership is the version of the newest change of the set of instances.
	Membership uint64                   `cbor:"10,keyasint"`
	Claims     map[OrderKey]ClaimRecord `cbor:"-"`
	ClaimList  []claimEntry             `cbor:"8,keyasint"`
	// Table is the routing table in force; nil until the first one.
	Table *routing.Table `cbor:"11,keyasint,omitempty"`
	// Evacuated are the availability zones whose targets get nothing new.
	Evacuated map[model.AvailabilityZoneID]bool `cbor:"12,keyasint,omitempty"`
	// Ordinals is the ordinal of the instance that was recorded last.
	Ordinals uint64 `cbor:"13,keyasint,omitempty"`
}

// New returns the empty state.
func New() *State {
	return &State{data: data{
		Moves:       make(map[model.CollectionID]move.State),
		Suspects:    make(map[model.Fingerprint]suspect),
		Quarantined: make(map[model.Fingerprint]control.Quarantine),
		Instances:   make(map[model.InstanceID]model.Instance),
		Joined:      make(map[model.InstanceID]time.Duration),
		Claims:      make(map[OrderKey]ClaimRecord),
	}}
}

// Apply carries out a command with the given index of the log.
func (s *State) Apply(index uint64, c *Command) *Result {
	s.data.Clock = max(s.data.Clock, c.Clock)
	s.expireClaims()
	switch {
	case c.ApplyRules != nil:
		return s.applyRules(index, c.ApplyRules)
	case c.StepMove != nil:
		return s.stepMove(index, c.StepMove)
	case c.Deaths != nil:
		return s.recordDeaths(index, c.Deaths)
	case c.LiftQuarantine != nil:
		return s.lift(index, c.LiftQuarantine)
	case c.PutInstance != nil:
		return s.putInstance(index, c.PutInstance.Instance)
	case c.RemoveInstances != nil:
		return s.forget(index, c.RemoveInstances.Instances)
	case c.Orders != nil:
		return s.changeOrders(c.Orders)
	case c.PutTable != nil:
		return s.putTable(index, &c.PutTable.Table)
	case c.Evacuate != nil:
		return s.evacuate(index, c.Evacuate)
	case c.StartMove != nil:
		return s.startMove(index, c.StartMove)
	default:
		return &Result{}
	}
}

// changed notes that entries have to hear of an item.
func (s *State) changed(index uint64, k itemKey) {
	s.data.Version = index
	s.log.add(changeEntry{index: index, key: k})
}

// Newest returns the newest accepted change; its Revision is 0 at first.
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

// applyRules accepts a change that builds on the newest revision. The same
// base with the same content is the same change and gets the first answer.
func (s *State) applyRules(index uint64, a *ApplyRules) *Result {
	newest := s.Newest()
	if a.Base != newest.Revision {
		return s.answerStale(a, newest)
	}
	change := control.Change{
		Revision: a.Base + 1, Hash: a.Hash, Text: a.Text, Author: a.Author, At: a.At, Rules: a.Rules,
	}
	s.data.Changes = append(s.data.Changes, change)
	s.trimHistory()
	s.data.Version = index
	s.ruleIndex = indexRules(change.Rules)
	s.logRuleChanges(index, newest.Rules, change.Rules)
	s.startMoves(index, &change)
	return &Result{Change: &change}
}

func (s *State) answerStale(a *ApplyRules, newest control.Change) *Result {
	winner, ok := s.change(a.Base + 1)
	if ok && winner.Hash == a.Hash {
		return &Result{Change: &winner}
	}
	if !ok {
		return &Result{Refusal: refuse(failure.Conflict,
			"the change builds on revision %d; the newest is %d by %s", a.Base, newest.Revision, newest.Author)}
	}
	return &Result{Refusal: refuse(failure.Conflict,
		"revision %d is already taken by %s (hash %s, %s); the newest is %d",
		winner.Revision, winner.Author, winner.Hash, winner.At.UTC().Format(time.RFC3339), newest.Revision)}
}

func (s *State) change(r model.Revision) (control.Change, bool) {
	for _, c := range s.data.Changes {
		if c.Revision == r {
			return c, true
		}
	}
	return control.Change{}, false
}

// trimHistory drops the oldest changes over the bounds, but never the newest.
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
	known, ok := s.data.Instances[i.ID]
	i.Ordinal = known.Ordinal
	if ok && known == i {
		return &Result{}
	}
	if !ok && len(s.data.Instances) >= MaxInstances {
		return &Result{Refusal: refuse(failure.Overloaded, "%d instances are known already", MaxInstances)}
	}
	if !ok {
		s.data.Ordinals++
		i.Ordinal = s.data.Ordinals
		s.data.Joined[i.ID] = s.data.Clock
		s.data.Membership = index
	}
	s.data.Instances[i.ID] = i
	s.changed(index, itemKey{kind: itemInstance, name: string(i.ID)})
	return &Result{}
}

func (s *State) forget(index uint64, ids []model.InstanceID) *Result {
	for _, id := range ids {
		if _, ok := s.data.Instances[id]; ok {
			delete(s.data.Instances, id)
			delete(s.data.Joined, id)
			s.data.Membership = index
			s.changed(index, itemKey{kind: itemInstance, name: string(id)})
		}
	}
	return &Result{}
}

// Snapshot returns the whole state in bytes; equal states give equal bytes.
func (s *State) Snapshot() ([]byte, error) {
	d := s.data
	d.ClaimList = s.claimList()
	b, err := encoding.Marshal(&d)
	if err != nil {
		return nil, fmt.Errorf("encode state: %w", err)
	}
	return b, nil
}

// Restore replaces the whole state.
func (s *State) Restore(snapshot []byte) error {
	restored := New()
	if err := decoding.Unmarshal(snapshot, &restored.data); err != nil {
		return fmt.Errorf("decode state: %w", err)
	}
	restored.loadClaims()
	restored.ruleIndex = indexRules(restored.Newest().Rules)
	restored.log.floor = restored.data.Version
	*s = *restored
	return nil
}

// Clock returns the age of the group as of the newest command.
func (s *State) Clock() time.Duration { return s.data.Clock }

// JoinedAt returns the age of the group at which an instance was recorded.
func (s *State) JoinedAt(id model.InstanceID) time.Duration { return s.data.Joined[id] }

// Instances returns a copy of the known instances.
func (s *State) Instances() map[model.InstanceID]model.Instance {
	return maps.Clone(s.data.Instances)
}

// HasInstance reports whether the instance is recorded as it is.
func (s *State) HasInstance(i model.Instance) bool {
	known, ok := s.data.Instances[i.ID]
	i.Ordinal = known.Ordinal
	return ok && known == i
}
