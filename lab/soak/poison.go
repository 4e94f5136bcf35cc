package soak

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"sync"
	"time"

	"tanagerwood.dev/platform/standin"
)

const (
	// poisonPartID is the part of prompts that crashes engines.
	poisonPartID = "dead"
	// poisonPlanShare is the share of the plans with such a part, and minPoisonRequests and maxPoisonRequests bound the share of the
	// streams that have it. One in densePoisonPlans of these plans has it in minDensePoisonRequests of the streams or more.
	poisonPlanShare                      = 0.4
	minPoisonRequests, maxPoisonRequests = 0.03, 0.2
	densePoisonPlans                     = 4
	minDensePoisonRequests               = 0.8
	// minSoundStreams is the number of streams from which their share of success is judged.
	minSoundStreams = 20
)

// hasPoisonPart reports whether the headers are those of a stream with the poison part.
func hasPoisonPart(header http.Header) bool { return standin.HasPart(header, poisonPartID) }

// poisonPart is a part of prompts that crashes each decode engine that begins to answer one, while it is in play.
type poisonPart struct {
	crasher

	mu sync.Mutex
	// share is the share of the streams that have the part; zero while it is not in play.
	share float64
}

// play has callers send prompts with the part for the time of the action.
func (p *poisonPart) play(a Action) {
	p.setShare(poisonShare(a.Variant))
	time.Sleep(a.Duration)
	p.setShare(0)
}

// poisonShare returns the share of the streams with the part.
func poisonShare(variant int) float64 {
	least, most := minPoisonRequests, maxPoisonRequests
	if variant%densePoisonPlans == 1 {
		least, most = minDensePoisonRequests, 1
	}
	return least + float64(variant)/(1<<16)*(most-least)
}

func (p *poisonPart) setShare(share float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.share = share
}

// promptParts returns the parts of the prompt of a stream, and whether the poison part is among them. Prompts share their first part and
// one of a few others, whether they have the poison part or not.
func (p *poisonPart) promptParts(id string) (parts []string, poison bool) {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // a hash takes all
	n := h.Sum64()
	p.mu.Lock()
	poison = float64(n%1000)/1000 < p.share
	p.mu.Unlock()
	parts = []string{"sys:200", fmt.Sprintf("doc%d:50", n/1000%5)}
	if poison {
		parts = append(parts, poisonPartID+":70")
	}
	return append(parts, id+":50"), poison
}

// checkPoisonRequests checks that instances without a fault send no more requests with the poison part than the bound once it is known.
func (e *execution) checkPoisonRequests() {
	if len(e.poison.crashes) < e.bounds.LearningCrashes {
		return
	}
	if late := e.arrivedLate(e.poison, e.bounds.LearningCrashes); len(late) > e.bounds.PoisonRequests {
		e.add("poison prompts", late[e.bounds.PoisonRequests].ID, "%d requests with the part that has crashed %d engines reached servers later than %v after the fifth crash",
			len(late), len(e.poison.crashes), e.bounds.LearningTime)
	}
}

// checkSoundStreams checks that streams without the poison part begin about as often as before the first crash.
func (e *execution) checkSoundStreams() {
	crashes := e.poison.crashes
	if len(crashes) == 0 {
		return
	}
	known := crashes[min(len(crashes), e.bounds.LearningCrashes)-1].Add(e.bounds.SoundTime)
	var before, after struct{ sent, begun float64 }
	for _, s := range e.sent {
		otherFault := func(v interval) bool { return !v.planned && v.scope != poisonScope || v.scope == evacuationScope }
		if !s.kind.stream() || s.poison || !s.canceledAt.IsZero() || e.faults.overlaps(s.began.Add(-e.bounds.Stable), s.done, otherFault) {
			continue
		}
		c := &before
		if s.began.After(known) {
			c = &after
		} else if s.began.After(crashes[0]) {
			continue
		}
		c.sent++
		if s.response.Status == http.StatusOK {
			c.begun++
		}
	}
	if before.sent >= minSoundStreams && after.sent >= minSoundStreams && after.begun/after.sent < e.bounds.SoundShare*before.begun/before.sent {
		e.add("sound prompts", "", "%.0f of %.0f streams without the poison part began after it was known, %.0f of %.0f before", after.begun, after.sent, before.begun, before.sent)
	}
}
