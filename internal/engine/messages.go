// Package engine is the client side of the protocol between nodes and engines,
// the backend servers that run language models.
//
// An engine serves OpenAI-compatible HTTP for callers' requests and a small
// administrative API for orders. Orders to load and unload carry the grant under
// which they are sent and its fencing number; fence and role orders carry a
// fencing number only. An engine that checks fencing numbers answers 409 to an
// order whose number is below the highest it has seen; other engines execute
// every order. An order is accepted with 202 and executed asynchronously, so only
// the [Report] shows what is loaded.
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
// Streams consist of server-sent events whose event id is
// "<request id>/<offset>", the offset counting the events from 0. A stream is
// resumed by sending the same request with the same X-Request-Id and the last id
// in Last-Event-ID.
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

// States of an item. An item that is missing from the report is not loaded.
const (
	Loading   ItemState = "loading"
	Ready     ItemState = "ready"
	Unloading ItemState = "unloading"
)

// LoadOrder is the order to load an item under a grant.
type LoadOrder struct {
	Item    fleet.Item          `json:"item"`
	Version fleet.Version       `json:"version"`
	Size    fleet.Bytes         `json:"size"`
	Grant   fleet.GrantID       `json:"grant"`
	Fencing fleet.FencingNumber `json:"fencing"`
	// Boot, if set, makes the engine refuse the order with 409 if its current
	// boot ID differs, that is, if it has been restarted since. Engines that
	// ignore fencing numbers ignore Boot too.
	Boot fleet.BootID `json:"boot,omitempty"`
}

// UnloadOrder is the order to unload an item that was loaded under a grant.
type UnloadOrder struct {
	Item    fleet.Item          `json:"item"`
	Grant   fleet.GrantID       `json:"grant"`
	Fencing fleet.FencingNumber `json:"fencing"`
}

// FenceOrder is the order to raise the engine's fencing number; it changes
// nothing else.
type FenceOrder struct {
	Fencing fleet.FencingNumber `json:"fencing"`
}

// Role is the phase of inference that an engine is used for.
type Role string

// Roles of an engine.
const (
	RoleMixed   Role = "mixed"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// RoleOrder is the order to change the role of an engine.
type RoleOrder struct {
	Role    Role                `json:"role"`
	Fencing fleet.FencingNumber `json:"fencing"`
}

// CancelOrder is the order to stop a request that is queued or running.
type CancelOrder struct {
	Request fleet.RequestID `json:"request"`
}

// HeldItem is one item that a report lists as loading, ready or unloading.
type HeldItem struct {
	Item    fleet.Item    `json:"item"`
	Version fleet.Version `json:"version"`
	Size    fleet.Bytes   `json:"size"`
	Grant   fleet.GrantID `json:"grant"`
	State   ItemState     `json:"state"`
	// Progress is the loaded fraction, from 0 to 1.
	Progress float64 `json:"progress"`
	// Running and Queued are the numbers of requests for the item.
	Running int `json:"running"`
	Queued  int `json:"queued"`
}

// CacheTier is the storage tier in which a checkpoint is cached on a VM.
type CacheTier string

// Tiers, fastest first. A checkpoint that is in neither has to be fetched from
// remote storage.
const (
	HostMemory CacheTier = "hostMemory"
	LocalDisk  CacheTier = "localDisk"
)

// Report is an engine's status report. It may be out of date by a few seconds.
type Report struct {
	Server fleet.ServerID `json:"server"`
	Boot   fleet.BootID   `json:"boot"`
	// Fencing is the highest fencing number that the engine has seen, 0 if it
	// ignores fencing numbers.
	Fencing fleet.FencingNumber `json:"fencing"`
	AsOf    time.Time           `json:"asOf"`
	Memory  fleet.Bytes         `json:"memory"`
	Held    []HeldItem          `json:"held"`
	// Checkpoints maps item names to the tier that caches their checkpoint on
	// the VM.
	Checkpoints map[string]CacheTier `json:"checkpoints,omitempty"`
	Running     int                  `json:"running"`
	Queued      int                  `json:"queued"`
	// TokensPerSecond is the recent rate of token generation.
	TokensPerSecond float64 `json:"tokensPerSecond"`
}

// CacheEvent is one change of the prefix cache. A gap in the sequence numbers
// means that events were lost.
type CacheEvent struct {
	Sequence uint64     `json:"sequence"`
	Item     fleet.Item `json:"item"`
	Prefix   uint64     `json:"prefix"`
	Added    bool       `json:"added"`
}

// CacheOrder identifies the cache entry of a prompt prefix to be read.
type CacheOrder struct {
	Item   fleet.Item `json:"item"`
	Prefix uint64     `json:"prefix"`
}

// CacheBlock is the cache entry of a prompt prefix with its content.
type CacheBlock struct {
	Item   fleet.Item `json:"item"`
	Prefix uint64     `json:"prefix"`
	Block  []byte     `json:"block"`
}
