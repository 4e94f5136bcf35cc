package modelpath

import (
	"time"

	"tanagerwood.dev/api/catalogue"
)

// tokenWaitPart is the part of the time to the first-token deadline that may pass while tokens accrue. The rest is for
// the queue of the endpoints; a request that spends all of it on tokens costs a prefill and is late all the same.
const tokenWaitPart = 0.5

// tokenPatience is how long the request may wait for tokens of its customer.
func (r *run) tokenPatience() time.Duration {
	class := r.req.Class
	patience := time.Duration(class.QueuePatienceMS) * time.Millisecond
	if class.Kind == catalogue.ClassBatch || class.FirstTokenMS == 0 {
		return patience
	}
	target := time.Duration(class.FirstTokenMS) * time.Millisecond
	spare := target - r.prefillTime()
	if spare <= 0 {
		spare = target // the prompt is too long for the target on idle endpoints, so the class's patience decides
	}
	return min(patience, time.Duration(tokenWaitPart*float64(spare)))
}

// prefillTime is the time that the prompt takes on an idle prefill endpoint, or 0 if the catalogue does not say.
func (r *run) prefillTime() time.Duration {
	for _, pool := range r.Config.Current().Catalogue.Pools {
		if pool.Role == catalogue.RolePrefill && pool.Model == r.req.Model.Name && pool.PrefillRate > 0 {
			return time.Duration(float64(r.req.PromptTokens) / float64(pool.PrefillRate) * float64(time.Second))
		}
	}
	return 0
}
