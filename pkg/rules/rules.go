// Package rules parses the operators' rules file. It has one rule per line, each
// with a comment that names who requested it.
package rules

import (
	"time"

	"radishturn.example/radishturn/pkg/model"
)

// Set is the set of rules in one rules file.
type Set struct {
	Rules []Rule `json:"rules" cbor:"1,keyasint"`
}

// Rule is one line of the file. Exactly one of the pointers is set.
type Rule struct {
	// Line counts from 1.
	Line int `json:"line" cbor:"1,keyasint"`
	// Text is the line without its comment and surrounding space.
	Text string `json:"text" cbor:"2,keyasint"`
	// Comment names who requested the rule and why; it is never empty.
	Comment string   `json:"comment" cbor:"3,keyasint"`
	ZoneOut *ZoneOut `json:"zoneOut,omitempty" cbor:"4,keyasint,omitempty"`
	Move    *Move    `json:"move,omitempty" cbor:"5,keyasint,omitempty"`
	Limit   *Limit   `json:"limit,omitempty" cbor:"6,keyasint,omitempty"`
	Drain   *Drain   `json:"drain,omitempty" cbor:"7,keyasint,omitempty"`
}

// ZoneOut takes an availability zone out of service: its targets get no new
// requests.
type ZoneOut struct {
	AvailabilityZone model.AvailabilityZoneID `json:"availabilityZone" cbor:"1,keyasint"`
}

// Move shifts the traffic of a collection from one version to another.
type Move struct {
	Collection model.CollectionID `json:"collection" cbor:"1,keyasint"`
	From       model.VersionID    `json:"from" cbor:"2,keyasint"`
	To         model.VersionID    `json:"to" cbor:"3,keyasint"`
	// By is the deadline, in wall-clock time.
	By time.Time `json:"by" cbor:"4,keyasint"`
	// FirstShare limits the traffic share of the first step, from 0 to 1; 0 means
	// the default.
	FirstShare float64 `json:"firstShare,omitempty" cbor:"5,keyasint,omitempty"`
}

// Limit limits a caller's requests per second across the whole fleet.
type Limit struct {
	Caller    model.CallerID `json:"caller" cbor:"1,keyasint"`
	PerSecond float64        `json:"perSecond" cbor:"2,keyasint"`
}

// Drain takes one target out of service.
type Drain struct {
	Target model.TargetID `json:"target" cbor:"1,keyasint"`
}
