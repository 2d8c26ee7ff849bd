package control

import "radishturn.example/radishturn"

// ModuleName is the ID of the control module, which package server implements.
const ModuleName radishturn.ModuleID = "control"
