//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"time"
)

// twoServices returns a version of the configuration with the services ledger and board; the
// route /new/ is there from version 9 on.
func twoServices(version int, kind string) string {
	type object map[string]any
	route := func(name, prefix, service string) object {
		return object{
			"name": name, "host": host, "path-prefix": prefix, "kind": kind, "timeout-ms": 8000, "target-latency-ms": 800,
			"priority": 2, "service": service, "max-attempts": 2,
		}
	}
	routes := []any{route("r-ledger", "/ledger/", "ledger"), route("r-board", "/board/", "board")}
	if version >= 9 {
		routes = append(routes, route("r-new", "/new/", "board"))
	}
	service := func(name string) object {
		return object{
			"name": name, "health-path": "/health", "max-connections": 96, "protocol": "h1", "tls": false, "cold-start-s": 3.0, "cold-per-s": 0.0,
		}
	}
	text, err := json.Marshal(object{
		"version": version, "routes": routes, "services": []any{service("ledger"), service("board")},
		"limits": object{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	if err != nil {
		panic(err)
	}
	return string(text)
}

// startTwoServices starts a fleet with the services ledger, of 6 leafs, and board. It returns
// the leafs of board.
func startTwoServices(r *record, kind string, boardLeafs int) (*platform, *fleet, []*leaf, error) {
	network, err := freeNetwork()
	if err != nil {
		return nil, nil, nil, err
	}
	p, err := newPlatform(r, network)
	if err != nil {
		return nil, nil, nil, err
	}
	f, err := newFleet(r, p.address, network)
	if err != nil {
		return nil, nil, nil, err
	}
	_, err = p.startLeafs("ledger", "v1", 6, 100*time.Millisecond)
	if err != nil {
		f.stop()
		return nil, nil, nil, err
	}
	board, err := p.startLeafs("board", "v1", boardLeafs, 100*time.Millisecond)
	if err != nil {
		f.stop()
		return nil, nil, nil, err
	}
	if status, _ := f.order("POST", "/Configuration.Replace", twoServices(7, kind), 20*time.Second); status != 200 {
		f.stop()
		return nil, nil, nil, fmt.Errorf("the first configuration was not acknowledged (%d)", status)
	}
	if err := f.awaitReady(20 * time.Second); err != nil {
		f.stop()
		return nil, nil, nil, err
	}
	return p, f, board, nil
}

// playForeign has another writer's entries in the list, and adds a route to the service
// whose leafs they repeat.
func playForeign(r *record, trouble bool) (bool, error) {
	p, f, _, err := startTwoServices(r, "safe", 6)
	if err != nil {
		return false, err
	}
	defer f.stop()
	time.Sleep(3 * time.Second)
	c := newClients(r, f, host)
	defer c.stop()
	c.run("/ledger/", "GET", 22.5, 8*time.Second)
	c.run("/board/", "GET", 22.5, 8*time.Second)
	time.Sleep(5 * time.Second)
	if trouble {
		r.say("trouble: %d entries of another writer, of a service that is not named", p.addForeign("board", "board-archive"))
	}
	time.Sleep(5 * time.Second)
	return countLaterRoute(r, f, c)
}

// countLaterRoute adds a route to board and counts requests in steady state. It reports
// whether the rule on routes that were added later is broken.
func countLaterRoute(r *record, f *fleet, c *clients) (bool, error) {
	if status, _ := f.order("POST", "/Configuration.Replace", twoServices(9, "safe"), 10*time.Second); status != 200 {
		return false, fmt.Errorf("the second configuration was not acknowledged (%d)", status)
	}
	time.Sleep(4 * time.Second)
	from := time.Now()
	c.run("/new/", "GET", 10, 8*time.Second)
	time.Sleep(12 * time.Second)
	to := time.Now()
	c.stop()
	ledger, ledgerServed := c.count("/ledger/", from, to)
	board, boardServed := c.count("/board/", from, to)
	added, addedServed := c.count("/new/", from, to)
	r.say("in steady state: ledger %d of %d served, board %d of %d, the route added later %d of %d",
		ledgerServed, ledger, boardServed, board, addedServed, added)
	if added < 20 || ledger+board == 0 {
		return false, fmt.Errorf("too few requests")
	}
	firstShare := float64(ledgerServed+boardServed) / float64(ledger+board)
	return float64(addedServed)/float64(added) < firstShare/4, nil
}
