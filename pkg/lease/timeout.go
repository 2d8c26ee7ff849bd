package lease

import (
	"context"
	"time"

	"radishturn.example/radishturn/pkg/mesh"
)

const (
	// largeReplyBytes of a reply have to arrive before a renewal is given more time. Replies
	// without a change of the routing table or the targets are shorter.
	largeReplyBytes = 16 << 10
	// maxRenewalTime limits a renewal however much arrives.
	maxRenewalTime = time.Minute
)

// withRenewalTimeout limits a renewal to a time, and then to that time without progress
// while a large reply arrives. A reply can hold a whole routing table; were it abandoned on
// a slow path, the next renewal would begin with the same table again.
func withRenewalTimeout(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, maxRenewalTime)
	expired := time.AfterFunc(timeout, cancel)
	ctx = mesh.WithReceived(ctx, func(bytes int) {
		if bytes >= largeReplyBytes {
			expired.Reset(timeout)
		}
	})
	return ctx, func() {
		expired.Stop()
		cancel()
	}
}
