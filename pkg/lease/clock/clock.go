// Package clock derives the times of a lease from the settings, so that leader
// and holder cannot differ.
package clock

import (
	"time"

	"radishturn.example/radishturn/pkg/settings"
)

// graceRenewals is the length of the grace time in renewals.
const graceRenewals = 2

// Grace is how long after its lease an instance goes on with queries while it
// finds out whether the others have lost control too. Without it, a loss of
// control would interrupt queries, since leases run out one after the other.
func Grace(l settings.Lease) time.Duration { return graceRenewals * l.Renew.Std() }

// RunOut is how long after a renewal the leader counts the lease as alive.
func RunOut(l settings.Lease) time.Duration { return l.Duration.Std() + Grace(l) }
