//go:build review

package main

import (
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// boardRate is the rate of requests to board, that of order-history on the sheet.
	boardRate = 22.5
	// badShare is the share of its requests that the bad version fails, from its start on.
	badShare = 0.1
	// badAnswers and rollbackTime are from the rule. transitTime is more than a request
	// takes from its entry to a leaf.
	badAnswers   = 50
	rollbackTime = 5 * time.Second
	transitTime  = time.Second
)

// versionLog keeps when the leafs of a version began to run requests and when they gave bad
// answers.
type versionLog struct {
	mu         sync.Mutex
	begun, bad []time.Time
}

func (v *versionLog) run(failed bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.begun = append(v.begun, time.Now())
	if failed {
		v.bad = append(v.bad, time.Now())
	}
}

// playBadVersion orders a roll-out of a version that fails a part of its requests. The
// platform stops the old leafs only if it is completed.
func playBadVersion(r *record, trouble bool) (bool, error) {
	p, f, old, err := startTwoServices(r, "unsafe", 6)
	if err != nil {
		return false, err
	}
	defer f.stop()
	time.Sleep(3 * time.Second)
	c := newClients(r, f, host)
	defer c.stop()
	c.run("/ledger/", "POST", 22.5, 8*time.Second)
	c.run("/board/", "POST", boardRate, 8*time.Second)
	time.Sleep(5 * time.Second)
	next, err := p.startLeafs("board", "v2", 6, 100*time.Millisecond)
	if err != nil {
		return false, err
	}
	log := new(versionLog)
	for _, l := range next {
		l.mu.Lock()
		l.ran = log.run
		l.mu.Unlock()
	}
	if trouble {
		r.say("trouble: version v2 fails %g of its requests", badShare)
		for _, l := range next {
			l.fail(badShare)
		}
	}
	time.Sleep(2 * time.Second)
	if err := f.rollOut("board", "v2"); err != nil {
		r.say("%s; the old leafs go on", strings.TrimSpace(err.Error()))
	} else {
		r.say("the roll-out of board is completed; its old leafs stop")
		for _, l := range old {
			l.stop()
		}
	}
	time.Sleep(55 * time.Second)
	c.stop()
	log.mu.Lock()
	defer log.mu.Unlock()
	late, last := 0, time.Duration(0)
	if len(log.bad) >= badAnswers {
		slices.SortFunc(log.bad, time.Time.Compare)
		from := log.bad[badAnswers-1]
		for _, at := range log.begun {
			if at.After(from.Add(rollbackTime + transitTime)) {
				late++
				last = max(last, at.Sub(from))
			}
		}
	}
	r.say("v2 ran %d requests and gave %d bad answers; %d requests came later than %s after its %dth bad answer, the last after %.1f s",
		len(log.begun), len(log.bad), late, rollbackTime+transitTime, badAnswers, last.Seconds())
	return late > 0, nil
}
