package ticket

import (
	"encoding/json"
	"strings"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Kind is the kind of an object, named as the ticket's field.
type Kind string

// Kinds of object.
const (
	PoolObject       Kind = "pools"
	DeploymentObject Kind = "deployments"
	ServiceObject    Kind = "services"
)

// Key names one object.
type Key struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// String returns "kind/name".
func (k Key) String() string { return string(k.Kind) + "/" + k.Name }

// ParseKey reads what [Key.String] returns.
func ParseKey(text string) (Key, error) {
	kind, name, found := strings.Cut(text, "/")
	if !found {
		return Key{}, errors.Errorf("object key %q: no / between kind and name", text)
	}
	return Key{Kind: Kind(kind), Name: name}, nil
}

// Entry is the state that one ticket gave to one object.
type Entry struct {
	Key
	Number fleet.TicketNumber `json:"number"`
	// Body is the object in JSON as Go writes it, so that equal objects have
	// equal bytes. It is empty if the ticket deleted the object. It is a
	// string so that no transport on the way can write it differently.
	Body string `json:"body,omitempty"`
}

// Deleted reports whether the entry keeps a deletion.
func (e Entry) Deleted() bool { return e.Body == "" }

// Entries returns one entry for each object that the ticket touches.
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
	// Applied says that the entry was newer and is now the object's state.
	Applied Outcome = iota
	// Known says that the state already held the same entry.
	Known
	// Stale says that the state holds a newer entry, which stays.
	Stale
	// Clash says that two different contents carry one number. The table never
	// accepts that. Both sides keep the same one of them.
	Clash
)

// State holds the newest entry of each object, deletions included. Merging is
// commutative, associative and idempotent: the result depends on the set of
// entries only, neither on their order nor on how often they came. A State is
// not safe for concurrent use.
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

// Merge takes an entry in if it is newer than what the state holds for the
// object. It fails, and changes nothing, if the body can't be read.
func (s *State) Merge(entry Entry) (Outcome, error) {
	held, found := s.entries[entry.Key]
	hash := hashEntry(entry)
	outcome := Applied
	switch {
	case !found || entry.Number > held.Number:
	case entry.Number < held.Number:
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

// Entry returns the newest entry of an object.
func (s *State) Entry(key Key) (Entry, bool) {
	entry, found := s.entries[key]
	return entry, found
}

// Len returns the number of objects, deleted ones included.
func (s *State) Len() int { return len(s.entries) }

// Snapshot returns a copy of the objects that are not deleted.
func (s *State) Snapshot() *Snapshot {
	return &Snapshot{
		Pools:       overlay(s.objects.Pools, nil),
		Deployments: overlay(s.objects.Deployments, nil),
		Services:    overlay(s.objects.Services, nil),
	}
}

// set replaces or deletes one object.
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
