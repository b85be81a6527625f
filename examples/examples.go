// Package examples holds a ticket and a settings file for each of the first
// two users. The demonstration applies the tickets, and a test checks all of
// the files.
package examples

import _ "embed"

// Tickets of the two users.
var (
	//go:embed wreaths.ticket.json
	WreathsTicket []byte
	//go:embed pedals.ticket.json
	PedalsTicket []byte
)

// Settings of a node at each of the two users.
var (
	//go:embed wreaths.settings.json
	WreathsSettings []byte
	//go:embed pedals.settings.json
	PedalsSettings []byte
)
