// Package fairqueue implements a weighted fair queue of requests with one FIFO per customer. The customer that has received the
// least service, in tokens over weight, is served first; among customers whose service is about equal, the request with the least
// slack is. Callers pass in the time and serialize access.
package fairqueue

import (
	"container/heap"
	"time"
)

// Quantum is the difference in weighted tokens within which the service of customers counts as equal. It is about one long prompt
// with its answer, so that a customer with long requests does not lose every comparison.
const Quantum = 4096

// Item is a waiting request.
type Item[T any] struct {
	Customer string
	// Weight is the customer's share; values below 1 count as 1.
	Weight int64
	Tokens int64
	// LatestStart is when the request must leave the queue to meet its deadline.
	LatestStart time.Time
	Value       T

	index   int
	seq     uint64
	removed bool
}

// Queue holds waiting requests. The zero value is not usable; use New.
type Queue[T any] struct {
	customers map[string]*customer[T]
	// floor is the least service of a waiting customer so far. A customer that starts to wait begins at this value, so that it
	// gains no credit while idle.
	floor   float64
	length  int
	tokens  int64
	seq     uint64
	byStart startHeap[T]
}

type customer[T any] struct {
	name   string
	weight int64
	// served is the customer's service: tokens over weight.
	served float64
	tokens int64
	items  []*Item[T]
}

// New returns an empty queue.
func New[T any]() *Queue[T] { return &Queue[T]{customers: map[string]*customer[T]{}} }

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int { return q.length }

// Push appends a request to its customer's queue.
func (q *Queue[T]) Push(item *Item[T]) {
	c := q.customers[item.Customer]
	if c == nil {
		c = &customer[T]{name: item.Customer}
		q.customers[item.Customer] = c
	}
	c.weight = max(item.Weight, 1)
	if len(c.items) == 0 {
		c.served = max(c.served, q.floor)
	}
	q.seq++
	item.seq, item.removed = q.seq, false
	c.items = append(c.items, item)
	c.tokens += item.Tokens
	q.length++
	q.tokens += item.Tokens
	heap.Push(&q.byStart, item)
}

// Head returns the request to serve next without removing it, or nil.
func (q *Queue[T]) Head() *Item[T] {
	least := q.leastServed()
	if least == nil {
		return nil
	}
	limit := least.served + Quantum
	var head *Item[T]
	for _, c := range q.customers {
		if len(c.items) == 0 || c.served > limit {
			continue
		}
		if first := c.items[0]; head == nil || precedes(first, head) {
			head = first
		}
	}
	return head
}

func precedes[T any](a, b *Item[T]) bool {
	if a.LatestStart.Equal(b.LatestStart) {
		return a.seq < b.seq
	}
	return a.LatestStart.Before(b.LatestStart)
}

func (q *Queue[T]) leastServed() *customer[T] {
	var least *customer[T]
	for _, c := range q.customers {
		if len(c.items) > 0 && (least == nil || c.served < least.served) {
			least = c
		}
	}
	return least
}

// Dequeue removes a request that is served now and charges its tokens to its customer. It returns false if the request is no
// longer queued.
func (q *Queue[T]) Dequeue(item *Item[T]) bool {
	if !q.Remove(item) {
		return false
	}
	c := q.customers[item.Customer]
	c.served += float64(item.Tokens) / float64(c.weight)
	q.raiseFloor()
	return true
}

// Remove deletes a request without charging its customer. It returns false if the request is no longer queued.
func (q *Queue[T]) Remove(item *Item[T]) bool {
	if item.removed {
		return false
	}
	item.removed = true
	c := q.customers[item.Customer]
	for i, other := range c.items {
		if other == item {
			c.items = append(c.items[:i], c.items[i+1:]...)
			break
		}
	}
	c.tokens -= item.Tokens
	q.length--
	q.tokens -= item.Tokens
	heap.Remove(&q.byStart, item.index)
	return true
}

// raiseFloor raises the floor to the least service of a waiting customer and deletes idle customers that are not above it.
func (q *Queue[T]) raiseFloor() {
	least := q.leastServed()
	if least == nil {
		// Without waiting requests there is no contention, so all service counts are reset.
		clear(q.customers)
		q.floor = 0
		return
	}
	q.floor = max(q.floor, least.served)
	for name, c := range q.customers {
		if len(c.items) == 0 && c.served <= q.floor {
			delete(q.customers, name)
		}
	}
}

// PopExpired removes and returns a request whose LatestStart has passed, or nil.
func (q *Queue[T]) PopExpired(now time.Time) *Item[T] {
	if len(q.byStart) == 0 || !q.byStart[0].LatestStart.Before(now) {
		return nil
	}
	item := q.byStart[0]
	q.Remove(item)
	return item
}

// TokensAhead estimates the tokens that are served before a new request of the customer. While it waits, each other customer is
// served at most in proportion to its weight, and at most what it has queued.
func (q *Queue[T]) TokensAhead(name string, weight int64) int64 {
	weight = max(weight, 1)
	queued, served := int64(0), q.floor
	if c := q.customers[name]; c != nil {
		queued, served = c.tokens, max(c.served, q.floor)
	}
	// finish is the weighted service at which the customer's queued requests are done.
	finish := served + float64(queued)/float64(weight)
	ahead := float64(queued)
	for _, c := range q.customers {
		if c.name == name || len(c.items) == 0 {
			continue
		}
		share := (finish + Quantum - c.served) * float64(c.weight)
		ahead += min(max(share, 0), float64(c.tokens))
	}
	return int64(ahead)
}

// startHeap is a heap of requests ordered by LatestStart.
type startHeap[T any] []*Item[T]

func (h startHeap[T]) Len() int           { return len(h) }
func (h startHeap[T]) Less(i, j int) bool { return h[i].LatestStart.Before(h[j].LatestStart) }
func (h startHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *startHeap[T]) Push(x any) {
	item := x.(*Item[T])
	item.index = len(*h)
	*h = append(*h, item)
}

// Pop implements heap.Interface.
func (h *startHeap[T]) Pop() any {
	old := *h
	item := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return item
}
