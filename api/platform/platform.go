// Package platform holds the wire types of the platform's object API.
//
//	GET    /api/v1/{kind}/{name}                 Object; ETag is the version; If-None-Match gives 304
//	GET    /api/v1/{kind}                        List
//	GET    /api/v1/{kind}?watch=1&version=V      newline-delimited WatchEvent; counts as one call while it waits
//	PUT    /api/v1/{kind}/{name}                 with If-Match: VERSION (replace) or If-None-Match: * (create); 412 on conflict
//	DELETE /api/v1/{kind}/{name}                 with If-Match: VERSION; 412 on conflict
//	GET    /api/v1/instances                     InstanceList, lagging; ETag and If-None-Match as above
//
// All calls need a bearer token. 429 means the call rate is used up, 503 an outage.
package platform

import "encoding/json"

// MaxValueBytes is the largest object the platform takes.
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

// SingletonName is the name of objects of which there is one.
const SingletonName = "main"

// Object is a versioned value. Versions grow over all objects together, so a greater version is a later write.
type Object struct {
	Kind    Kind            `json:"kind"`
	Name    string          `json:"name"`
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value"`
}

// List is the answer to a list call.
type List struct {
	Version uint64   `json:"version"`
	Objects []Object `json:"objects"`
}

// WatchType says what a watch event tells.
type WatchType string

// Types of watch events. A bookmark only carries a version.
const (
	WatchPut      WatchType = "put"
	WatchDelete   WatchType = "delete"
	WatchBookmark WatchType = "bookmark"
)

// WatchEvent is one line of a watch.
type WatchEvent struct {
	Type   WatchType `json:"type"`
	Object Object    `json:"object"`
}

// InstanceState is the platform's view of an instance or endpoint.
type InstanceState string

// States of an instance.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// InstanceRole says what runs there.
type InstanceRole string

// Roles of instances.
const (
	RoleRouter  InstanceRole = "router"
	RolePrefill InstanceRole = "prefill"
	RoleDecode  InstanceRole = "decode"
	RoleService InstanceRole = "service"
)

// Instance is one entry of the lagging list of live and leaving instances.
type Instance struct {
	Name string       `json:"name"`
	Role InstanceRole `json:"role"`
	Pool string       `json:"pool,omitempty"`
	// URL is the base address of an endpoint, or the peer address of a router.
	URL    string        `json:"url"`
	Domain string        `json:"domain"`
	Region string        `json:"region"`
	State  InstanceState `json:"state"`
}

// InstanceList is the answer of GET /api/v1/instances.
type InstanceList struct {
	Instances []Instance `json:"instances"`
}

// Problem is the body of an error answer.
type Problem struct {
	Message string `json:"message"`
	// Version is the present version on a conflict.
	Version uint64 `json:"version,omitempty"`
}
