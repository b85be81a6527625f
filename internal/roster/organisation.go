package roster

import "github.com/guavatrack/guavatrack/pkg/fleet"

// Organisation is a customer whose callers share keys, a priority and a quota.
type Organisation struct {
	ID fleet.OrganisationID `json:"id,omitempty"`
	// Rank is the urgency of its requests, which goes before that of their routes; 0 is
	// the most urgent.
	Rank int `json:"rank,omitempty"`
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
