package routing

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"strings"

	"golang.org/x/net/http/httpguts"

	"radishturn.example/radishturn/pkg/model"
)

// KeyDigest is the SHA-256 digest of a caller's key. Tables hold no keys, only their
// digests.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Caller is the account of a client that identifies itself by any of its keys.
type Caller struct {
	Name model.CallerID `cbor:"1,keyasint"`
	// Keys are the digests of the account's keys.
	Keys []KeyDigest `cbor:"2,keyasint,omitempty"`
	// Priority replaces the priority of the route; nil leaves the route's in force.
	Priority *int `cbor:"3,keyasint,omitempty"`
}

func (c *Caller) key() model.CallerID { return c.Name }

// EffectivePriority returns the priority of the account's requests on a route. c may be
// nil, for a request without an account.
func (c *Caller) EffectivePriority(r *Route) int {
	if c == nil || c.Priority == nil {
		return r.Priority
	}
	return *c.Priority
}

// checkCallers returns the first error in the accounts. The names of accounts reach the
// targets as the value of a header field.
func checkCallers(callers []Caller) error {
	owners := make(map[KeyDigest]model.CallerID)
	seen := make(map[model.CallerID]bool, len(callers))
	for i := range callers {
		c := &callers[i]
		if err := checkCallerName(string(c.Name)); err != nil {
			return fmt.Errorf("account %q: %w", c.Name, err)
		}
		if seen[c.Name] {
			return fmt.Errorf("account %q is listed twice", c.Name)
		}
		seen[c.Name] = true
		for _, k := range c.Keys {
			if k == emptyKey {
				return fmt.Errorf("account %q has an empty key", c.Name)
			}
			if owner, taken := owners[k]; taken && owner != c.Name {
				return fmt.Errorf("accounts %q and %q share a key", owner, c.Name)
			}
			owners[k] = c.Name
		}
	}
	return nil
}

// emptyKey is the digest of a key that no request can carry.
var emptyKey = DigestKey("")

func checkCallerName(name string) error {
	switch {
	case name == "":
		return errors.New("the name is empty")
	case !httpguts.ValidHeaderFieldValue(name), strings.TrimSpace(name) != name:
		return errors.New("the name is no value of a header field")
	}
	return nil
}
