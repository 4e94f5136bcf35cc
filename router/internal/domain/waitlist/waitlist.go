// Package waitlist orders requests that wait for a place at an engine. Those that can still be answered on time go first,
// in order of arrival; late ones are served from what the others leave, and only a bounded number of them waits. A long
// queue in order of arrival alone would make everyone late.
package waitlist

import (
	"slices"
	"time"
)

// Entry is a waiting request. Times are since boot.
type Entry struct {
	Tokens int64
	// OnTimeUntil is when the request must leave the list to be answered on time, Latest when it must leave the list at all.
	OnTimeUntil time.Duration
	Latest      time.Duration
	// Notify is called once: when the request may try for a place, or when it has waited for as long as it may.
	Notify func(refused bool)
}

// List is the list. Its user serialises access.
type List struct {
	onTime  []*Entry
	late    []*Entry
	maxLate int
}

// New returns a list on which at most maxLate late requests wait.
func New(maxLate int) *List { return &List{maxLate: maxLate} }

// Len is the number of waiting requests.
func (l *List) Len() int { return len(l.onTime) + len(l.late) }

// Add enters a request. It is late if its time to be on time is over.
func (l *List) Add(e *Entry, now time.Duration) {
	if now > e.OnTimeUntil {
		l.late = append(l.late, e)
		return
	}
	at, _ := slices.BinarySearchFunc(l.onTime, e, func(a, b *Entry) int { return int(a.OnTimeUntil - b.OnTimeUntil) })
	l.onTime = slices.Insert(l.onTime, at, e)
}

// Remove takes a request off the list and reports whether it was on it.
func (l *List) Remove(e *Entry) bool {
	for _, list := range []*[]*Entry{&l.onTime, &l.late} {
		if i := slices.Index(*list, e); i >= 0 {
			*list = slices.Delete(*list, i, i+1)
			return true
		}
	}
	return false
}

// Expire moves requests that can no longer be on time to the late ones, and takes those off the list that have waited for
// as long as they may or are too many. The latter are returned.
func (l *List) Expire(now time.Duration) (refused []*Entry) {
	for len(l.onTime) > 0 && now > l.onTime[0].OnTimeUntil {
		l.late = append(l.late, l.onTime[0])
		l.onTime = l.onTime[1:]
	}
	l.late = slices.DeleteFunc(l.late, func(e *Entry) bool {
		if now < e.Latest {
			return false
		}
		refused = append(refused, e)
		return true
	})
	// The newest late requests have waited least and are told at once.
	for len(l.late) > l.maxLate {
		last := len(l.late) - 1
		refused = append(refused, l.late[last])
		l.late = l.late[:last]
	}
	return refused
}

// Each calls f for each waiting request in the order in which they are served, until f returns false.
func (l *List) Each(f func(*Entry) bool) {
	for _, list := range [][]*Entry{l.onTime, l.late} {
		for _, e := range slices.Clone(list) {
			if !f(e) {
				return
			}
		}
	}
}
