// Package fairqueue orders waiting requests: one queue per customer, served by deficit in tokens with weights, and the
// least slack first among customers of equal standing. The time is passed in; the caller serialises access.
package fairqueue

import (
	"container/heap"
	"time"
)

// Quantum is the difference in weighted tokens within which customers are of equal standing. It is about one long
// prompt with its answer, so that a customer with long requests does not lose every comparison.
const Quantum = 4096

// Item is a waiting request.
type Item[T any] struct {
	Customer string
	// Weight is the customer's part; values below 1 count as 1.
	Weight int64
	Tokens int64
	// LatestStart is when the request must leave the queue to meet its deadline.
	LatestStart time.Time
	Value       T

	index int
	seq   uint64
	gone  bool
}

// Queue holds waiting requests. The zero value is not usable; use New.
type Queue[T any] struct {
	customers map[string]*customer[T]
	// floor is the least service of a waiting customer so far. A customer that starts to wait begins there, so that
	// idle time earns nothing.
	floor  float64
	length int
	tokens int64
	seq    uint64
	latest byLatest[T]
}

type customer[T any] struct {
	name   string
	weight int64
	// served is the service in tokens over weight.
	served float64
	tokens int64
	items  []*Item[T]
}

// New returns an empty queue.
func New[T any]() *Queue[T] { return &Queue[T]{customers: map[string]*customer[T]{}} }

// Len is the number of waiting requests.
func (q *Queue[T]) Len() int { return q.length }

// Push adds a request at the end of its customer's queue.
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
	item.seq, item.gone = q.seq, false
	c.items = append(c.items, item)
	c.tokens += item.Tokens
	q.length++
	q.tokens += item.Tokens
	heap.Push(&q.latest, item)
}

// Head returns the request to serve next, or nil. It stays in the queue.
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
		if first := c.items[0]; head == nil || before(first, head) {
			head = first
		}
	}
	return head
}

func before[T any](a, b *Item[T]) bool {
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

// Dequeue removes a request that is served now and counts its tokens for its customer. It reports false if the request
// has left the queue already.
func (q *Queue[T]) Dequeue(item *Item[T]) bool {
	if !q.Remove(item) {
		return false
	}
	c := q.customers[item.Customer]
	c.served += float64(item.Tokens) / float64(c.weight)
	q.raiseFloor()
	return true
}

// Remove takes a request out without service. It reports false if the request has left the queue already.
func (q *Queue[T]) Remove(item *Item[T]) bool {
	if item.gone {
		return false
	}
	item.gone = true
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
	heap.Remove(&q.latest, item.index)
	return true
}

// raiseFloor moves the floor up to the least served waiting customer, and forgets idle customers below it.
func (q *Queue[T]) raiseFloor() {
	least := q.leastServed()
	if least == nil {
		// Without waiting requests there is no contention to remember.
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

// PopExpired removes and returns a request whose Latest has passed, or nil.
func (q *Queue[T]) PopExpired(now time.Time) *Item[T] {
	if len(q.latest) == 0 || !q.latest[0].LatestStart.Before(now) {
		return nil
	}
	item := q.latest[0]
	q.Remove(item)
	return item
}

// TokensAhead estimates the tokens that are served before a new request of the customer. While it waits, each other customer
// is served at most in proportion to its weight, and not more than it has waiting.
func (q *Queue[T]) TokensAhead(name string, weight int64) int64 {
	weight = max(weight, 1)
	own, served := int64(0), q.floor
	if c := q.customers[name]; c != nil {
		own, served = c.tokens, max(c.served, q.floor)
	}
	// finish is the weighted service at which the customer's present requests are done.
	finish := served + float64(own)/float64(weight)
	ahead := float64(own)
	for _, c := range q.customers {
		if c.name == name || len(c.items) == 0 {
			continue
		}
		share := (finish + Quantum - c.served) * float64(c.weight)
		ahead += min(max(share, 0), float64(c.tokens))
	}
	return int64(ahead)
}

// byLatest is a heap of requests by the time at which they must leave the queue.
type byLatest[T any] []*Item[T]

func (h byLatest[T]) Len() int           { return len(h) }
func (h byLatest[T]) Less(i, j int) bool { return h[i].LatestStart.Before(h[j].LatestStart) }
func (h byLatest[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *byLatest[T]) Push(x any) {
	item := x.(*Item[T])
	item.index = len(*h)
	*h = append(*h, item)
}

// Pop implements heap.Interface.
func (h *byLatest[T]) Pop() any {
	old := *h
	item := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return item
}
