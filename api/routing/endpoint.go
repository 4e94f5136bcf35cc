package routing

// Stage is the part of inference that a model engine performs.
type Stage string

// Stages of model engines. Endpoints of plain services have none.
const (
	Prefill Stage = "prefill"
	Decode  Stage = "decode"
)

// Endpoint is a back end as it appears in the platform's list.
type Endpoint struct {
	// ID identifies one start of the endpoint, except that a restarted endpoint may keep its ID; see StartedMS.
	ID      string `json:"id"`
	Service string `json:"service"`
	// Address is IP:PORT.
	Address string `json:"address"`
	Domain  string `json:"domain"`
	Slots   int    `json:"slots"`
	// Leaving endpoints complete their requests and receive no new ones.
	Leaving bool  `json:"leaving"`
	Stage   Stage `json:"stage,omitempty"`
	// StartedMS is the endpoint's start time in milliseconds since the Unix epoch, or zero if it is unknown.
	StartedMS int64 `json:"born,omitempty"`
	// ColdMS is for how many more milliseconds the endpoint was cold when its entry was written. ColdRevision is the revision of the entry,
	// or zero if the entry does not say whether the endpoint is cold.
	ColdMS       int64  `json:"coldMs,omitempty"`
	ColdRevision uint64 `json:"coldRevision,omitempty"`
}

// WithoutCold returns the endpoint without ColdMS and ColdRevision, which change with each heartbeat, for comparisons.
func (e Endpoint) WithoutCold() Endpoint {
	e.ColdMS, e.ColdRevision = 0, 0
	return e
}

// EndpointChange is one change in the platform's list of endpoints.
type EndpointChange struct {
	ID string
	// Endpoint is nil if the entry was removed or does not describe a usable endpoint.
	Endpoint *Endpoint
}

// Evacuation is an entry of the platform's list of evacuated domains.
type Evacuation struct {
	Domain string
	// Revision is the revision of the entry.
	Revision uint64
}

// EvacuationChange is one change in the platform's list of evacuated domains.
type EvacuationChange struct {
	Evacuation
	// Ended is set if the entry was removed.
	Ended bool
}

// Instance is a router process as it registers itself.
type Instance struct {
	Name string `json:"name"`
	// Address is the IP:PORT for messages between instances, over TCP and UDP.
	Address string `json:"address"`
	Domain  string `json:"domain"`
	// Incarnation distinguishes the starts of an instance; a later start has a greater one.
	Incarnation uint64 `json:"incarnation"`
	// Capacity is the CPU share of the instance in percent of a core, by which work is distributed among
	// instances; zero if unknown.
	Capacity int `json:"capacity,omitempty"`
}
