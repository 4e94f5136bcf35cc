// Package platform holds the wire types of the platform's object API.
//
//	GET    /api/v1/{kind}/{name}                 Object; ETag is the version; If-None-Match gives 304
//	GET    /api/v1/{kind}                        List
//	GET    /api/v1/{kind}?watch=1&version=V      newline-delimited WatchEvent; counts as one call while it is open
//	PUT    /api/v1/{kind}/{name}                 with If-Match: VERSION (replace) or If-None-Match: * (create); 412 on conflict
//	DELETE /api/v1/{kind}/{name}                 with If-Match: VERSION; 412 on conflict
//	GET    /api/v1/instances                     InstanceList, eventually consistent; ETag and If-None-Match as above
//
// All calls need a bearer token. Status 429 means that the call rate is exhausted, 503 an outage.
package platform

import "encoding/json"

// MaxValueBytes is the size of the largest object that the platform accepts.
const MaxValueBytes = 1 << 20

// Kind is a type of object.
type Kind string

// Kinds that the router keeps in the platform.
const (
	KindCatalogue       Kind = "catalogue"
	KindCatalogueStatus Kind = "cataloguestatus"
	KindRoster          Kind = "roster"
	KindClaim           Kind = "claim"
	KindOrderLease      Kind = "orderlease"
)

// SingletonName is the name of an object that is the only one of its kind.
const SingletonName = "main"

// Object is a versioned value. All objects share one increasing sequence of versions, so a greater version is a later write.
type Object struct {
	Kind    Kind            `json:"kind"`
	Name    string          `json:"name"`
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value"`
}

// List is the response to a list call.
type List struct {
	Version uint64   `json:"version"`
	Objects []Object `json:"objects"`
}

// WatchType is the type of a watch event.
type WatchType string

// Types of watch events. A bookmark carries only a version.
const (
	WatchPut      WatchType = "put"
	WatchDelete   WatchType = "delete"
	WatchBookmark WatchType = "bookmark"
)

// WatchEvent is one line of the response to a watch call.
type WatchEvent struct {
	Type   WatchType `json:"type"`
	Object Object    `json:"object"`
}

// InstanceState is the state of an instance or endpoint according to the platform.
type InstanceState string

// States of an instance.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// InstanceRole is the kind of process that an instance runs.
type InstanceRole string

// Roles of instances.
const (
	RoleRouter  InstanceRole = "router"
	RolePrefill InstanceRole = "prefill"
	RoleDecode  InstanceRole = "decode"
	RoleService InstanceRole = "service"
)

// Instance is one entry of the list of live and leaving instances, which lags behind their real state.
type Instance struct {
	Name string       `json:"name"`
	Role InstanceRole `json:"role"`
	Pool string       `json:"pool,omitempty"`
	// URL is the base URL of an endpoint, or the URL of the peer port of a router.
	URL    string        `json:"url"`
	Domain string        `json:"domain"`
	Region string        `json:"region"`
	State  InstanceState `json:"state"`
}

// InstanceList is the response to GET /api/v1/instances.
type InstanceList struct {
	Instances []Instance `json:"instances"`
}

// Problem is the body of an error response.
type Problem struct {
	Message string `json:"message"`
	// Version is the current version of the object, on a conflict.
	Version uint64 `json:"version,omitempty"`
}
