package ticket

import (
	"encoding/json"
	"strings"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Kind is the kind of an object. Its value is the JSON name of the [Ticket] field.
type Kind string

// Kinds of object.
const (
	PoolObject       Kind = "pools"
	DeploymentObject Kind = "deployments"
	ServiceObject    Kind = "services"
)

// Key identifies one object by kind and name.
type Key struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// String returns "kind/name".
func (k Key) String() string { return string(k.Kind) + "/" + k.Name }

// ParseKey parses the text that [Key.String] returns. It returns an error if the
// text has no "/"; it does not check the kind.
func ParseKey(text string) (Key, error) {
	kind, name, found := strings.Cut(text, "/")
	if !found {
		return Key{}, errors.Errorf("object key %q: no / between kind and name", text)
	}
	return Key{Kind: Kind(kind), Name: name}, nil
}

// Entry is the state of one object as set by one ticket.
type Entry struct {
	Key
	Number fleet.TicketNumber `json:"number"`
	// Body is the object in JSON as encoded by Go, so that equal objects have
	// equal bytes. It is empty if the ticket deleted the object. It is a
	// string so that no transport can re-encode it.
	Body string `json:"body,omitempty"`
}

// Deleted reports whether the entry is the tombstone of a deleted object.
func (e Entry) Deleted() bool { return e.Body == "" }

// Entries returns one entry for each object that the ticket touches, in no
// particular order. It returns an error if an object can't be encoded as JSON.
func (t Ticket) Entries() (entries []Entry, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "ticket %d", t.Number)
		}
	}()
	if entries, err = appendEntries(entries, t.Number, PoolObject, t.Pools); err != nil {
		return nil, err
	}
	if entries, err = appendEntries(entries, t.Number, DeploymentObject, t.Deployments); err != nil {
		return nil, err
	}
	return appendEntries(entries, t.Number, ServiceObject, t.Services)
}

func appendEntries[K ~string, V any](
	entries []Entry, number fleet.TicketNumber, kind Kind, objects map[K]*V,
) ([]Entry, error) {
	for name, object := range objects {
		entry := Entry{Key: Key{Kind: kind, Name: string(name)}, Number: number}
		if object != nil {
			body, err := json.Marshal(object)
			if err != nil {
				return nil, errors.Wrap(err, entry.String())
			}
			entry.Body = string(body)
		}
		entries = append(entries, entry)
	}
	return entries, nil
}

// Outcome is the result of merging one entry.
type Outcome int

// Outcomes of a merge.
const (
	// Applied means that the entry was newer and is now the object's state.
	Applied Outcome = iota
	// Known means that the state already held the same entry.
	Known
	// Stale means that the state holds a newer entry, which it keeps.
	Stale
	// Clash means that two entries with the same number differ in content, which
	// the table service never accepts. Every state keeps the entry with the
	// higher hash, so that all of them agree.
	Clash
)

// State holds the newest entry of each object, tombstones included. Merging is
// commutative, associative and idempotent: the result depends only on the set of
// entries, not on their order or on how often each is merged. A State is not
// safe for concurrent use.
type State struct {
	entries map[Key]Entry
	hashes  map[Key]uint64
	digests digests
	objects Snapshot
}

// NewState returns an empty state.
func NewState() *State {
	return &State{
		entries: make(map[Key]Entry),
		hashes:  make(map[Key]uint64),
		objects: Snapshot{
			Pools:       make(map[fleet.PoolID]*Pool),
			Deployments: make(map[fleet.ModelID]*Deployment),
			Services:    make(map[fleet.ServiceID]*Service),
		},
	}
}

// Merge stores an entry if it is newer than the state's entry for the object. It
// returns an error, and changes nothing, if the body can't be decoded or the
// kind is unknown.
func (s *State) Merge(entry Entry) (Outcome, error) {
	current, found := s.entries[entry.Key]
	hash := hashEntry(entry)
	outcome := Applied
	switch {
	case !found || entry.Number > current.Number:
	case entry.Number < current.Number:
		return Stale, nil
	case hash == s.hashes[entry.Key]:
		return Known, nil
	default:
		outcome = Clash
		if hash < s.hashes[entry.Key] {
			return Clash, nil
		}
	}
	if err := s.objects.set(entry); err != nil {
		return outcome, errors.Wrap(err, entry.String())
	}
	s.digests.replace(entry.Key, s.hashes[entry.Key], hash)
	s.entries[entry.Key], s.hashes[entry.Key] = entry, hash
	return outcome, nil
}

// Entry returns the newest entry of an object and whether there is one.
func (s *State) Entry(key Key) (Entry, bool) {
	entry, found := s.entries[key]
	return entry, found
}

// Len returns the number of entries, tombstones of deleted objects included.
func (s *State) Len() int { return len(s.entries) }

// Snapshot returns the objects that are not deleted. The maps are copies, the
// objects are shared.
func (s *State) Snapshot() *Snapshot {
	return &Snapshot{
		Pools:       applyChanges(s.objects.Pools, nil),
		Deployments: applyChanges(s.objects.Deployments, nil),
		Services:    applyChanges(s.objects.Services, nil),
	}
}

// set replaces or deletes one object. It returns an error if the kind is unknown
// or the body can't be decoded.
func (s *Snapshot) set(entry Entry) error {
	switch entry.Kind {
	case PoolObject:
		return setObject(s.Pools, fleet.PoolID(entry.Name), entry)
	case DeploymentObject:
		return setObject(s.Deployments, fleet.ModelID(entry.Name), entry)
	case ServiceObject:
		return setObject(s.Services, fleet.ServiceID(entry.Name), entry)
	default:
		return errors.Errorf("unknown kind %q", entry.Kind)
	}
}

func setObject[K comparable, V any](objects map[K]*V, id K, entry Entry) error {
	if entry.Deleted() {
		delete(objects, id)
		return nil
	}
	object := new(V)
	if err := json.Unmarshal([]byte(entry.Body), object); err != nil {
		return err
	}
	objects[id] = object
	return nil
}
