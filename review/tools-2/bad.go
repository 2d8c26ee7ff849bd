//go:build review

package main

import "time"

const (
	// boardRate is the rate of requests to board, that of order-history on the sheet.
	boardRate = 22.5
	// badShare is the share of its requests that the bad version fails, from its start on.
	badShare = 0.3
)

// playBadVersion orders a roll-out of a version that fails a part of its requests. The
// platform stops the old leafs only if it is completed.
func playBadVersion(r *record, trouble bool) (bool, error) {
	p, f, old, err := startTwoServices(r, "safe", 6)
	if err != nil {
		return false, err
	}
	defer f.stop()
	time.Sleep(3 * time.Second)
	c := newClients(r, f, host)
	defer c.stop()
	c.run("/ledger/", "GET", 22.5, 8*time.Second)
	c.run("/board/", "GET", boardRate, 8*time.Second)
	time.Sleep(5 * time.Second)
	next, err := p.startLeafs("board", "v2", 6, 100*time.Millisecond)
	if err != nil {
		return false, err
	}
	if trouble {
		r.say("trouble: version v2 fails %g of its requests", badShare)
		for _, l := range next {
			l.fail(badShare)
		}
	}
	time.Sleep(2 * time.Second)
	if err := f.rollOut("board", "v2"); err != nil {
		r.say("%s; the old leafs go on", err)
	} else {
		r.say("the roll-out of board is completed; its old leafs stop")
		for _, l := range old {
			l.stop()
		}
	}
	time.Sleep(10 * time.Second)
	return countLaterRoute(r, f, c)
}
