// Package duty decides who may carry out a duty: a kind of call to the platform that one
// instance makes at a time. The replicated state records the holder of each duty with a
// fencing token, which only increases. The holder is the leader of the control group; it
// checks its right immediately before each call, and the platform refuses calls with a
// token lower than the highest that it has seen. The package does no I/O.
package duty

import (
	"fmt"
	"time"

	"radishturn.example/radishturn/pkg/model"
)

// Name names a duty.
type Name string

// Usage is the duty to report how many calls of each caller targets ran.
const Usage Name = "usage"

// Record is the holder of a duty in the replicated state.
type Record struct {
	Name   Name             `cbor:"1,keyasint"`
	Holder model.InstanceID `cbor:"2,keyasint"`
	// Process identifies the process of the holder.
	Process string `cbor:"3,keyasint"`
	// Token is the index of the command in the log by which the duty was acquired.
	Token uint64 `cbor:"4,keyasint"`
	// AcquiredAt is a time on the group clock.
	AcquiredAt time.Duration `cbor:"5,keyasint"`
}

// MayAcquire reports whether an instance may acquire the duty at a time on the group
// clock. Another instance than the holder has to wait until lease has passed since the
// duty was last acquired, so that two instances do not alternate within lease. A new
// process of the holder need not wait.
func (r Record) MayAcquire(now time.Duration, by model.InstanceID, lease time.Duration) bool {
	return r.Token == 0 || r.Holder == by || now >= r.AcquiredAt+lease
}

// Claim is what a holder has acquired: the token, and the term in which it led.
type Claim struct {
	Term, Token uint64
}

// Standing is what an instance knows about itself right now.
type Standing struct {
	// Leads is set while the instance holds a valid leader lease, in the given term.
	Leads bool
	Term  uint64
	// Newest is the newest token of the duty in this instance's state, and Refused the
	// highest token that the platform has refused.
	Newest, Refused uint64
}

// Check returns an error unless the claim gives the right to make a call now.
func (c Claim) Check(s Standing) error {
	switch {
	case c.Token == 0:
		return fmt.Errorf("the duty was not acquired")
	case !s.Leads:
		return fmt.Errorf("this instance does not lead")
	case s.Term != c.Term:
		return fmt.Errorf("the duty was acquired in term %d, and this is term %d", c.Term, s.Term)
	case s.Newest != c.Token:
		return fmt.Errorf("token %d was replaced by token %d", c.Token, s.Newest)
	case c.Token <= s.Refused:
		return fmt.Errorf("token %d was refused", c.Token)
	}
	return nil
}
