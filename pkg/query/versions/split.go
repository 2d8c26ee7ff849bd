package versions

import (
	"github.com/cespare/xxhash/v2"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/view"
)

// callerSplitShare is the share of a move from which traffic is split by caller.
// Below it traffic is split by request, so that no caller has all its requests
// served by a new version that is not trusted yet.
const callerSplitShare = 0.25

// SplitPosition returns a stable hash in [0, 1) of the unit by which a move splits
// traffic: the request below callerSplitShare, otherwise the caller. Units at
// positions below the share of the move get the new version.
func SplitPosition(m view.Move, c model.CollectionID, caller model.CallerID, request model.RequestID) float64 {
	if m.Share < callerSplitShare {
		return positionOf(string(c), "request", string(request))
	}
	return positionOf(string(c), "caller", string(caller))
}

func positionOf(parts ...string) float64 {
	const mantissaBits = 53
	digest := xxhash.New()
	for _, part := range parts {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	return float64(digest.Sum64()>>(64-mantissaBits)) / (1 << mantissaBits)
}
