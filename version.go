package radishturn

// Version is the release of this program.
const Version = "0.1.0-dev"
