package table

import "time"

// ends is a heap of the moments at which holders stop surely having a lease. A
// renewal adds an entry; an entry that a later one follows has no effect.
type ends []end

type end struct {
	at     time.Duration
	holder *holder
}

// Len returns the number of entries; it is part of heap.Interface.
func (e ends) Len() int { return len(e) }

// Less orders by time; it is part of heap.Interface.
func (e ends) Less(i, j int) bool { return e[i].at < e[j].at }

// Swap is part of heap.Interface.
func (e ends) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push is part of heap.Interface.
func (e *ends) Push(x any) { *e = append(*e, x.(end)) }

// Pop is part of heap.Interface.
func (e *ends) Pop() any {
	last := (*e)[len(*e)-1]
	(*e)[len(*e)-1] = end{}
	*e = (*e)[:len(*e)-1]
	return last
}
