package quota

import (
	"time"

	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// askEntry asks for tokens of one organisation, and gives back others.
type askEntry struct {
	Organisation fleet.OrganisationID `json:"organisation"`
	// Need is the smallest amount that is of use; Want the whole.
	Need     Tokens        `json:"need,omitempty"`
	Want     Tokens        `json:"want,omitempty"`
	GiveBack []givenCredit `json:"giveBack,omitempty"`
	// Refused are the tokens of requests that the node has refused since it last asked.
	Refused Tokens `json:"refused,omitempty"`
}

// givenCredit is a part of a grant that the node gives back.
type givenCredit struct {
	// GrantedAt is [askResponse.At] of the grant.
	GrantedAt time.Duration `json:"grantedAt"`
	Tokens    Tokens        `json:"tokens"`
}

// askRequest asks the owner for tokens.
type askRequest struct {
	Node    fleet.NodeID `json:"node"`
	Entries []askEntry   `json:"entries"`
}

// grantEntry is what the owner grants for one organisation.
type grantEntry struct {
	Organisation fleet.OrganisationID `json:"organisation"`
	Tokens       Tokens               `json:"tokens,omitempty"`
	RetryInMs    int64                `json:"retryInMs,omitempty"`
	// Unknown reports that the owner's manifest has no quota of the organisation: one of the
	// two nodes does not have the latest manifest yet.
	Unknown bool `json:"unknown,omitempty"`
}

// askResponse is the answer of the owner, or of a node that is not.
type askResponse struct {
	NotOwner bool         `json:"notOwner,omitempty"`
	Owner    fleet.NodeID `json:"owner,omitempty"`
	Deputy   fleet.NodeID `json:"deputy,omitempty"`
	// HolderVM is the VM of the last owner that the node has read of.
	HolderVM string `json:"holderVm,omitempty"`
	// At is the time of the grants by the clock of the owner.
	At time.Duration `json:"at,omitempty"`
	// PauseMs is the time that the node waits between two requests, since all nodes together
	// send too many.
	PauseMs int64        `json:"pauseMs,omitempty"`
	Entries []grantEntry `json:"entries,omitempty"`
}
