package fleet

// ModelID names a base model, for example "hop-advisor".
type ModelID string

// AdapterID names an adapter within its base model.
type AdapterID string

// Version names one build of a model's weights.
type Version string

// ServerID names a backend server. It is the server's name in the VM list.
type ServerID string

// NodeID names one run of a node process. A restarted process has a new id.
type NodeID string

// Region names a group of failure domains that are joined by fast links.
type Region string

// FailureDomain names a group of VMs that may be lost together.
type FailureDomain string

// CallerID names an authenticated caller.
type CallerID string

// OrganisationID names an organisation: a customer whose callers share keys, a priority
// and a quota.
type OrganisationID string

// RequestID identifies one request through all of its attempts.
type RequestID string

// IdempotencyKey is the name that a caller chooses for a call that must run at
// most once. It is unique within one [CallerID] only.
type IdempotencyKey string

// PoolID names a set of backend servers of one kind.
type PoolID string

// ServiceID names a plain service.
type ServiceID string

// GrantID identifies one recorded right to hold an item on a backend server.
type GrantID string

// FencingNumber orders the grants of one backend server. An engine that checks
// fencing numbers refuses an order whose number is lower than one that it has
// already received.
type FencingNumber uint64

// BootID identifies one run of a backend server's process. Loaded items and
// orders of one run do not carry over to the next.
type BootID string

// SoftwareVersion is the version of the software that a backend server runs; empty if
// the server does not state it. Versions have no order. A stream that was begun by one
// version must not be continued by another one. It is unrelated to the version of the
// weights of a model.
type SoftwareVersion string

// TicketNumber orders configuration changes. The highest accepted number wins
// for each object that it touches.
type TicketNumber uint64

// Place is the region and failure domain that a process runs in.
type Place struct {
	Region        Region        `json:"region"`
	FailureDomain FailureDomain `json:"failureDomain"`
}
