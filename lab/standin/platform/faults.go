package platform

import (
	"sync"
	"time"

	"tanagerwood.dev/api/platform"
)

// Faults is the body of POST /faults and the response body of GET /faults. Absent fields keep their value.
type Faults struct {
	// Outage responds to every API call with 503 and closes all watches.
	Outage *bool `json:"outage,omitempty"`
	// DelayMS delays every API call, in milliseconds.
	DelayMS *int64 `json:"delayMs,omitempty"`
	// LoseReplies is the number of following writes that take effect and whose connection is then closed without a response.
	LoseReplies *int `json:"loseReplies,omitempty"`
	// LoseKind limits LoseReplies to one kind of object; empty means all.
	LoseKind *platform.Kind `json:"loseKind,omitempty"`
	// StaleWrites makes reads return objects as they were this many of their own writes ago.
	StaleWrites *int `json:"staleWrites,omitempty"`
}

type faults struct {
	mu              sync.Mutex
	outage          bool
	delay           time.Duration
	repliesToLose   int
	loseKind        platform.Kind
	staleWriteCount int
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
		f.repliesToLose = *c.LoseReplies
	}
	if c.LoseKind != nil {
		f.loseKind = *c.LoseKind
	}
	if c.StaleWrites != nil {
		f.staleWriteCount = *c.StaleWrites
	}
}

func (f *faults) get() Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	delay := f.delay.Milliseconds()
	outage, lose, kind, stale := f.outage, f.repliesToLose, f.loseKind, f.staleWriteCount
	return Faults{Outage: &outage, DelayMS: &delay, LoseReplies: &lose, LoseKind: &kind, StaleWrites: &stale}
}

func (f *faults) outageAndDelay() (outage bool, delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.outage, f.delay
}

func (f *faults) staleWrites() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.staleWriteCount
}

// loseReply reports whether the response to this write must be lost, and if so, counts it against LoseReplies.
func (f *faults) loseReply(kind platform.Kind) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.repliesToLose == 0 || (f.loseKind != "" && f.loseKind != kind) {
		return false
	}
	f.repliesToLose--
	return true
}
