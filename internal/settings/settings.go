// Package settings reads and checks the settings of a node.
//
// Settings are one JSON file. It holds what differs between VMs and what a node
// needs before it can read the table: its region and failure domain, its
// addresses and keys, and the addresses of the platform's services. What is
// served and how is configured by tickets instead. The whole file is checked
// before anything starts, and every mistake is reported with its path.
package settings

import "github.com/guavatrack/guavatrack/pkg/fleet"

// Settings are the settings of one node.
type Settings struct {
	Node      Node      `json:"node"`
	Callers   Callers   `json:"callers"`
	Operators Operators `json:"operators"`
	Peers     Peers     `json:"peers"`
	// AllowPlainText permits endpoints without TLS. All addresses must then be
	// loopback addresses.
	AllowPlainText bool        `json:"allowPlainText"`
	Table          Table       `json:"table"`
	VMList         VMList      `json:"vmList"`
	WeightStore    WeightStore `json:"weightStore"`
	Log            Log         `json:"log"`
	Drain          Drain       `json:"drain"`
	// Platform is set if the node runs on a platform that lists the backend
	// servers and stores the manifest. Table, VMList and Operators are then
	// unused, and all endpoints are plain text.
	Platform *Platform `json:"platform,omitempty"`
}

// Platform holds the settings for the platform that a node runs on.
type Platform struct {
	// Store is the host and port of the platform's store.
	Store string `json:"store"`
	// Readiness, Lookup and Metrics are the addresses to listen on for the
	// platform's readiness check, for callers that look up a node's address, and
	// for metrics.
	Readiness string `json:"readiness"`
	Lookup    string `json:"lookup"`
	Metrics   string `json:"metrics"`
	// Forward is the address to listen on for requests that other nodes pass on. If it is
	// empty, the node takes none and passes none on.
	Forward string `json:"forward,omitempty"`
	// Regions maps the failure domains to regions.
	Regions map[fleet.FailureDomain]fleet.Region `json:"regions"`
	// KeepFor is how long callers may cache a look-up answer.
	KeepFor fleet.Duration `json:"keepFor"`
	// Grace is the time between the platform's request to stop and the kill of
	// the process.
	Grace fleet.Duration `json:"grace"`
	// Retries limits the retries of requests over all nodes.
	Retries Retries `json:"retries"`
	// HandOver is the minimum time between orders to an engine from two different
	// nodes.
	HandOver fleet.Duration `json:"handOver"`
	// Memory and Descriptors limit the memory and the file descriptors of the
	// process.
	Memory      fleet.Bytes `json:"memory"`
	Descriptors int         `json:"descriptors"`
	// Cores is the process's limit of processor time, in seconds per second; 0 if
	// unknown. Nodes with more cores are preferred as scheduler.
	Cores float64 `json:"cores,omitempty"`
	// ServerPace says whether the pace of servers counts when one is chosen, and whether a
	// server that has started or recovered gets few requests at first: adaptive, off, or
	// empty. If it is empty, that depends on the manifest and the servers.
	ServerPace string `json:"serverPace,omitempty"`
	// ReadServerPace has requests with a close objective ask the health path of their server
	// how long work takes there before they are sent, where servers report that. Each of
	// them takes a connection.
	ReadServerPace bool `json:"readServerPace,omitempty"`
	// Limits bound what callers and other nodes may make the node hold.
	Limits Limits `json:"limits,omitzero"`
}

// Values of [Platform.ServerPace].
const (
	ServerPaceAdaptive = "adaptive"
	ServerPaceOff      = "off"
)

// Retries limits the attempts beyond the first of each request, for each pool
// over all nodes.
type Retries struct {
	// Ratio is the number of retries per request. Slack is the number of retries
	// permitted on top in any window.
	Ratio float64 `json:"ratio"`
	Slack float64 `json:"slack"`
}

// Node holds the name and location of the node.
type Node struct {
	// Name is the VM's name on a platform.
	Name string `json:"name,omitempty"`
	fleet.Place
	// RegionLink is the capacity of the link between this region and the others,
	// per second.
	RegionLink fleet.Bytes `json:"regionLink"`
}

// Endpoint is one listening address.
type Endpoint struct {
	// Listen is the host and port to listen on. Port 0 selects a free port.
	Listen string `json:"listen"`
	// Advertise is the address announced to callers or nodes, if it differs from
	// Listen.
	Advertise string `json:"advertise,omitempty"`
	// Certificate and Key are PEM files. They are reloaded when they change.
	Certificate string `json:"certificate,omitempty"`
	Key         string `json:"key,omitempty"`
}

// Callers is the endpoint for callers.
type Callers struct {
	Endpoint
	// Keys is a JSON file {"callerName": "sha256 of the key in hex"}. Without
	// it every caller is accepted, which AllowPlainText must permit.
	Keys string `json:"keys,omitempty"`
	// MaxBody is the maximum size of a request body.
	MaxBody fleet.Bytes `json:"maxBody"`
}

// Operators is the endpoint for operators.
type Operators struct {
	Endpoint
	// Tokens is a JSON file {"operatorName": "sha256 of the token in hex"}.
	Tokens string `json:"tokens,omitempty"`
	// ClientCA is a PEM file with a certificate authority. A client certificate
	// signed by it authenticates the operator named by its common name.
	ClientCA string `json:"clientCA,omitempty"`
}

// Peers is the endpoint for other nodes.
type Peers struct {
	Endpoint
	// CA is a PEM file with the certificate authority that signs the
	// certificates of all nodes.
	CA string `json:"ca,omitempty"`
}

// Table holds the connection settings of the table service.
type Table struct {
	Endpoint string `json:"endpoint"`
	Name     string `json:"name"`
	// SigningRegion is the region name that requests are signed for.
	SigningRegion string `json:"signingRegion"`
	// Credentials is a JSON file {"accessKeyId": …, "secretAccessKey": …}.
	Credentials string         `json:"credentials,omitempty"`
	Timeout     fleet.Duration `json:"timeout"`
	// WritesPerSecond and ReadsPerSecond are this node's share of the service's
	// throughput.
	WritesPerSecond int `json:"writesPerSecond"`
	ReadsPerSecond  int `json:"readsPerSecond"`
}

// VMList holds the URL of the platform's list of VMs and the interval of its
// polls.
type VMList struct {
	URL   string         `json:"url"`
	Every fleet.Duration `json:"every"`
}

// WeightStore holds the limits of the checkpoint store for the whole fleet.
type WeightStore struct {
	// Region is the region of the store. Empty means that it is equally near to
	// all regions.
	Region           fleet.Region `json:"region,omitempty"`
	LoadsPerSecond   float64      `json:"loadsPerSecond"`
	Concurrent       int          `json:"concurrent"`
	AdaptersInFlight int          `json:"adaptersInFlight"`
	// Bandwidth is the throughput of one load, per second, while no more than
	// Concurrent loads are running.
	Bandwidth fleet.Bytes `json:"bandwidth"`
}

// Log holds the level and format of the log.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `json:"level"`
	// Format is json or text.
	Format string `json:"format"`
}

// Drain holds the time limits of a node's drain.
type Drain struct {
	// KeepFor is how long callers may cache a look-up answer.
	KeepFor fleet.Duration `json:"keepFor"`
	// Limit is the maximum duration of a drain, including the wait for cached
	// look-up answers to expire.
	Limit fleet.Duration `json:"limit"`
}
