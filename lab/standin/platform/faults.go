package platform

import (
	"sync"
	"time"

	"tanagerwood.dev/api/platform"
)

// Faults is the body of POST /faults and the answer of GET /faults. Absent fields keep their value.
type Faults struct {
	// Outage answers every API call with 503 and ends all watches.
	Outage *bool `json:"outage,omitempty"`
	// DelayMS delays every API call, in milliseconds.
	DelayMS *int64 `json:"delayMs,omitempty"`
	// LoseReplies is the number of following writes that take effect and whose connection is then closed without an answer.
	LoseReplies *int `json:"loseReplies,omitempty"`
	// LoseKind limits LoseReplies to one kind of object; empty means all.
	LoseKind *platform.Kind `json:"loseKind,omitempty"`
	// StaleWrites makes reads return objects as they were this many of their own writes ago.
	StaleWrites *int `json:"staleWrites,omitempty"`
}

type faults struct {
	mu      sync.Mutex
	outage  bool
	delay   time.Duration
	lose    int
	kind    platform.Kind
	staleBy int
}

func (f *faults) set(c Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.Outage != nil {
		f.outage = *c.Outage
	}
	if c.DelayMS != nil {
		f.delay = time.Duration(*c.DelayMS) * time.Millisecond
	}
	if c.LoseReplies != nil {
		f.lose = *c.LoseReplies
	}
	if c.LoseKind != nil {
		f.kind = *c.LoseKind
	}
	if c.StaleWrites != nil {
		f.staleBy = *c.StaleWrites
	}
}

func (f *faults) get() Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	delay := f.delay.Milliseconds()
	outage, lose, kind, stale := f.outage, f.lose, f.kind, f.staleBy
	return Faults{Outage: &outage, DelayMS: &delay, LoseReplies: &lose, LoseKind: &kind, StaleWrites: &stale}
}

func (f *faults) down() (outage bool, delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.outage, f.delay
}

func (f *faults) stale() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.staleBy
}

// loseReply reports whether the answer of this write is to be lost, and uses the fault up.
func (f *faults) loseReply(kind platform.Kind) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lose == 0 || (f.kind != "" && f.kind != kind) {
		return false
	}
	f.lose--
	return true
}
