//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	host = "pupu76.example"
	// movedShard is the shard that the roll-out moves.
	movedShard = "shopfront-3"
	shardCount = 20
	// Doses of the disruption answer_lost with "reset across".
	lostLeafs, lostAnswers, lostFor = 0.5, 0.4, 4 * time.Second
)

func shardName(i int) string { return fmt.Sprintf("shopfront-%d", i) }

// rolloutConfiguration returns a version of the configuration; the route /new/ is there
// from version 9 on.
func rolloutConfiguration(version int) string {
	type object map[string]any
	shards, services := []string{}, []any{}
	service := func(name string, connections int) {
		services = append(services, object{
			"name": name, "health-path": "/health", "max-connections": connections, "protocol": "h1", "tls": false, "cold-start-s": 3.0, "cold-per-s": 0.0,
		})
	}
	for i := range shardCount {
		shards = append(shards, shardName(i))
		service(shardName(i), 30)
	}
	service("ledger", 96)
	routes := []any{
		object{
			"name": "r-search", "host": host, "path-prefix": "/search/", "kind": "safe", "timeout-ms": 2000, "target-latency-ms": 200,
			"priority": 1, "gather": shards, "max-attempts": 2, "top-k": 10, "minimum-shard-share": 0.89,
		},
		object{
			"name": "r-ledger", "host": host, "path-prefix": "/ledger/", "kind": "safe", "timeout-ms": 8000, "target-latency-ms": 800,
			"priority": 2, "service": "ledger", "max-attempts": 2,
		},
	}
	if version >= 9 {
		routes = append(routes, object{
			"name": "r-new", "host": host, "path-prefix": "/new/", "kind": "safe", "timeout-ms": 2000, "target-latency-ms": 200,
			"priority": 2, "service": movedShard, "max-attempts": 2,
		})
	}
	text, err := json.Marshal(object{
		"version": version, "routes": routes, "services": services,
		"limits": object{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	if err != nil {
		panic(err)
	}
	return string(text)
}

// rollOut moves a service to a version and waits until that is completed.
func (f *fleet) rollOut(service, version string) error {
	order := fmt.Sprintf(`{"service":%q,"target-version":%q,"duration-s":12}`, service, version)
	if status, _ := f.order("POST", "/Rollouts.Start", order, 5*time.Second); status != 200 {
		return fmt.Errorf("the roll-out was not acknowledged (%d)", status)
	}
	var reply struct {
		State string `json:"state"`
	}
	for until := time.Now().Add(25 * time.Second); time.Now().Before(until); time.Sleep(500 * time.Millisecond) {
		_, text := f.order("GET", "/Rollouts.Get/"+service, "", 5*time.Second)
		if err := json.Unmarshal([]byte(text), &reply); err == nil && reply.State == "completed" {
			return nil
		}
	}
	return fmt.Errorf("the roll-out is %q", reply.State)
}

// shards is a small deployment whose index has 20 shards of two leafs.
type shards struct {
	platform *platform
	fleet    *fleet
	clients  *clients
	// old are the leafs of movedShard, and others those of the other shards, two in a row
	// of each.
	old, others []*leaf
}

// startShards starts the deployment with traffic.
func startShards(r *record) (*shards, error) {
	network, err := freeNetwork()
	if err != nil {
		return nil, err
	}
	p, err := newPlatform(r, network)
	if err != nil {
		return nil, err
	}
	f, err := newFleet(r, p.address, network)
	if err != nil {
		return nil, err
	}
	s := &shards{platform: p, fleet: f, clients: newClients(r, f, host)}
	if err := s.startTraffic(); err != nil {
		f.stop()
		return nil, err
	}
	return s, nil
}

func (s *shards) startTraffic() error {
	for i := range shardCount {
		leafs, err := s.platform.startLeafs(shardName(i), "v1", 2, 28*time.Millisecond)
		if err != nil {
			return err
		}
		if shardName(i) == movedShard {
			s.old = leafs
		} else {
			s.others = append(s.others, leafs...)
		}
	}
	if _, err := s.platform.startLeafs("ledger", "v1", 6, 100*time.Millisecond); err != nil {
		return err
	}
	if status, _ := s.fleet.order("POST", "/Configuration.Replace", rolloutConfiguration(7), 20*time.Second); status != 200 {
		return fmt.Errorf("the first configuration was not acknowledged (%d)", status)
	}
	if err := s.fleet.awaitReady(20 * time.Second); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	s.clients.run("/search/", "GET", 67.5, 2*time.Second)
	s.clients.run("/ledger/", "GET", 22.5, 8*time.Second)
	time.Sleep(2 * time.Second)
	return nil
}

// stop ends the clients and the fleet.
func (s *shards) stop() {
	s.clients.stop()
	s.fleet.stop()
}

// countLaterRoute adds a route to the moved shard and counts requests in steady state. It
// reports whether the rule on routes that were added later is broken.
func (s *shards) countLaterRoute(r *record) (bool, error) {
	if status, _ := s.fleet.order("POST", "/Configuration.Replace", rolloutConfiguration(9), 10*time.Second); status != 200 {
		return false, fmt.Errorf("the second configuration was not acknowledged (%d)", status)
	}
	time.Sleep(4 * time.Second)
	c := s.clients
	from := time.Now()
	c.run("/new/", "GET", 10, 2*time.Second)
	time.Sleep(12 * time.Second)
	to := time.Now()
	c.stop()
	search, searchServed := c.count("/search/", from, to)
	ledger, ledgerServed := c.count("/ledger/", from, to)
	added, addedServed := c.count("/new/", from, to)
	r.say("in steady state: search %d of %d served, %d of them without all parts; ledger %d of %d; the route added later %d of %d",
		searchServed, search, c.incomplete("/search/", from, to), ledgerServed, ledger, addedServed, added)
	if added < 20 || search+ledger == 0 {
		return false, fmt.Errorf("too few requests")
	}
	firstShare := float64(searchServed+ledgerServed) / float64(search+ledger)
	return float64(addedServed)/float64(added) < firstShare/4, nil
}

// playRollout moves a shard to a good version, has leafs lose answers for a while once the
// roll-out is completed, and adds a route to the shard after that.
func playRollout(r *record, trouble bool) (bool, error) {
	s, err := startShards(r)
	if err != nil {
		return false, err
	}
	defer s.stop()
	moved, err := s.platform.startLeafs(movedShard, "v2", 2, 28*time.Millisecond)
	if err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	if err := s.fleet.rollOut(movedShard, "v2"); err != nil {
		return false, err
	}
	r.say("the roll-out of %s is completed; its old leafs stop", movedShard)
	for _, l := range s.old {
		l.stop()
	}
	time.Sleep(5 * time.Second)
	if trouble {
		others := s.others
		rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
		hit := append(moved, others[:int(lostLeafs*(2*shardCount))-len(moved)]...)
		r.say("trouble: %d of %d leafs lose %g of their answers for %s", len(hit), 2*shardCount, lostAnswers, lostFor)
		for _, l := range hit {
			l.lose(lostAnswers)
		}
		time.AfterFunc(lostFor, func() {
			for _, l := range hit {
				l.lose(0)
			}
		})
	}
	time.Sleep(lostFor)
	r.say("the trouble is over")
	time.Sleep(5 * time.Second)
	return s.countLaterRoute(r)
}

// goneLeafs is how many of the 42 leafs of the shards are lost for good, 0.12 of them.
const goneLeafs = 5

// playLostVersion has the leafs of a new version crash for good during its roll-out, and
// adds a route to the shard after that. The platform stops the old leafs only if the
// roll-out is completed.
func playLostVersion(r *record, trouble bool) (bool, error) {
	s, err := startShards(r)
	if err != nil {
		return false, err
	}
	defer s.stop()
	moved, err := s.platform.startLeafs(movedShard, "v2", 2, 28*time.Millisecond)
	if err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	if trouble {
		// One leaf of some other shards is lost besides; each of them keeps the other one.
		hit := append(moved, s.others[0], s.others[2], s.others[4])[:goneLeafs]
		time.AfterFunc(2*time.Second, func() {
			r.say("trouble: %d of %d leafs crash for good, all of the new version among them", len(hit), 2*shardCount+len(moved))
			for _, l := range hit {
				_ = l.server.Close()
			}
			// A leaf that has crashed remains on the list for some seconds.
			time.Sleep(3 * time.Second)
			for _, l := range hit {
				l.stop()
			}
		})
	}
	err = s.fleet.rollOut(movedShard, "v2")
	if err == nil {
		r.say("the roll-out of %s is completed; its old leafs stop", movedShard)
		for _, l := range s.old {
			l.stop()
		}
	} else {
		r.say("%s; the old leafs go on", err)
	}
	time.Sleep(5 * time.Second)
	return s.countLaterRoute(r)
}
