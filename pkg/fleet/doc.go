// Package fleet defines the identifiers and units of a guavatrack deployment.
//
// A caller sends a request to a node. A node is one process of guavatrack on
// an entry VM. The node sends the request to a backend server: either an
// engine, which runs language models on accelerators, or a plain service. VMs
// belong to failure domains, and failure domains to regions. The links between
// regions are slow and billed by volume.
//
// An [Item] is what an engine can hold: a base model, or an adapter together
// with its base model. The right to hold an item is a grant, which is recorded
// in the table service under a [GrantID] and a [FencingNumber].
//
// The package contains only named types for identifiers and units, with their
// text forms. Any other package of the module may import it; it imports none.
package fleet
