// Package fleet names the things that a guavatrack deployment consists of.
//
// A caller sends a request to a node. A node is one process of guavatrack on
// an entry VM. The node sends the request to a backend server: either an
// engine, which runs language models on accelerators, or a plain service. VMs
// stand in failure domains, and failure domains stand in regions. Regions are
// joined by a link that is slow and paid by volume.
//
// What an engine can hold is an [Item]: a base model, or an adapter together
// with its base model. The right to hold an item is a grant, which is recorded
// in the table service under a [GrantID] and a [FencingNumber].
//
// The package holds only named types for identifiers and units, with their
// text forms. Every other package may import it and it imports none of them.
package fleet
