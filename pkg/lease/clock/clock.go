// Package clock derives the times of a lease from the settings, so that leader
// and holder cannot differ.
package clock

import (
	"time"

	"radishturn.example/radishturn/pkg/settings"
)

const (
	// graceRenewals is the length of the grace time in renewals.
	graceRenewals = 2
	// leaderRenewalRate is how many renewals a second the leader of a large fleet
	// is asked for, as long as its leases allow that.
	leaderRenewalRate = 800
)

// RenewInterval is the time between two renewals of one instance. It grows with the
// fleet, so that the leader's load does not.
func RenewInterval(l settings.Lease, instances int) time.Duration {
	fleet := time.Duration(instances) * time.Second / leaderRenewalRate
	return max(l.Renew.Std(), min(fleet, l.Duration.Std()/settings.MinLeaseRenewals))
}

// GracePeriod is how long after its lease an instance goes on with queries while it
// finds out whether the others have lost control too. Without it, a loss of
// control would interrupt queries, since leases run out one after the other.
func GracePeriod(l settings.Lease) time.Duration { return graceRenewals * l.Renew.Std() }

// Lifetime is how long after a renewal the leader counts the lease as alive.
func Lifetime(l settings.Lease) time.Duration { return l.Duration.Std() + GracePeriod(l) }
