// Package clock derives the times of a lease from the settings, so that leader
// and holder use the same values.
package clock

import (
	"time"

	"radishturn.example/radishturn/pkg/settings"
)

const (
	// graceRenewals is the length of the grace period in renewal intervals.
	graceRenewals = 2
	// leaderRenewalRate is the number of renewals per second at which the leader of
	// a large fleet is kept, as far as the lease duration allows.
	leaderRenewalRate = 800
)

// RenewInterval is the time between two renewals of one instance. It grows with the
// fleet, so that the leader's load does not.
func RenewInterval(l settings.Lease, instances int) time.Duration {
	fleet := time.Duration(instances) * time.Second / leaderRenewalRate
	return max(l.Renew.Std(), min(fleet, l.Duration.Std()/settings.MinRenewalsPerLease))
}

// GracePeriod is how long an instance continues to answer queries after its lease
// has expired, while it finds out whether the others have lost control too. Without
// it, a loss of control would interrupt queries, since leases expire one by one.
func GracePeriod(l settings.Lease) time.Duration { return graceRenewals * l.Renew.Std() }

// Lifetime is how long after a renewal the leader treats the lease as in use.
func Lifetime(l settings.Lease) time.Duration { return l.Duration.Std() + GracePeriod(l) }
