package state

import (
	"sync"

	"radishturn.example/radishturn"
	"radishturn.example/radishturn/pkg/control"
	"radishturn.example/radishturn/pkg/events"
	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/move"
	"radishturn.example/radishturn/pkg/replica"
	"radishturn.example/radishturn/pkg/settings"
)

// ModuleName is the ID of the state module.
const ModuleName radishturn.ModuleID = "control.state"

// Machine guards State with a lock: the replica applies commands from one goroutine
// while others read.
type Machine struct {
	mu    sync.RWMutex
	state *State
}

var _ replica.StateMachine = (*Machine)(nil)

func init() { radishturn.RegisterModule(&Machine{}) }

// NewMachine returns a Machine with an empty state.
func NewMachine() *Machine { return &Machine{state: New()} }

// ModuleInfo returns the module's description.
func (*Machine) ModuleInfo() radishturn.ModuleInfo {
	return radishturn.ModuleInfo{
		ID:    ModuleName,
		Roles: settings.AllRoles,
		New:   func() radishturn.Module { return NewMachine() },
	}
}

// Provision provides the state to the replica and the control group.
func (m *Machine) Provision(c *radishturn.Context) error {
	if err := radishturn.Provide[replica.StateMachine](c, m); err != nil {
		return err
	}
	return radishturn.Provide(c, m)
}

// Apply applies an encoded Command and returns the encoded Result.
func (m *Machine) Apply(index uint64, command []byte) []byte {
	c := new(Command)
	if err := decoding.Unmarshal(command, c); err != nil {
		return encodeResult(&Result{Refusal: refuse(failure.Internal, "decode command %d: %v", index, err)})
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	result := m.state.Apply(index, c)
	if c.Evacuate != nil {
		logEvacuation(index, c.Evacuate, result)
	}
	return encodeResult(result)
}

// logEvacuation logs an applied command of an evacuation. Unlike the leader's reply it
// is logged for each command, also if nobody waits for it any more, and again when the
// log is replayed after a restart.
func logEvacuation(index uint64, e *Evacuate, r *Result) {
	refusal := ""
	if r.Refusal != nil {
		refusal = r.Refusal.Message
	}
	events.Emit(events.EvacuationApplied, e.AvailabilityZone, !e.End, string(e.Call), index, refusal)
}

func encodeResult(r *Result) []byte {
	b, err := encoding.Marshal(r)
	if err != nil {
		// A Result holds only plain values, so encoding cannot fail.
		panic("state: encode result: " + err.Error())
	}
	return b
}

// Snapshot returns the encoded state.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.Snapshot()
}

// Restore replaces the state with an encoded snapshot.
func (m *Machine) Restore(snapshot []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Restore(snapshot)
}

// Read calls f with the state under the read lock. f must neither modify nor retain
// it.
func (m *Machine) Read(f func(s *State)) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	f(m.state)
}

// Moves returns the moves as applied on this instance.
func (m *Machine) Moves() (moves []move.State) {
	m.Read(func(s *State) { moves = s.Moves() })
	return moves
}

// Newest returns the newest change applied on this instance.
func (m *Machine) Newest() (change control.Change) {
	m.Read(func(s *State) { change = s.Newest() })
	return change
}

// Instances returns the recorded instances.
func (m *Machine) Instances() (instances map[model.InstanceID]model.Instance) {
	m.Read(func(s *State) { instances = s.Instances() })
	return instances
}
