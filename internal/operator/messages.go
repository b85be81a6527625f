package operator

import (
	"github.com/guavatrack/guavatrack/internal/config"
	"github.com/guavatrack/guavatrack/internal/engine"
	"github.com/guavatrack/guavatrack/internal/member"
	"github.com/guavatrack/guavatrack/internal/strictjson"
	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/pkg/ticket"
)

// Error describes a failed request.
type Error struct {
	Message string `json:"message"`
	// Fields lists the invalid fields of a ticket.
	Fields strictjson.FieldErrors `json:"fields,omitempty"`
}

// errorBody is the JSON body of an error response.
type errorBody struct {
	Error Error `json:"error"`
}

// Applied is the response to a submitted ticket.
type Applied struct {
	config.Accepted
	// CheckedOnly is set if the ticket is valid but was not applied.
	CheckedOnly bool `json:"checkedOnly,omitempty"`
}

// ConfigurationView is the configuration in force on a node.
type ConfigurationView struct {
	Node     fleet.NodeID     `json:"node"`
	Revision config.Revision  `json:"revision"`
	Digest   string           `json:"digest"`
	Snapshot *ticket.Snapshot `json:"snapshot"`
}

// Status is a node's view of the fleet.
type Status struct {
	Node fleet.NodeID `json:"node"`
	fleet.Place
	// NotReady is the reason why callers are not directed to the node; empty if
	// they are.
	NotReady string          `json:"notReady,omitempty"`
	Revision config.Revision `json:"revision"`
	Digest   string          `json:"digest"`
	Members  []member.Info   `json:"members"`
	Servers  []ServerStatus  `json:"servers"`
}

// ServerStatus is a node's view of one engine.
type ServerStatus struct {
	Server fleet.ServerID `json:"server"`
	Pool   fleet.PoolID   `json:"pool"`
	fleet.Place
	Memory   fleet.Bytes `json:"memory"`
	Reserved fleet.Bytes `json:"reserved"`
	// ReportAge is the age of the engine's last report.
	ReportAge fleet.Duration `json:"reportAge"`
	Leaving   bool           `json:"leaving,omitempty"`
	Held      []GrantStatus  `json:"held"`
}

// GrantStatus is the state of one grant of a server.
type GrantStatus struct {
	Item        string           `json:"item"`
	Grant       fleet.GrantID    `json:"grant"`
	Size        fleet.Bytes      `json:"size"`
	State       engine.ItemState `json:"state"`
	Progress    float64          `json:"progress"`
	Running     int              `json:"running"`
	Queued      int              `json:"queued"`
	Draining    bool             `json:"draining,omitempty"`
	Quarantined bool             `json:"quarantined,omitempty"`
}

// ItemStatus is a node's view of one item.
type ItemStatus struct {
	Item       string             `json:"item"`
	Deployment *ticket.Deployment `json:"deployment"`
	Replicas   []engine.Replica   `json:"replicas"`
	// Policy is the result of [Server.Explain].
	Policy any `json:"policy,omitempty"`
}

// LogLevel is the log level: debug, info, warn or error.
type LogLevel struct {
	Level string `json:"level"`
}

// DrainStarted is the response to a drain request. The drain continues after it.
type DrainStarted struct {
	Node     fleet.NodeID `json:"node"`
	Draining bool         `json:"draining"`
}
