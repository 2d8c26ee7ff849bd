package model

import (
	"errors"
	"fmt"
	"net/netip"
)

const (
	// maxNameBytes bounds an identifier.
	maxNameBytes = 256
	// maxConcurrency bounds the concurrency that a target may state.
	maxConcurrency = 1 << 16
	// maxErrorText bounds the part of a malformed value that an error shows.
	maxErrorText = 48
)

// UsableTargets returns the targets that can be used, and why the others cannot. It is
// applied wherever targets enter: where lists are read, at the leader, and at the
// instances that follow it, so that a value that one of them lets through does no harm
// behind the next.
func UsableTargets(targets []Target) (usable []Target, refused []error) {
	usable = make([]Target, 0, len(targets))
	for _, t := range targets {
		if err := t.Check(); err != nil {
			refused = append(refused, err)
			continue
		}
		usable = append(usable, t)
	}
	return usable, refused
}

// Check returns an error if the target cannot be used: a field is missing, out of
// range, or not fit for a header field or a metric label.
func (t *Target) Check() error {
	if t.ID == "" {
		return errors.New("target without an ID")
	}
	names := []struct{ field, value string }{
		{"ID", string(t.ID)}, {"service", string(t.Service)}, {"availability zone", string(t.AvailabilityZone)},
		{"version", string(t.Version)}, {"collection", string(t.Collection)}, {"leaf's service", string(t.Leaf.Service)},
	}
	for _, n := range names {
		if err := checkName(n.value); err != nil {
			return fmt.Errorf("%s %.*q: %w", n.field, maxErrorText, n.value, err)
		}
	}
	switch {
	case !isUnicast(t.Address):
		return fmt.Errorf("target %s: address %s is not one of a host and port", t.ID, t.Address)
	case t.Concurrency < 0 || t.Concurrency > maxConcurrency:
		return fmt.Errorf("target %s: concurrency %d is not between 0 and %d", t.ID, t.Concurrency, maxConcurrency)
	case t.Leaf.Leaf < 0 || t.Slot < 0 || t.Born < 0:
		return fmt.Errorf("target %s: leaf %d, slot %d or start time %d is negative", t.ID, t.Leaf.Leaf, t.Slot, t.Born)
	}
	return nil
}

// checkName returns an error unless a name is short and consists of printable ASCII
// characters that need no escape in a header field or a quoted label.
func checkName(name string) error {
	if len(name) > maxNameBytes {
		return fmt.Errorf("longer than %d bytes", maxNameBytes)
	}
	for _, c := range []byte(name) {
		if c <= ' ' || c > '~' || c == '"' || c == '\\' || c == '{' || c == '}' {
			return fmt.Errorf("character %q is not allowed", c)
		}
	}
	return nil
}

func isUnicast(a netip.AddrPort) bool {
	ip := a.Addr().Unmap()
	if !a.IsValid() || a.Port() == 0 || ip.IsUnspecified() || ip.IsMulticast() || ip.Zone() != "" {
		return false
	}
	return ip != netip.AddrFrom4([4]byte{255, 255, 255, 255})
}
