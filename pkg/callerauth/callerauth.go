// Package callerauth decides whether a request may run and which account it belongs to,
// from the routing table in force, the request's key and the time since this instance
// was last in touch with control. The decisions are pure functions.
package callerauth

import (
	"time"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/routing"
)

// Key is the key of a request, as its digest. The zero value is a request without one.
type Key struct {
	digest  routing.KeyDigest
	present bool
}

// NewKey returns the digest of a key. An empty key counts as none.
func NewKey(key string) Key {
	if key == "" {
		return Key{}
	}
	return Key{digest: routing.DigestKey(key), present: true}
}

// Reason states why a request may not run; it is empty if it may.
type Reason string

// Reasons for which a request may not run.
const (
	// Admitted means that the request may run.
	Admitted Reason = ""
	// KeyMissing means that the route needs a key and the request has none.
	KeyMissing Reason = "key missing"
	// KeyUnknown means that no account has the key.
	KeyUnknown Reason = "key unknown"
	// KeyRevoked means that the account lost the key while the request waited.
	KeyRevoked Reason = "key revoked"
	// AccountChanged means that the request would be admitted for another account now,
	// or that the accounts were introduced while it waited. Sent again, it is decided
	// from the start.
	AccountChanged Reason = "account changed"
	// KeyUnconfirmed means that no account has the key, but control may have added it
	// since this instance last was in touch, a moment ago.
	KeyUnconfirmed Reason = "key not confirmed by control"
	// OutOfTouch means that this instance may have missed the revocation of a key.
	OutOfTouch Reason = "out of touch with control"
)

// Unauthorized reports whether the reason is the request's key.
func (r Reason) Unauthorized() bool {
	return r == KeyMissing || r == KeyUnknown || r == KeyRevoked
}

// Request is what a decision needs to know of a request.
type Request struct {
	Key Key
	// Public is set if the route of the request needs no key.
	Public bool
}

// Contact states how old this instance's routing table may be.
type Contact struct {
	// MaxAge bounds Age; 0 means that requests are decided with a table of any age.
	MaxAge time.Duration
	// Age is the time since the last renewal that succeeded was sent, and AttemptAge
	// since the last one that has ended was.
	Age, AttemptAge time.Duration
}

func (c Contact) lost() bool { return c.MaxAge > 0 && c.Age > c.MaxAge }

// maxAttemptAge exceeds the time from one renewal to the end of the next, 2.4 s if both
// run into their time-out of 1 s, and is below the 4 s within which a removed key is
// refused.
const maxAttemptAge = 3 * time.Second

// StoodStill reports whether the process or its machine stood still and has not tried to
// renew the lease since. The table may then be much older than if control were lost.
func (c Contact) StoodStill() bool { return c.AttemptAge > maxAttemptAge }

// Decide returns the account of a request that has arrived, or why it may not run. The
// account is nil if the table has no accounts, and on public routes without a key that
// is known.
func Decide(table *routing.Index, r Request, c Contact) (*routing.Caller, Reason) {
	if !table.NeedsKeys() {
		return nil, Admitted
	}
	var account *routing.Caller
	if r.Key.present {
		account = table.Caller(r.Key.digest)
	}
	switch {
	case r.Public:
		return account, Admitted
	case c.lost():
		return nil, OutOfTouch
	case !r.Key.present:
		return nil, KeyMissing
	case account == nil:
		return nil, KeyUnknown
	}
	return account, Admitted
}

// UnknownKey returns the reason to refuse a key that no account has after a wait for a
// newer table. An instance that was in touch until a moment ago, as during an election, or
// that stood still and has not tried to renew since, leaves open whether the key is known;
// one whose renewals have failed for longer goes by its table.
func UnknownKey(c Contact, waited time.Duration) Reason {
	if c.Age > waited && (c.Age <= maxAttemptAge || c.StoodStill()) {
		return KeyUnconfirmed
	}
	return KeyUnknown
}

// Admission is what a request was admitted with.
type Admission struct {
	// Accounts is set if the table had accounts, so that the request is forwarded without
	// its key and the client's own account field.
	Accounts bool
	// Caller is the account of the request; empty if it has none.
	Caller model.CallerID
}

// Recheck returns why a request that was admitted may no longer run. table is the one in
// force now, and r.Public refers to it.
func Recheck(table *routing.Index, r Request, admitted Admission, c Contact) Reason {
	account, reason := Decide(table, r, c)
	switch {
	case table.NeedsKeys() && !r.Public && c.StoodStill():
		return OutOfTouch
	case table.NeedsKeys() && !admitted.Accounts, reason.Unauthorized() && admitted.Caller == "":
		return AccountChanged
	case reason.Unauthorized():
		return KeyRevoked
	case reason != Admitted:
		return reason
	case table.NeedsKeys() && nameOf(account) != admitted.Caller:
		return AccountChanged
	}
	return Admitted
}

func nameOf(c *routing.Caller) model.CallerID {
	if c == nil {
		return ""
	}
	return c.Name
}
