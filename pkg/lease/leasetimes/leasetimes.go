// Package leasetimes derives the times of a lease from the settings, so that leader
// and holder use the same values.
package leasetimes

import (
	"time"

	"radishturn.example/radishturn/pkg/settings"
)

const (
	// graceRenewals is the length of the grace period in renewal intervals.
	graceRenewals = 2
	// maxRenewalsPerSecond is about how many renewals the leader receives per second
	// at most. A fleet that is too large for its lease duration exceeds it, since a
	// lease must leave time for settings.MinRenewalsPerLease renewals.
	maxRenewalsPerSecond = 800
)

// RenewInterval is the time between two renewals of one instance. It grows with the
// fleet, so that the leader's load does not.
func RenewInterval(l settings.Lease, instances int) time.Duration {
	fleet := time.Duration(instances) * time.Second / maxRenewalsPerSecond
	return max(l.Renew.Std(), min(fleet, l.Duration.Std()/settings.MinRenewalsPerLease))
}

// GracePeriod is how long an instance continues to answer queries after its lease
// has expired, while it finds out whether the others have lost control too. Without
// it, a loss of control would interrupt queries, since leases expire one by one.
func GracePeriod(l settings.Lease) time.Duration { return graceRenewals * l.Renew.Std() }

// Lifetime is how long after a renewal the leader treats the lease as in use.
func Lifetime(l settings.Lease) time.Duration { return l.Duration.Std() + GracePeriod(l) }
