// Package modules links the modules of a standalone instance into the daemon;
// platform/modules adds those of the roles entry and control. A module that neither
// imports is not part of the daemon. The comments give the module IDs, which may
// differ from the names of the packages.
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
