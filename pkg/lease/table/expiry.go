package table

import "time"

// expiryHeap orders the times up to which holders have confirmed leases. Each
// renewal adds an entry; an entry superseded by a later one has no effect.
type expiryHeap []expiry

type expiry struct {
	at    time.Duration
	lease *leaseRecord
}

// Len returns the number of entries; it is part of heap.Interface.
func (e expiryHeap) Len() int { return len(e) }

// Less orders by time; it is part of heap.Interface.
func (e expiryHeap) Less(i, j int) bool { return e[i].at < e[j].at }

// Swap is part of heap.Interface.
func (e expiryHeap) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push is part of heap.Interface.
func (e *expiryHeap) Push(x any) { *e = append(*e, x.(expiry)) }

// Pop is part of heap.Interface.
func (e *expiryHeap) Pop() any {
	last := (*e)[len(*e)-1]
	(*e)[len(*e)-1] = expiry{}
	*e = (*e)[:len(*e)-1]
	return last
}
