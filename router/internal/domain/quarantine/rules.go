package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/samber/lo"
)

// blockRule blocks the requests of a service that hold all of the traits.
type blockRule struct {
	service string
	traits  []string
	until   time.Duration
	// trialAt is when a trial of an unproven rule is due. A rule is unproven while no answer has shown that there are requests without
	// the traits: engines may crash whatever a request holds.
	trialAt  time.Duration
	unproven bool
}

// retryAt is when callers of blocked requests should come back.
func (v *blockRule) retryAt() time.Duration {
	if v.unproven {
		return v.trialAt
	}
	return v.until
}

// deriveRules derives the rules from the records.
func deriveRules(crashes map[crashID]record) (out []blockRule) {
	byService := map[string][]record{}
	for _, r := range crashes {
		byService[r.service] = append(byService[r.service], r)
	}
	for service, records := range byService {
		repeated, blocked := requestRules(service, records)
		out = append(out, repeated...)
		out = append(out, partRules(service, withoutExplained(records, blocked))...)
	}
	return out
}

// requestRules derives the rules that block single requests, which have crashed endpoints each time they were sent, and returns their
// fingerprints. Nobody but the sender of such a request is refused, so that other incidents between its own do not raise the
// threshold. Several endpoints that crash at almost the same time are weaker evidence: they may have lost power while each had the same
// request. Such a rule is never proven, so that trials follow.
func requestRules(service string, records []record) (out []blockRule, blocked map[string]bool) {
	identified := make([]record, 0, len(records))
	for _, r := range records {
		if f := r.fingerprint(); f != "" {
			r.traits = []string{f}
			identified = append(identified, r)
		}
	}
	h := newHistory(identified, crashSpacing)
	blocked = map[string]bool{}
	for _, f := range slices.Sorted(maps.Keys(h.incidents)) {
		separate := len(h.incidents[f]) >= crashThreshold
		if separate || h.crashedEndpoints(f) >= crashThreshold {
			blocked[f] = true
			out = append(out, h.blockRule(service, f, separate && h.isProven(f)))
		}
	}
	return out, blocked
}

// withoutExplained returns the records without those of requests that crashed along with a blocked one, at the same endpoint and time.
func withoutExplained(records []record, blocked map[string]bool) []record {
	isBlocked := func(r record, _ int) bool { return blocked[r.fingerprint()] }
	culprits := lo.Filter(records, isBlocked)
	return lo.Reject(records, func(r record, n int) bool {
		along := func(c record) bool { return c.endpoint == r.endpoint && (c.at-r.at).Abs() < crashSpacing }
		return !isBlocked(r, n) && slices.ContainsFunc(culprits, along)
	})
}

// partRules derives the rules that block parts of prompts.
func partRules(service string, records []record) (out []blockRule) {
	for i, r := range records {
		records[i].request = r.fingerprint()
		records[i].traits = slices.DeleteFunc(slices.Clone(r.traits), isFingerprint)
	}
	h := newHistory(records, crashSpacing)
	causes := h.causes()
	for _, part := range causes {
		out = append(out, h.blockRule(service, part, h.isProven(part)))
	}
	if len(causes) == 0 {
		out = append(out, seriesRules(service, records)...)
	}
	return out
}

// seriesRules derives rules from crashes in quick succession, which newHistory takes for few incidents: requests that all crash engines
// may end most of them within that time, and again as soon as they are back. Such rules are never proven.
func seriesRules(service string, records []record) (out []blockRule) {
	h := newHistory(records, seriesSpacing)
	for _, part := range h.causes() {
		if h.crashedEndpoints(part) >= seriesThreshold {
			out = append(out, h.blockRule(service, part, false))
		}
	}
	return out
}

// history holds the crashes of a service. Crashes within some spacing are one incident.
type history struct {
	records []record
	// starts holds the time of each incident, in ascending order.
	starts []time.Duration
	// occurrences holds the indexes of the records with each trait, incidents those of the incidents, in ascending order.
	occurrences, incidents map[string][]int
}

func newHistory(records []record, spacing time.Duration) *history {
	slices.SortFunc(records, func(a, b record) int { return cmp.Compare(a.at, b.at) })
	h := &history{records: records, occurrences: map[string][]int{}, incidents: map[string][]int{}}
	for n, r := range records {
		if len(h.starts) == 0 || r.at-h.starts[len(h.starts)-1] >= spacing {
			h.starts = append(h.starts, r.at)
		}
		incident := len(h.starts) - 1
		for _, p := range r.traits {
			h.occurrences[p] = append(h.occurrences[p], n)
			if known := h.incidents[p]; len(known) == 0 || known[len(known)-1] != incident {
				h.incidents[p] = append(known, incident)
			}
		}
	}
	return h
}

// causes returns the parts that crash engines. A candidate is none if those before it explain its incidents.
func (h *history) causes() (causes []string) {
	candidates := h.candidates()
	var explained []int
	for _, part := range candidates {
		if countMissing(explained, h.incidents[part]) >= crashThreshold && h.isCause(part, candidates) {
			causes = append(causes, part)
			explained = append(explained, h.incidents[part]...)
		}
	}
	return causes
}

// crashedEndpoints returns the number of endpoints that have crashed with a trait.
func (h *history) crashedEndpoints(trait string) int {
	endpoints := map[string]bool{}
	for _, n := range h.occurrences[trait] {
		endpoints[h.records[n].endpoint] = true
	}
	return len(endpoints)
}

// candidates returns the parts with crashThreshold incidents, those of most endpoints and then of fewest requests first. Parts are left out
// if a part that occurs in fewer requests explains their incidents: engines that crash take other requests along, which share parts with
// the one that crashed them.
func (h *history) candidates() []string {
	var frequent, candidates []string
	for part, incidents := range h.incidents {
		if len(incidents) >= crashThreshold && h.hasSeveralRequests(part) {
			frequent = append(frequent, part)
		}
	}
	for _, part := range frequent {
		if !slices.ContainsFunc(frequent, func(other string) bool { return h.explains(other, part) }) {
			candidates = append(candidates, part)
		}
	}
	slices.SortFunc(candidates, func(a, b string) int {
		return cmp.Or(cmp.Compare(h.crashedEndpoints(b), h.crashedEndpoints(a)), cmp.Compare(len(h.occurrences[a]), len(h.occurrences[b])), cmp.Compare(a, b))
	})
	return candidates
}

// hasSeveralRequests reports whether crashes with a part came from more than one request. Those by a single one say nothing about the part.
func (h *history) hasSeveralRequests(part string) bool {
	first := h.records[h.occurrences[part][0]].request
	return first == "" || slices.ContainsFunc(h.occurrences[part], func(n int) bool { return h.records[n].request != first })
}

// explains reports whether a part occurs in fewer records than another one, and is absent from fewer than crashThreshold of its incidents.
// Its records need not be some of the other's: answers may have cleared the other part from some of them.
func (h *history) explains(part, other string) bool {
	return len(h.occurrences[part]) < len(h.occurrences[other]) && countMissing(h.incidents[part], h.incidents[other]) < crashThreshold
}

// countMissing returns the number of wanted values that are not in all.
func countMissing(all, wanted []int) (missing int) {
	for _, v := range wanted {
		if !slices.Contains(all, v) {
			missing++
		}
	}
	return missing
}

// isCause reports whether a candidate crashes engines. Each incident between its own that no other candidate explains raises the threshold
// by one: while engines crash for other reasons, a part may occur in several incidents by chance.
func (h *history) isCause(part string, candidates []string) bool {
	own := h.incidents[part]
	unexplained := 0
	for incident := own[0]; incident <= own[len(own)-1]; incident++ {
		explained := slices.ContainsFunc(candidates[:min(len(candidates), maxCauses)], func(s string) bool { return slices.Contains(h.incidents[s], incident) })
		if !slices.Contains(own, incident) && !explained {
			unexplained++
		}
	}
	return len(own) >= crashThreshold+unexplained
}

// blockRule returns the rule that blocks a trait.
func (h *history) blockRule(service, trait string, proven bool) blockRule {
	own := h.incidents[trait]
	last := h.starts[own[len(own)-1]]
	v := blockRule{service: service, traits: h.commonTraits(trait), until: last + quarantineTime, unproven: !proven}
	if v.unproven {
		v.trialAt = last + h.trialDelay(trait)
		v.until = min(v.until, v.trialAt+trialPeriod)
	}
	return v
}

// isProven reports whether an answer without the trait has begun since one of its crashes.
func (h *history) isProven(trait string) bool {
	return slices.ContainsFunc(h.occurrences[trait], func(n int) bool { return slices.Contains(h.records[n].others, trait) })
}

// trialDelay is the time from the last crash with an unproven trait to the next trial. It grows with each trial that has failed: with each
// crash after the threshold that was no part of the same series of crashes.
func (h *history) trialDelay(trait string) time.Duration {
	delay := minTrialDelay
	own := h.incidents[trait]
	for n := crashThreshold; n < len(own) && delay < quarantineTime; n++ {
		if h.starts[own[n]]-h.starts[own[n-1]] >= minTrialDelay/2 {
			delay *= trialDelayFactor
		}
	}
	return min(delay, quarantineTime)
}

// commonTraits returns the traits that all crashes with a trait have in common.
func (h *history) commonTraits(trait string) []string {
	common := h.records[h.occurrences[trait][0]].traits
	for _, n := range h.occurrences[trait][1:] {
		common = intersection(common, h.records[n].traits)
	}
	return slices.Sorted(slices.Values(common))
}
