package placement

import "time"

// retryNoEndpoint is how soon a new endpoint can have appeared: the instance list is read each second.
const retryNoEndpoint = 2 * time.Second
