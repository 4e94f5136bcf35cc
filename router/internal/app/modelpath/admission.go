package modelpath

import (
	"time"

	"tanagerwood.dev/api/catalogue"
)

// maxAdmissionShare is the share of the time left until the first-token deadline that a request may wait for rate limit tokens.
// The rest is left for queueing at the endpoints: a request that uses all of it up here costs a prefill and still misses its
// deadline.
const maxAdmissionShare = 0.5

// maxAdmissionWait returns how long the request may wait for rate limit tokens of its customer.
func (r *execution) maxAdmissionWait() time.Duration {
	class := r.req.Class
	maxWait := time.Duration(class.MaxQueueWaitMS) * time.Millisecond
	if class.Kind == catalogue.ClassBatch || class.FirstTokenMS == 0 {
		return maxWait
	}
	target := time.Duration(class.FirstTokenMS) * time.Millisecond
	slack := target - r.unloadedPrefillTime()
	if slack <= 0 {
		slack = target // the prompt misses the target even on idle endpoints; use the whole target
	}
	return min(maxWait, time.Duration(maxAdmissionShare*float64(slack)))
}

// unloadedPrefillTime returns the prefill time of the prompt on an idle endpoint, or 0 if the catalogue has no prefill rate.
func (r *execution) unloadedPrefillTime() time.Duration {
	for _, pool := range r.Config.Current().Catalogue.Pools {
		if pool.Role == catalogue.RolePrefill && pool.Model == r.req.Model.Name && pool.PrefillRate > 0 {
			return time.Duration(float64(r.req.PromptTokens) / float64(pool.PrefillRate) * float64(time.Second))
		}
	}
	return 0
}
