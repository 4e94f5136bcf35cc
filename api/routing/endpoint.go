package routing

// Stage is the part of the work that a model engine does.
type Stage string

// Stages of model engines. Endpoints of plain services have none.
const (
	Prefill Stage = "prefill"
	Decode  Stage = "decode"
)

// Endpoint is a back end as the platform lists it.
type Endpoint struct {
	// ID names one start of the endpoint, except that a restarted endpoint may keep its ID; see StartedMS.
	ID      string `json:"id"`
	Service string `json:"service"`
	// Address is IP:PORT.
	Address string `json:"address"`
	Domain  string `json:"domain"`
	Slots   int    `json:"slots"`
	// Leaving endpoints complete their work and get no new one.
	Leaving bool  `json:"leaving"`
	Stage   Stage `json:"stage,omitempty"`
	// StartedMS is the Unix millisecond of the endpoint's start, or zero if it is not told.
	StartedMS int64 `json:"born,omitempty"`
}

// EndpointChange is one change of the platform's list.
type EndpointChange struct {
	ID string
	// Endpoint is nil if the entry is removed or names no endpoint that can be used.
	Endpoint *Endpoint
}

// Instance is a router process as it registers itself.
type Instance struct {
	Name string `json:"name"`
	// Address is the IP:PORT for messages between instances, over TCP and UDP.
	Address string `json:"address"`
	Domain  string `json:"domain"`
	// Incarnation distinguishes the starts of an instance; a later start has a greater one.
	Incarnation uint64 `json:"incarnation"`
	// Capacity is the processor share of the instance in percent of a core, by which work for others is given; zero if unknown.
	Capacity int `json:"capacity,omitempty"`
}
