package consensus

import (
	"fmt"
	"slices"
)

// raftLog holds the entries after index base. Entries up to base are covered by a
// snapshot and were discarded.
type raftLog struct {
	base     uint64
	baseTerm uint64
	entries  []Entry
}

func (l *raftLog) lastIndex() uint64 { return l.base + uint64(len(l.entries)) }

func (l *raftLog) lastTerm() uint64 {
	if len(l.entries) == 0 {
		return l.baseTerm
	}
	return l.entries[len(l.entries)-1].Term
}

// term returns the term of the entry at index, and whether it is known.
func (l *raftLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.base:
		return l.baseTerm, true
	case index < l.base || index > l.lastIndex():
		return 0, false
	}
	return l.at(index).Term, true
}

// matches reports whether the log has an entry with this index and term.
func (l *raftLog) matches(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

func (l *raftLog) at(index uint64) *Entry { return &l.entries[index-l.base-1] }

// slice returns a copy of the entries in [from, to].
func (l *raftLog) slice(from, to uint64) []Entry {
	if from > to {
		return nil
	}
	return slices.Clone(l.entries[from-l.base-1 : to-l.base])
}

// batch returns entries starting at from, up to maxBytes in total but at least one.
func (l *raftLog) batch(from uint64, maxBytes int) []Entry {
	size := 0
	to := from
	for ; to <= l.lastIndex(); to++ {
		size += l.at(to).size()
		if size > maxBytes && to > from {
			break
		}
	}
	return l.slice(from, to-1)
}

// exceeds reports whether the entries in [from, to] have more than limit bytes.
func (l *raftLog) exceeds(from, to uint64, limit int) bool {
	size := 0
	for index := from; index <= to && size <= limit; index++ {
		size += l.at(index).size()
	}
	return size > limit
}

// append truncates the log before the index of the first entry and adds entries.
func (l *raftLog) append(entries []Entry) {
	first := entries[0].Index
	if first <= l.base || first > l.lastIndex()+1 {
		panic(fmt.Sprintf("consensus: append at %d to a log of (%d, %d]", first, l.base, l.lastIndex()))
	}
	l.entries = append(l.entries[:first-l.base-1:first-l.base-1], entries...)
}

// newEntries returns entries without the leading ones that the log already has.
func (l *raftLog) newEntries(entries []Entry) []Entry {
	for i, e := range entries {
		if !l.matches(e.Index, e.Term) {
			return entries[i:]
		}
	}
	return nil
}

// maxRetainedBytes bounds the entries that stay in memory although a snapshot covers
// them.
const maxRetainedBytes = 8 << 20

// retainedFrom returns the index up to which entries may be discarded so that the last
// ones up to index are kept: keep of them, or fewer if they exceed maxBytes.
func (l *raftLog) retainedFrom(index, keep uint64, maxBytes int) uint64 {
	size := 0
	for from := index; ; from-- {
		if from <= l.base || index-from >= keep {
			return from
		}
		if size += l.at(from).size(); size > maxBytes {
			return from
		}
	}
}

// compact discards the entries up to and including index.
func (l *raftLog) compact(index uint64) {
	if index <= l.base {
		return
	}
	term, ok := l.term(index)
	if !ok {
		panic(fmt.Sprintf("consensus: compact to %d beyond %d", index, l.lastIndex()))
	}
	l.entries = slices.Clone(l.entries[index-l.base:])
	l.base, l.baseTerm = index, term
}

// reset replaces the log with a snapshot.
func (l *raftLog) reset(meta SnapshotMeta) {
	*l = raftLog{base: meta.Index, baseTerm: meta.Term}
}

// conflictHint returns the largest index up to prev at which this log may match
// that of a leader whose entry at prev differs. It skips all entries of the
// conflicting term at once.
func (l *raftLog) conflictHint(prev uint64) uint64 {
	if prev > l.lastIndex() {
		return l.lastIndex()
	}
	differing, ok := l.term(prev)
	if !ok {
		return l.base
	}
	index := prev
	for index > l.base {
		if t, _ := l.term(index); t != differing {
			break
		}
		index--
	}
	return index
}
