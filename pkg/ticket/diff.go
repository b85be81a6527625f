package ticket

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/guavatrack/guavatrack/internal/strictjson"
)

// Change is one difference that a ticket makes.
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

// Touched lists the objects of a ticket.
func (t *Ticket) Touched() []Change {
	return slices.Concat(
		listObjects("pool", t.Pools), listObjects("deployment", t.Deployments), listObjects("service", t.Services))
}

func listObjects[ID ~string, Object any](kind string, objects map[ID]*Object) []Change {
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

// Diff returns what a ticket would change in a configuration.
func (t *Ticket) Diff(now *Snapshot) []Change {
	return slices.Concat(
		compare("pool", now.Pools, t.Pools),
		compare("deployment", now.Deployments, t.Deployments),
		compare("service", now.Services, t.Services),
	)
}

func compare[ID ~string, Object any](kind string, now, after map[ID]*Object) []Change {
	var changes []Change
	for _, id := range slices.Sorted(maps.Keys(after)) {
		old, existed := now[id]
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

// fields compares two objects field by field in their JSON form.
func changedFields(base Change, before, after any) []Change {
	old, wanted := flatten(before), flatten(after)
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

// flatten maps the paths of an object's values to their JSON text.
func flatten(object any) map[string]string {
	found := make(map[string]string)
	text, err := json.Marshal(object)
	if err != nil {
		return found
	}
	var tree any
	if json.Unmarshal(text, &tree) == nil {
		walk("", tree, found)
	}
	return found
}

func walk(path string, tree any, found map[string]string) {
	switch value := tree.(type) {
	case nil:
	case map[string]any:
		for key, child := range value {
			walk(strictjson.Join(path, key), child, found)
		}
	case []any:
		for i, child := range value {
			walk(fmt.Sprintf("%s[%d]", path, i), child, found)
		}
	default:
		found[path] = fmt.Sprint(value)
	}
}
