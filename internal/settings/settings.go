// Package settings reads the settings of a node.
//
// Settings are one JSON file, which says what differs between VMs and what a
// node needs before it can read the table: its place, its addresses and keys,
// and where the platform's services are. What is served and how is no setting
// but a ticket. A file is checked whole before anything starts and every
// mistake is reported with its path.
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
	// Platform is set where a platform lists the backend servers and keeps the
	// manifest. Table, VMList and Operators are not used there, and all
	// endpoints are plain text.
	Platform *Platform `json:"platform,omitempty"`
}

// Platform says how a node speaks to the platform that it runs on.
type Platform struct {
	// Store is the host and port of the platform's store.
	Store string `json:"store"`
	// Readiness, Lookup and Metrics are the addresses to listen on for the
	// platform's readiness check, for callers that ask where to connect and for
	// metrics.
	Readiness string `json:"readiness"`
	Lookup    string `json:"lookup"`
	Metrics   string `json:"metrics"`
	// Regions maps the failure domains to regions.
	Regions map[fleet.FailureDomain]fleet.Region `json:"regions"`
	// KeepFor is how long callers may keep an answer of the look-up.
	KeepFor fleet.Duration `json:"keepFor"`
	// Grace is the time from the order to stop until the process is killed.
	Grace fleet.Duration `json:"grace"`
	// Retries bounds further attempts over all nodes.
	Retries Retries `json:"retries"`
	// HandOver is the time in which two nodes must not give orders to an engine
	// one after the other.
	HandOver fleet.Duration `json:"handOver"`
	// Memory and Descriptors are what the process may take.
	Memory      fleet.Bytes `json:"memory"`
	Descriptors int         `json:"descriptors"`
	// Cores is the processor time that the process may take a second, in seconds;
	// 0 if it is not known. Nodes with more of it give the orders.
	Cores float64 `json:"cores,omitempty"`
}

// Retries bounds the attempts beyond the first of each request, for each pool
// and over all nodes.
type Retries struct {
	// Ratio is the share of the requests, Slack what may come beyond in any
	// window.
	Ratio float64 `json:"ratio"`
	Slack float64 `json:"slack"`
}

// Node says where the process stands.
type Node struct {
	// Name is the VM's name on a platform.
	Name string `json:"name,omitempty"`
	fleet.Place
	// RegionLink is what the region's link to the others carries a second.
	RegionLink fleet.Bytes `json:"regionLink"`
}

// Endpoint is one listening address.
type Endpoint struct {
	// Listen is the host and port to listen on. Port 0 takes a free one.
	Listen string `json:"listen"`
	// Advertise is the address that others are told, if it is not Listen.
	Advertise string `json:"advertise,omitempty"`
	// Certificate and Key are PEM files. They are read again when they change.
	Certificate string `json:"certificate,omitempty"`
	Key         string `json:"key,omitempty"`
}

// Callers is the endpoint for callers.
type Callers struct {
	Endpoint
	// Keys is a JSON file {"callerName": "sha256 of the key in hex"}. Without
	// it every caller is accepted, which AllowPlainText must permit.
	Keys string `json:"keys,omitempty"`
	// MaxBody is the largest body of a request.
	MaxBody fleet.Bytes `json:"maxBody"`
}

// Operators is the endpoint for operators.
type Operators struct {
	Endpoint
	// Tokens is a JSON file {"operatorName": "sha256 of the token in hex"}.
	Tokens string `json:"tokens,omitempty"`
	// ClientCA is a PEM file; a client certificate that it signed authorises
	// the operator whom its common name says.
	ClientCA string `json:"clientCA,omitempty"`
}

// Peers is the endpoint for other nodes.
type Peers struct {
	Endpoint
	// CA is a PEM file with the authority that signs the certificates of all
	// nodes.
	CA string `json:"ca,omitempty"`
}

// Table says where the table service is.
type Table struct {
	Endpoint string `json:"endpoint"`
	Name     string `json:"name"`
	// SigningRegion is the region name that requests are signed for.
	SigningRegion string `json:"signingRegion"`
	// Credentials is a JSON file {"accessKeyId": …, "secretAccessKey": …}.
	Credentials string         `json:"credentials,omitempty"`
	Timeout     fleet.Duration `json:"timeout"`
	// WritesPerSecond and ReadsPerSecond are this node's share of what the
	// service gives.
	WritesPerSecond int `json:"writesPerSecond"`
	ReadsPerSecond  int `json:"readsPerSecond"`
}

// VMList says where the platform's list of VMs is.
type VMList struct {
	URL   string         `json:"url"`
	Every fleet.Duration `json:"every"`
}

// WeightStore is what the store of checkpoints gives the whole fleet.
type WeightStore struct {
	// Region is where the store stands. Empty means near everywhere.
	Region           fleet.Region `json:"region,omitempty"`
	LoadsPerSecond   float64      `json:"loadsPerSecond"`
	Concurrent       int          `json:"concurrent"`
	AdaptersInFlight int          `json:"adaptersInFlight"`
	// Bandwidth is what one load gets a second while no more than Concurrent
	// are running.
	Bandwidth fleet.Bytes `json:"bandwidth"`
}

// Log says what is logged and how.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `json:"level"`
	// Format is json or text.
	Format string `json:"format"`
}

// Drain says how a node leaves.
type Drain struct {
	// KeepFor is how long callers keep an answer of the look-up.
	KeepFor fleet.Duration `json:"keepFor"`
	// Limit is the longest time that a drain takes, the wait for kept answers
	// included.
	Limit fleet.Duration `json:"limit"`
}
