// Package modules links every module of the daemon into the program. A module
// left out here is not part of the daemon.
package modules

import (
	_ "radishturn.example/radishturn/pkg/adminapi"       // admin
	_ "radishturn.example/radishturn/pkg/burn/recorder"  // burn
	_ "radishturn.example/radishturn/pkg/control/server" // control
	_ "radishturn.example/radishturn/pkg/entryapi"       // entry
	_ "radishturn.example/radishturn/pkg/fanout"         // query
	_ "radishturn.example/radishturn/pkg/lease"          // lease
	_ "radishturn.example/radishturn/pkg/mesh"           // mesh
	_ "radishturn.example/radishturn/pkg/move/driver"    // moves
	_ "radishturn.example/radishturn/pkg/order/claims"   // order
	_ "radishturn.example/radishturn/pkg/platform"       // platform
	_ "radishturn.example/radishturn/pkg/replica"        // control.replica
	_ "radishturn.example/radishturn/pkg/state"          // control.state
)
