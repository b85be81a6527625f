package roster

import "github.com/guavatrack/guavatrack/pkg/fleet"

// Organisation is a customer whose callers share keys, a priority and a quota.
type Organisation struct {
	ID fleet.OrganisationID `json:"id,omitempty"`
	// Classes maps the rank of a route to the priority class of the organisation's
	// requests there; 0 is the most urgent.
	Classes map[int]int `json:"classes,omitempty"`
	// Quota bounds its requests over all nodes; nil if it has none.
	Quota *Quota `json:"quota,omitempty"`
}

// Quota is a token bucket for the requests of an organisation over all nodes.
type Quota struct {
	// PerSecond is the rate at which the bucket is filled, Burst its capacity, in
	// tokens.
	PerSecond float64 `json:"perSecond,omitempty"`
	Burst     float64 `json:"burst,omitempty"`
	// PlainTokens is what a request counts that states no number of tokens. If the quota
	// counts requests, PerRequest is set and each request counts as one.
	PlainTokens int  `json:"plainTokens,omitempty"`
	PerRequest  bool `json:"perRequest,omitempty"`
}
