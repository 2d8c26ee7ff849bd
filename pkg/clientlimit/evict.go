package clientlimit

import "container/list"

// makeRoom evicts connections until there is room for more connections and n bytes of
// the client of c. It returns the limit that is still reached if there is nothing left
// to evict, or nothing but c.
func (t *Table) makeRoom(c *Conn, more int, n int64) Reason {
	for {
		reason, own := t.reached(c.client, more, n)
		if reason == ReasonNone {
			return ReasonNone
		}
		victim := t.victim(reason, own)
		if victim == nil || victim == c {
			return reason
		}
		t.evict(victim, reason)
	}
}

// reached returns the limit that a client would pass with more connections and n more
// bytes. own is the client if the limit is that of one client address.
func (t *Table) reached(c *client, more int, n int64) (reason Reason, own *client) {
	l := t.limits
	switch {
	case c.connections+more > share(l.Connections), c.bytes+n > share(l.Bytes):
		return ReasonAddress, c
	case more > 0 && c.incomplete+more > share(l.Connections/incompleteDivisor):
		return ReasonAddress, c
	case more > 0 && t.incomplete.Len()+more > max(1, l.Connections/incompleteDivisor):
		return ReasonIncomplete, nil
	case t.connections+more > l.Connections:
		return ReasonConnections, nil
	case t.bytes+n > l.Bytes:
		return ReasonMemory, nil
	}
	return ReasonNone, nil
}

// share returns the part of a limit that one client address may hold.
func share[T int | int64](limit T) T { return max(1, limit*addressShare/addressParts) }

// victim returns the connection to evict: the one that has not sent a complete request
// for longest, of one client or of all. If there is none, or too many are idle, it is the
// connection that is idle for longest of the client with the most connections. If none is
// idle, it is the one that is busy for longest of those whose clients take no answers.
func (t *Table) victim(reason Reason, own *client) *Conn {
	if reason == ReasonIncomplete || !t.tooManyIdle(own) {
		if c := oldest(t.incomplete, own); c != nil || reason == ReasonIncomplete {
			return c
		}
	}
	largest := own
	if largest == nil {
		largest = t.largestIdle()
	}
	if c := oldest(t.idle, largest); c != nil {
		return c
	}
	return t.oldestStalled(own)
}

// oldestStalled returns the connection that is busy for longest of those whose clients
// take no answers, of one client if it is not nil.
func (t *Table) oldestStalled(own *client) *Conn {
	if t.Stalled == nil {
		return nil
	}
	for e := t.busy.Front(); e != nil; e = e.Next() {
		if c := e.Value.(*Conn); (own == nil || c.client == own) && t.Stalled(c.Owner) {
			return c
		}
	}
	return nil
}

// tooManyIdle reports whether the idle connections of one client, or of all, leave too
// little room for those that send requests.
func (t *Table) tooManyIdle(own *client) bool {
	if own != nil {
		return own.idle > share(t.limits.Connections)/idleDivisor
	}
	return t.idle.Len() > t.limits.Connections/idleDivisor
}

// oldest returns the first connection in a list, of one client if it is not nil.
func oldest(l *list.List, own *client) *Conn {
	for e := l.Front(); e != nil; e = e.Next() {
		if c := e.Value.(*Conn); own == nil || c.client == own {
			return c
		}
	}
	return nil
}

// largestIdle returns the client with the most connections of those that have an idle
// one.
func (t *Table) largestIdle() *client {
	var largest *client
	for e := t.idle.Front(); e != nil; e = e.Next() {
		if c := e.Value.(*Conn).client; largest == nil || c.connections > largest.connections {
			largest = c
		}
	}
	return largest
}

func (t *Table) evict(c *Conn, reason Reason) {
	t.Close(c)
	t.evicted = append(t.evicted, Eviction{Conn: c, Reason: reason})
}
