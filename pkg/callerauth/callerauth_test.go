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
func index(pairs ...string) *routing.Index {
	t := &routing.Table{}
	for i := 0; i < len(pairs); i += 2 {
		t.Callers = append(t.Callers, routing.Caller{Name: model.CallerID(pairs[i]), Keys: []routing.KeyDigest{routing.DigestKey(pairs[i+1])}})
	}
	return routing.NewIndex(t)
}

const bound = 5 * time.Second

// Guards against requests that run without a key in force, and refusals of those that
// need none.
func TestDecide(t *testing.T) {
	none, accounts := index(), index("ralo", "k1", "mira", "k2")
	inTouch, lost := callerauth.Contact{MaxAge: bound, Age: bound}, callerauth.Contact{MaxAge: bound, Age: bound + 1}
	for _, c := range []struct {
		table   *routing.Index
		key     string
		public  bool
		contact callerauth.Contact
		caller  model.CallerID
		want    callerauth.Reason
	}{
		{none, "", false, inTouch, "", callerauth.Admitted},
		{none, "k1", false, lost, "", callerauth.Admitted},
		{accounts, "k2", false, inTouch, "mira", callerauth.Admitted},
		{accounts, "", false, inTouch, "", callerauth.KeyMissing},
		{accounts, "k3", false, inTouch, "", callerauth.KeyUnknown},
		{accounts, "k1", false, lost, "", callerauth.OutOfTouch},
		{accounts, "k3", false, lost, "", callerauth.OutOfTouch},
		{accounts, "k1", false, callerauth.Contact{Age: time.Hour}, "ralo", callerauth.Admitted},
		{accounts, "", true, inTouch, "", callerauth.Admitted},
		{accounts, "k1", true, lost, "ralo", callerauth.Admitted},
		{accounts, "k3", true, lost, "", callerauth.Admitted},
	} {
		caller, reason := callerauth.Decide(c.table, callerauth.Request{Key: callerauth.NewKey(c.key), Public: c.public}, c.contact)
		NewWithT(t).Expect(reason).To(Equal(c.want), "%+v", c)
		if caller == nil {
			caller = &routing.Caller{}
		}
		NewWithT(t).Expect(caller.Name).To(Equal(c.caller), "%+v", c)
	}
}

// Guards against requests that run with a key that was removed while they waited, and
// against 401 for a key that the table in force holds.
func TestRecheck(t *testing.T) {
	admittedFor := func(caller model.CallerID) callerauth.Admission {
		return callerauth.Admission{Accounts: true, Caller: caller}
	}
	accounts, stoodStill := index("ralo", "k1", "mira", "k2"), callerauth.Contact{AttemptAge: 4 * time.Second}
	for name, c := range map[string]struct {
		table    *routing.Index
		key      string
		public   bool
		admitted callerauth.Admission
		contact  callerauth.Contact
		want     callerauth.Reason
	}{
		"still known":                      {accounts, "k1", false, admittedFor("ralo"), callerauth.Contact{}, callerauth.Admitted},
		"removed":                          {accounts, "k0", false, admittedFor("ralo"), callerauth.Contact{}, callerauth.KeyRevoked},
		"moved to another account":         {accounts, "k2", false, admittedFor("ralo"), callerauth.Contact{}, callerauth.AccountChanged},
		"accounts introduced, key known":   {accounts, "k1", false, callerauth.Admission{}, callerauth.Contact{}, callerauth.AccountChanged},
		"accounts introduced, no key":      {accounts, "", false, callerauth.Admission{}, callerauth.Contact{}, callerauth.AccountChanged},
		"accounts introduced, public":      {accounts, "", true, callerauth.Admission{}, callerauth.Contact{}, callerauth.AccountChanged},
		"accounts removed":                 {index(), "k1", false, admittedFor("ralo"), stoodStill, callerauth.Admitted},
		"public without a key":             {accounts, "", true, admittedFor(""), stoodStill, callerauth.Admitted},
		"public, key removed":              {accounts, "k0", true, admittedFor("ralo"), callerauth.Contact{}, callerauth.AccountChanged},
		"process stood still":              {accounts, "k1", false, admittedFor("ralo"), stoodStill, callerauth.OutOfTouch},
		"control lost, renewals are tried": {accounts, "k1", false, admittedFor("ralo"), callerauth.Contact{Age: time.Hour, AttemptAge: time.Second}, callerauth.Admitted},
	} {
		request := callerauth.Request{Key: callerauth.NewKey(c.key), Public: c.public}
		NewWithT(t).Expect(callerauth.Recheck(c.table, request, c.admitted, c.contact)).To(Equal(c.want), name)
	}
}

// No order of configurations, renewals, restarts and requests runs a request with a key
// that no configuration held, or with a removed key after the bound.
func TestNoRequestRunsWithoutAKeyInForce(t *testing.T) {
	type waiting struct {
		key    string
		caller model.CallerID
	}
	rapid.Check(t, func(t *rapid.T) {
		var (
			now, renewed  time.Duration
			newest        = index("a", "k0")
			table         = newest
			held, removed = map[string]bool{"k0": true}, make(map[string]time.Duration)
			queue         []waiting
		)
		contact := func() callerauth.Contact { return callerauth.Contact{MaxAge: bound, Age: now - renewed} }
		run := func(key string) {
			if at, gone := removed[key]; !held[key] || gone && now > at+bound {
				t.Fatalf("a request with key %s runs at %s; removed at %s", key, now, at)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"time passes": func(t *rapid.T) { now += time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond },
			"configure": func(t *rapid.T) {
				pairs := []string{"a", "k0"}
				for i := 1; i < 4; i++ {
					key := fmt.Sprint("k", i)
					if rapid.Bool().Draw(t, key) {
						pairs = append(pairs, rapid.SampledFrom([]string{"b", "c"}).Draw(t, "account")+key, key)
						held[key] = true
						delete(removed, key)
					} else if _, gone := removed[key]; !gone {
						removed[key] = now
					}
				}
				newest = index(pairs...)
			},
			"renew":   func(*rapid.T) { table, renewed = newest, now },
			"restart": func(*rapid.T) { table, renewed, queue = newest, now, nil },
			"arrive": func(t *rapid.T) {
				key := fmt.Sprint("k", rapid.IntRange(0, 5).Draw(t, "key"))
				caller, reason := callerauth.Decide(table, callerauth.Request{Key: callerauth.NewKey(key)}, contact())
				if reason == callerauth.Admitted {
					run(key)
					queue = append(queue, waiting{key, caller.Name})
				}
			},
			"end wait": func(t *rapid.T) {
				if len(queue) == 0 {
					t.Skip("no request waits")
				}
				w := queue[0]
				queue = queue[1:]
				if callerauth.Recheck(table, callerauth.Request{Key: callerauth.NewKey(w.key)}, callerauth.Admission{Accounts: true, Caller: w.caller}, contact()) == callerauth.Admitted {
					run(w.key)
				}
			},
		})
	})
}
