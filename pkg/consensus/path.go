package consensus

import "time"

const (
	// initialWindowBytes is the size of the entries that are sent to a member before
	// any is acknowledged. It doubles with each prompt acknowledgement.
	initialWindowBytes = 16 << 10
	// minTransferRate is the smallest estimate, in bytes per second.
	minTransferRate = 8 << 10
	// maxTransferTime is the longest time for which entries count as on their way.
	maxTransferTime = 5 * time.Minute
)

// pathEstimate is the leader's estimate of the path to one member. Entries that do not
// arrive in time halve the rate, and with it the size of the next message, so that each
// retry is smaller than the attempt before.
type pathEstimate struct {
	// rate is in bytes per second.
	rate, maxRate int
	// window is the number of bytes that may be unacknowledged. At least one message may be.
	window int
	// interval is the time in which a whole window is to arrive.
	interval time.Duration
}

func newPathEstimate(maxRate int, interval time.Duration) pathEstimate {
	e := pathEstimate{rate: maxRate, maxRate: maxRate, interval: interval}
	e.window = min(initialWindowBytes, e.maxWindow())
	return e
}

// maxWindow returns the number of bytes that the estimated rate moves in an interval.
func (e *pathEstimate) maxWindow() int {
	return int(float64(e.rate) * e.interval.Seconds())
}

// transferTime returns how long the transfer of a number of bytes takes.
func (e *pathEstimate) transferTime(bytes int) time.Duration {
	return min(time.Duration(float64(bytes)/float64(e.rate)*float64(time.Second)), maxTransferTime)
}

// lower halves the estimate.
func (e *pathEstimate) lower() {
	e.rate = min(e.rate, max(e.rate/2, minTransferRate))
	e.window = min(e.window, e.maxWindow())
}

// recordArrival raises the estimate if a number of bytes took less than half of the time
// that they were given.
func (e *pathEstimate) recordArrival(bytes int, took, latency time.Duration) {
	transfer := e.transferTime(bytes)
	if took < transfer/2 {
		e.raiseRate()
	}
	if took < (latency+transfer)/2 {
		e.raiseWindow(bytes)
	}
}

func (e *pathEstimate) raiseRate() { e.rate = min(2*e.rate, e.maxRate) }

// raiseWindow doubles the window, and the rate once the window has reached it. Fewer bytes
// than half a window do not show that the path would carry more.
func (e *pathEstimate) raiseWindow(bytes int) {
	if 2*bytes < e.window {
		return
	}
	if e.window >= e.maxWindow() {
		e.raiseRate()
	}
	e.window = min(2*e.window, e.maxWindow())
}
