package member

import "github.com/guavatrack/guavatrack/pkg/fleet"

// derivedKind is a kind of list of nodes that is derived from a view's records.
type derivedKind int

const (
	// rankedNodes are the nodes of the region in the order of a purpose.
	rankedNodes derivedKind = iota
	// gatewayNodes are the candidates for the gateway to a region.
	gatewayNodes
	// targetNodes are the nodes of another region that a gateway tries in turn.
	targetNodes
)

// derivedKey identifies a derived list: its kind and a purpose or region.
type derivedKey struct {
	kind derivedKind
	name string
}

// derivedLists caches the lists derived from the records of a view. A view is read
// several times a second and seldom changes, and each list takes a sort of all
// nodes.
type derivedLists struct {
	version uint64
	lists   map[derivedKey][]fleet.NodeID
}

// cached returns the list for a key, which derive computes if the view has changed
// since. version is that of the view. The list must not be changed.
func (d *derivedLists) cached(key derivedKey, version uint64, derive func() []fleet.NodeID) []fleet.NodeID {
	if d.lists == nil || d.version != version {
		d.version, d.lists = version, make(map[derivedKey][]fleet.NodeID)
	}
	list, found := d.lists[key]
	if !found {
		list = derive()
		d.lists[key] = list
	}
	return list
}
