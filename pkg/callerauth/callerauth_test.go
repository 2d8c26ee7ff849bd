package callerauth_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"radishturn.example/radishturn/pkg/callerauth"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/routing"
)

// index returns a table with accounts, given as pairs of a name and a key.
func index(version uint64, pairs ...string) *routing.Index {
	t := &routing.Table{Version: version}
	for i := 0; i < len(pairs); i += 2 {
		t.Callers = append(t.Callers, routing.Caller{Name: model.CallerID(pairs[i]), Keys: []routing.KeyDigest{routing.DigestKey(pairs[i+1])}})
	}
	return routing.NewIndex(t)
}

const bound = 5 * time.Second

// Guards against requests that run without a key in force, and against refusals of
// requests that need none.
func TestDecide(t *testing.T) {
	inTouch, lost := callerauth.Contact{MaxAge: bound, Age: bound}, callerauth.Contact{MaxAge: bound, Age: bound + 1}
	none, accounts := index(1), index(2, "ralo", "k1", "mira", "k2")
	for _, c := range []struct {
		name    string
		table   *routing.Index
		key     string
		public  bool
		contact callerauth.Contact
		caller  string
		want    callerauth.Reason
	}{
		{"no accounts", none, "", false, inTouch, "", callerauth.Admitted},
		{"no accounts, any key, out of touch", none, "k1", false, lost, "", callerauth.Admitted},
		{"known key", accounts, "k2", false, inTouch, "mira", callerauth.Admitted},
		{"no key", accounts, "", false, inTouch, "", callerauth.KeyMissing},
		{"unknown key", accounts, "k3", false, inTouch, "", callerauth.KeyUnknown},
		{"out of touch", accounts, "k1", false, lost, "", callerauth.OutOfTouch},
		{"out of touch, unknown key", accounts, "k3", false, lost, "", callerauth.OutOfTouch},
		{"table of any age", accounts, "k1", false, callerauth.Contact{Age: lost.Age}, "ralo", callerauth.Admitted},
		{"public", accounts, "", true, inTouch, "", callerauth.Admitted},
		{"public, known key", accounts, "k1", true, lost, "ralo", callerauth.Admitted},
		{"public, unknown key", accounts, "k3", true, lost, "", callerauth.Admitted},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			caller, reason := callerauth.Decide(c.table, callerauth.Request{Key: callerauth.NewKey(c.key), Public: c.public}, c.contact)
			g.Expect(reason).To(Equal(c.want))
			if c.caller == "" {
				g.Expect(caller).To(BeNil())
			} else {
				g.Expect(caller.Name).To(BeEquivalentTo(c.caller))
			}
		})
	}
}

// Guards against requests that run with a key that was removed while they waited, and
// against 401 for a key that the table in force holds.
func TestRecheck(t *testing.T) {
	accounts := index(2, "ralo", "k1", "mira", "k2")
	for _, c := range []struct {
		name     string
		table    *routing.Index
		key      string
		public   bool
		admitted string
		want     callerauth.Reason
	}{
		{"still known", accounts, "k1", false, "ralo", callerauth.Admitted},
		{"removed", accounts, "k0", false, "ralo", callerauth.KeyRevoked},
		{"moved to another account", accounts, "k2", false, "ralo", callerauth.AccountChanged},
		{"accounts introduced, key known", accounts, "k1", false, "", callerauth.AccountChanged},
		{"accounts introduced, no key", accounts, "", false, "", callerauth.AccountChanged},
		{"accounts removed", index(3), "k1", false, "ralo", callerauth.Admitted},
		{"public without a key", accounts, "", true, "", callerauth.Admitted},
		{"public, key removed", accounts, "k0", true, "ralo", callerauth.AccountChanged},
	} {
		t.Run(c.name, func(t *testing.T) {
			request := callerauth.Request{Key: callerauth.NewKey(c.key), Public: c.public}
			got := callerauth.Recheck(c.table, request, model.CallerID(c.admitted), callerauth.Contact{})
			NewWithT(t).Expect(got).To(Equal(c.want))
		})
	}
}

// entry is a simulated entry instance. Its table and the time of its newest renewal are
// lost when it restarts.
type entry struct {
	table   *routing.Index
	renewed time.Duration
}

// waiting is a request that was admitted and waits.
type waiting struct {
	key    string
	caller model.CallerID
}

// No order of configurations, renewals, restarts and requests runs a request with a key
// that no configuration held, or with a removed key after the bound.
func TestNoRequestRunsWithoutAKeyInForce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var (
			now     time.Duration
			version uint64
			newest  = index(0, "a", "k0")
			held    = map[string]bool{"k0": true}
			removed = make(map[string]time.Duration)
			e       = entry{table: newest}
			queue   []waiting
		)
		contact := func() callerauth.Contact { return callerauth.Contact{MaxAge: bound, Age: now - e.renewed} }
		run := func(key string) {
			at, wasRemoved := removed[key]
			if !held[key] || wasRemoved && now > at+bound {
				t.Fatalf("a request with key %s runs at %s; removed at %s", key, now, at)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"time passes": func(t *rapid.T) { now += time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond },
			"configure": func(t *rapid.T) {
				version++
				var pairs []string
				for i := range 4 {
					key := fmt.Sprint("k", i)
					switch {
					case i == 0 || rapid.Bool().Draw(t, key):
						pairs = append(pairs, rapid.SampledFrom([]string{"a", "b"}).Draw(t, "account")+key, key)
						held[key] = true
						delete(removed, key)
					default:
						if _, known := removed[key]; !known {
							removed[key] = now
						}
					}
				}
				newest = index(version, pairs...)
			},
			"renew":   func(*rapid.T) { e = entry{newest, now} },
			"restart": func(*rapid.T) { e, queue = entry{newest, now}, nil },
			"arrive": func(t *rapid.T) {
				key := fmt.Sprint("k", rapid.IntRange(0, 5).Draw(t, "key"))
				caller, reason := callerauth.Decide(e.table, callerauth.Request{Key: callerauth.NewKey(key)}, contact())
				if reason != callerauth.Admitted {
					return
				}
				run(key)
				queue = append(queue, waiting{key, caller.Name})
			},
			"end wait": func(t *rapid.T) {
				if len(queue) == 0 {
					t.Skip("no request waits")
				}
				w := queue[0]
				queue = queue[1:]
				if callerauth.Recheck(e.table, callerauth.Request{Key: callerauth.NewKey(w.key)}, w.caller, contact()) == callerauth.Admitted {
					run(w.key)
				}
			},
		})
	})
}
