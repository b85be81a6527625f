// Package engine speaks to engines: backend servers that run language models.
//
// An engine serves OpenAI-compatible HTTP for callers' requests and a small
// administrative API for orders. Orders carry the grant under which they are
// given and its fencing number. An engine that checks fencing numbers answers
// 409 to an order whose number is below the highest it has seen; others carry
// out any order. An order is accepted with 202 and carried out later, so what
// is loaded is known from the [Report] alone.
//
//	POST /admin/load       LoadOrder    load a model or an adapter
//	POST /admin/unload     UnloadOrder  unload it
//	POST /admin/fence      FenceOrder   raise the fencing number only
//	POST /admin/role       RoleOrder    change what the engine is used for
//	POST /admin/cancel     CancelOrder  stop a request
//	POST /admin/kvExport   CacheOrder   read the cache of a prompt prefix
//	POST /admin/kvImport   CacheBlock   write it
//	GET  /admin/report     Report       what is loaded and how busy it is
//	GET  /admin/events?after=N  []CacheEvent  changes of the prefix cache
//	GET  /admin/ping       204 at once, however busy the engine is
//
// Streams are server-sent events whose event id is "<request id>/<offset>", the
// offset counting the events from 0. A stream is resumed by sending the same
// request with the same X-Request-Id and the last id in Last-Event-ID.
package engine

import (
	"time"

	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Names of HTTP headers between nodes and engines.
const (
	RequestIDHeader   = "X-Request-Id"
	PriorityHeader    = "X-Priority"
	DeadlineHeader    = "X-Deadline-Ms"
	LastEventIDHeader = "Last-Event-Id"
)

// ItemState is the state of an item on an engine.
type ItemState string

// States of an item. An item that is not in the report is absent.
const (
	Loading   ItemState = "loading"
	Ready     ItemState = "ready"
	Unloading ItemState = "unloading"
)

// LoadOrder tells an engine to load an item under a grant.
type LoadOrder struct {
	Item    fleet.Item          `json:"item"`
	Version fleet.Version       `json:"version"`
	Size    fleet.Bytes         `json:"size"`
	Grant   fleet.GrantID       `json:"grant"`
	Fencing fleet.FencingNumber `json:"fencing"`
	// Boot, when set, makes the engine refuse the order with 409 if it has
	// been restarted since. Engines that ignore fencing ignore it as well.
	Boot fleet.BootID `json:"boot,omitempty"`
}

// UnloadOrder tells an engine to unload what was loaded under a grant.
type UnloadOrder struct {
	Item    fleet.Item          `json:"item"`
	Grant   fleet.GrantID       `json:"grant"`
	Fencing fleet.FencingNumber `json:"fencing"`
}

// FenceOrder raises the engine's fencing number and changes nothing else.
type FenceOrder struct {
	Fencing fleet.FencingNumber `json:"fencing"`
}

// Role is what an engine is used for.
type Role string

// Roles of an engine.
const (
	RoleMixed   Role = "mixed"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// RoleOrder changes the role of an engine.
type RoleOrder struct {
	Role    Role                `json:"role"`
	Fencing fleet.FencingNumber `json:"fencing"`
}

// CancelOrder stops a request that is queued or running.
type CancelOrder struct {
	Request fleet.RequestID `json:"request"`
}

// HeldItem is one item in a report.
type HeldItem struct {
	Item    fleet.Item    `json:"item"`
	Version fleet.Version `json:"version"`
	Size    fleet.Bytes   `json:"size"`
	Grant   fleet.GrantID `json:"grant"`
	State   ItemState     `json:"state"`
	// Progress is the loaded fraction, from 0 to 1.
	Progress float64 `json:"progress"`
	// Running and Queued count the requests for the item.
	Running int `json:"running"`
	Queued  int `json:"queued"`
}

// CacheTier says where the bytes of a checkpoint are.
type CacheTier string

// Tiers, fastest first. A checkpoint in neither is remote.
const (
	HostMemory CacheTier = "hostMemory"
	LocalDisk  CacheTier = "localDisk"
)

// Report is what an engine tells of itself. It may be behind by a few seconds.
type Report struct {
	Server fleet.ServerID `json:"server"`
	Boot   fleet.BootID   `json:"boot"`
	// Fencing is the highest fencing number seen, 0 if it ignores them.
	Fencing fleet.FencingNumber `json:"fencing"`
	AsOf    time.Time           `json:"asOf"`
	Memory  fleet.Bytes         `json:"memory"`
	Held    []HeldItem          `json:"held"`
	// Checkpoints says which checkpoints are cached on the VM, by item name.
	Checkpoints map[string]CacheTier `json:"checkpoints,omitempty"`
	Running     int                  `json:"running"`
	Queued      int                  `json:"queued"`
	// TokensPerSecond is the recent rate of generated tokens.
	TokensPerSecond float64 `json:"tokensPerSecond"`
}

// CacheEvent is one change of the prefix cache. Sequence numbers have gaps
// where events were lost.
type CacheEvent struct {
	Sequence uint64     `json:"sequence"`
	Item     fleet.Item `json:"item"`
	Prefix   uint64     `json:"prefix"`
	Added    bool       `json:"added"`
}

// CacheOrder names the cache entry of a prompt prefix.
type CacheOrder struct {
	Item   fleet.Item `json:"item"`
	Prefix uint64     `json:"prefix"`
}

// CacheBlock is the content of a cache entry.
type CacheBlock struct {
	Item   fleet.Item `json:"item"`
	Prefix uint64     `json:"prefix"`
	Block  []byte     `json:"block"`
}
