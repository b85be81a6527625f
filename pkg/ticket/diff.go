package ticket

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/guavatrack/guavatrack/internal/strictjson"
)

// Change is one change that a ticket makes to an object: its creation, its
// deletion, or a new value of one field. Kind is "pool", "deployment" or "service"
// and Name the object's name. Action is "create", "change" or "delete"; in the list
// of [Ticket.Touched] it is "set" or "delete". Path, Before and After are set for a
// changed field only: its path in the object's JSON form and its two values.
type Change struct {
	Kind   string `json:"kind"`
	Name   string `json:"name"`
	Action string `json:"action"`
	Path   string `json:"path,omitempty"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// Actions of a ticket on an object.
const (
	actionCreate = "create"
	actionChange = "change"
	actionDelete = "delete"
	actionSet    = "set"
)

// Touched lists the objects that the ticket sets or deletes, by kind and then by
// name. It compares them with no configuration; [Ticket.Diff] does.
func (t *Ticket) Touched() []Change {
	return slices.Concat(
		touchedObjects("pool", t.Pools), touchedObjects("deployment", t.Deployments), touchedObjects("service", t.Services))
}

func touchedObjects[ID ~string, Object any](kind string, objects map[ID]*Object) []Change {
	changes := make([]Change, 0, len(objects))
	for _, id := range slices.Sorted(maps.Keys(objects)) {
		action := actionSet
		if objects[id] == nil {
			action = actionDelete
		}
		changes = append(changes, Change{Kind: kind, Name: string(id), Action: action})
	}
	return changes
}

// Diff returns the changes that the ticket would make to the current
// configuration, by kind, name and field path.
func (t *Ticket) Diff(current *Snapshot) []Change {
	return slices.Concat(
		diffObjects("pool", current.Pools, t.Pools),
		diffObjects("deployment", current.Deployments, t.Deployments),
		diffObjects("service", current.Services, t.Services),
	)
}

func diffObjects[ID ~string, Object any](kind string, before, after map[ID]*Object) []Change {
	var changes []Change
	for _, id := range slices.Sorted(maps.Keys(after)) {
		old, existed := before[id]
		base := Change{Kind: kind, Name: string(id)}
		switch {
		case after[id] == nil && existed:
			base.Action = actionDelete
			changes = append(changes, base)
		case after[id] == nil:
		case !existed:
			base.Action = actionCreate
			changes = append(changes, base)
		default:
			base.Action = actionChange
			changes = append(changes, changedFields(base, old, after[id])...)
		}
	}
	return changes
}

// changedFields compares two objects field by field in their JSON form.
func changedFields(base Change, before, after any) []Change {
	old, wanted := leafValues(before), leafValues(after)
	paths := slices.Collect(maps.Keys(old))
	for path := range wanted {
		if _, both := old[path]; !both {
			paths = append(paths, path)
		}
	}
	slices.Sort(paths)
	var changes []Change
	for _, path := range paths {
		if old[path] != wanted[path] {
			change := base
			change.Path, change.Before, change.After = path, old[path], wanted[path]
			changes = append(changes, change)
		}
	}
	return changes
}

// leafValues maps the path of each scalar value in an object's JSON form to the
// value's text. Null values are left out.
func leafValues(object any) map[string]string {
	leaves := make(map[string]string)
	text, err := json.Marshal(object)
	if err != nil {
		return leaves
	}
	var tree any
	if json.Unmarshal(text, &tree) == nil {
		collectLeaves("", tree, leaves)
	}
	return leaves
}

func collectLeaves(path string, tree any, leaves map[string]string) {
	switch value := tree.(type) {
	case nil:
	case map[string]any:
		for key, child := range value {
			collectLeaves(strictjson.Join(path, key), child, leaves)
		}
	case []any:
		for i, child := range value {
			collectLeaves(fmt.Sprintf("%s[%d]", path, i), child, leaves)
		}
	default:
		leaves[path] = fmt.Sprint(value)
	}
}
