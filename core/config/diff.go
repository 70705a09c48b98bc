package config

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// ChangeKind is the kind of a Change.
type ChangeKind string

// Kinds of changes.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is one difference between two documents.
type Change struct {
	Kind ChangeKind `json:"kind"`
	// Path refers to list items by name, for example "jobs[entries].freshness".
	Path string `json:"path"`
	// Old and New are JSON values; for a list item that was removed or added they
	// are its name. Old is empty if Kind is Added, and New if it is Removed.
	Old string `json:"old,omitempty"`
	New string `json:"new,omitempty"`
}

// identifyingFields are the fields by which list items are matched, so that a new
// order of the items is no change.
var identifyingFields = []string{"name", "id"}

// Diff returns the changes that turn before into after, ordered by path. A nil
// document counts as empty.
func Diff(before, after *Document) []Change {
	old, current := map[string]string{}, map[string]string{}
	flatten(old, "", toGeneric(before))
	flatten(current, "", toGeneric(after))
	var changes []Change
	for path, value := range old {
		replaced, found := current[path]
		switch {
		case !found:
			changes = append(changes, Change{Kind: Removed, Path: path, Old: value})
		case replaced != value:
			changes = append(changes, Change{Kind: Changed, Path: path, Old: value, New: replaced})
		}
	}
	for path, value := range current {
		if _, found := old[path]; !found {
			changes = append(changes, Change{Kind: Added, Path: path, New: value})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return strings.Compare(a.Path, b.Path) })
	return dropNested(changes)
}

// toGeneric returns the document as maps, slices and scalars, as encoding/json
// decodes them.
func toGeneric(d *Document) any {
	if d == nil {
		return nil
	}
	var value any
	if err := json.Unmarshal(Encode(d), &value); err != nil {
		panic("decode canonical configuration: " + err.Error())
	}
	return value
}

// flatten adds every scalar and every list item of value to out, under its path.
func flatten(out map[string]string, path string, value any) {
	switch v := value.(type) {
	case nil:
	case map[string]any:
		for name, member := range v {
			flatten(out, strings.TrimPrefix(path+"."+name, "."), member)
		}
	case []any:
		for _, item := range v {
			flattenItem(out, path, item)
		}
	default:
		out[path] = encodeValue(v)
	}
}

// flattenItem adds a list item and its members to out. The value of the item's own
// entry is its name, so the entry differs only if the item is added or removed.
func flattenItem(out map[string]string, path string, item any) {
	name := itemName(item)
	path = fmt.Sprintf("%s[%s]", path, name)
	out[path] = name
	if members, ok := item.(map[string]any); ok {
		flatten(out, path, members)
	}
}

func itemName(item any) string {
	members, ok := item.(map[string]any)
	if !ok {
		return fmt.Sprint(item)
	}
	for _, field := range identifyingFields {
		if name, ok := members[field].(string); ok {
			return name
		}
	}
	return encodeValue(item)
}

func encodeValue(v any) string {
	data, err := json.Marshal(v)
	if err != nil {
		panic("encode configuration value: " + err.Error())
	}
	return string(data)
}

// dropNested removes the changes to members of items that were added or removed as
// a whole.
// Changes are in path order, so an item directly precedes its members.
func dropNested(changes []Change) []Change {
	var kept []Change
	parent := ""
	for _, c := range changes {
		if parent != "" && (strings.HasPrefix(c.Path, parent+".") || strings.HasPrefix(c.Path, parent+"[")) {
			continue
		}
		kept = append(kept, c)
		parent = ""
		if c.Kind != Changed && strings.HasSuffix(c.Path, "]") {
			parent = c.Path
		}
	}
	return kept
}
