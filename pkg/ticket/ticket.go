package ticket

import "github.com/guavatrack/guavatrack/pkg/fleet"

// Ticket is one numbered configuration change. [Parse] decodes it from JSON.
type Ticket struct {
	Number   fleet.TicketNumber `json:"number"`
	Operator string             `json:"operator"`
	Reason   string             `json:"reason,omitempty"`

	// A nil value deletes the object of that name.
	Pools       map[fleet.PoolID]*Pool        `json:"pools,omitempty"`
	Deployments map[fleet.ModelID]*Deployment `json:"deployments,omitempty"`
	Services    map[fleet.ServiceID]*Service  `json:"services,omitempty"`
}
