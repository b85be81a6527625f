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
}

// Node says where the process stands.
type Node struct {
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
