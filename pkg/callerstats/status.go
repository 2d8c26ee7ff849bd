package callerstats

import (
	"cmp"
	"slices"
	"time"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/routing"
)

// Status holds the accounts of the table in force with their requests, on one instance
// or on several.
type Status struct {
	TableVersion uint64 `json:"tableVersion"`
	// RenewalMilliseconds is the age of the newest renewal that succeeded.
	RenewalMilliseconds int64 `json:"renewalMilliseconds"`
	// Accounts are sorted by name.
	Accounts []Account `json:"accounts"`
}

// Account is an account with its requests since the instance started.
type Account struct {
	Name model.CallerID `json:"name"`
	// Priority is nil if the priorities of the routes apply.
	Priority *int `json:"priority,omitempty"`
	// Keys is the number of the account's keys.
	Keys     int    `json:"keys"`
	Requests uint64 `json:"requests"`
	// Refusals counts the requests that were refused, not run.
	Refusals uint64 `json:"refusals"`
	// UnusedMilliseconds is the time since the last use of any key; nil if none was used.
	UnusedMilliseconds *int64 `json:"unusedMilliseconds,omitempty"`
}

// Status returns the accounts of a table, which may be nil.
func (t *Tally) Status(table *routing.Index, now, sinceRenewal time.Duration) Status {
	s := Status{TableVersion: table.Version(), RenewalMilliseconds: sinceRenewal.Milliseconds()}
	if table == nil {
		return s
	}
	for i := range table.Table.Callers {
		c := &table.Table.Callers[i]
		a := Account{Name: c.Name, Priority: c.Priority, Keys: len(c.Keys)}
		if n, used := t.countsOf(c.Name); used {
			unused := (now - n.lastUse).Milliseconds()
			a.Requests, a.Refusals, a.UnusedMilliseconds = n.requests, n.refusals, &unused
		}
		s.Accounts = append(s.Accounts, a)
	}
	slices.SortFunc(s.Accounts, func(a, b Account) int { return cmp.Compare(a.Name, b.Name) })
	return s
}

// Merge returns the status of several instances: the accounts of the newest table, with
// the sums of their requests and the newest use. The age of the renewal is the greatest.
func Merge(all []Status) Status {
	if len(all) == 0 {
		return Status{}
	}
	newest := slices.MaxFunc(all, func(a, b Status) int { return cmp.Compare(a.TableVersion, b.TableVersion) })
	merged := Status{TableVersion: newest.TableVersion}
	byName := make(map[model.CallerID]int, len(newest.Accounts))
	for i, a := range newest.Accounts {
		byName[a.Name] = i
		merged.Accounts = append(merged.Accounts, Account{Name: a.Name, Priority: a.Priority, Keys: a.Keys})
	}
	for _, s := range all {
		merged.RenewalMilliseconds = max(merged.RenewalMilliseconds, s.RenewalMilliseconds)
		for _, a := range s.Accounts {
			if i, listed := byName[a.Name]; listed {
				merged.Accounts[i].add(a)
			}
		}
	}
	return merged
}

func (a *Account) add(b Account) {
	a.Requests += b.Requests
	a.Refusals += b.Refusals
	if b.UnusedMilliseconds != nil && (a.UnusedMilliseconds == nil || *b.UnusedMilliseconds < *a.UnusedMilliseconds) {
		a.UnusedMilliseconds = b.UnusedMilliseconds
	}
}
