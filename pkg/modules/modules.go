// Package modules links every module of the daemon into the program. A module
// left out here is not part of the daemon.
package modules

import (
	_ "radishturn.example/radishturn/pkg/burn/recorder" // burn
	_ "radishturn.example/radishturn/pkg/mesh"          // mesh
	_ "radishturn.example/radishturn/pkg/platform"      // platform
)
