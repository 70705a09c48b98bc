// Package edit makes single changes to the text of a configuration document. It
// keeps the comments and lays the text out in hujson's standard form.
package edit

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/tailscale/hujson"

	"github.com/chervilhatch/chervilhatch/core/config"
	"github.com/chervilhatch/chervilhatch/core/model"
)

// Errors of an edit.
var (
	// ErrNotFound reports an item that the document lacks.
	ErrNotFound = errors.New("not found in the configuration")
	// ErrExists reports an item that the document already has.
	ErrExists = errors.New("already exists in the configuration")
)

// Text is a document's text together with its parsed form.
type Text struct {
	data []byte
	doc  *config.Document
}

// New returns the text of a valid document.
func New(data []byte, doc *config.Document) Text { return Text{data: data, doc: doc} }

// operation is one step of a JSON Patch (RFC 6902).
type operation struct {
	Op    string `json:"op"`
	Path  string `json:"path"`
	Value any    `json:"value,omitempty"`
}

// UsePreset puts the preset with the name in force.
func (t Text) UsePreset(name string) ([]byte, error) {
	for i := range t.doc.Presets {
		if t.doc.Presets[i].Name == name {
			return t.patch(operation{"replace", "/preset", name})
		}
	}
	return nil, fmt.Errorf("preset %q: %w", name, ErrNotFound)
}

// SetDrained drains the zone or restores it.
func (t Text) SetDrained(zone model.Zone, drained bool) ([]byte, error) {
	for i := range t.doc.Zones {
		if t.doc.Zones[i].Name == zone {
			return t.patch(operation{"add", fmt.Sprintf("/zones/%d/drained", i), drained})
		}
	}
	return nil, fmt.Errorf("zone %q: %w", zone, ErrNotFound)
}

// AddKey adds a key to the workspace.
func (t Text) AddKey(w model.Workspace, key config.Key) ([]byte, error) {
	i, err := t.workspace(w)
	if err != nil {
		return nil, err
	}
	if t.doc.Key(w, key.ID) != nil {
		return nil, fmt.Errorf("key %q of workspace %q: %w", key.ID, w, ErrExists)
	}
	list := fmt.Sprintf("/workspaces/%d/keys", i)
	if t.doc.Workspaces[i].Keys == nil {
		return t.patch(operation{"add", list, []config.Key{key}})
	}
	return t.patch(operation{"add", list + "/-", key})
}

// RemoveKey removes a key of the workspace.
func (t Text) RemoveKey(w model.Workspace, id model.KeyID) ([]byte, error) {
	i, err := t.workspace(w)
	if err != nil {
		return nil, err
	}
	for j, key := range t.doc.Workspaces[i].Keys {
		if key.ID == id {
			return t.patch(operation{Op: "remove", Path: fmt.Sprintf("/workspaces/%d/keys/%d", i, j)})
		}
	}
	return nil, fmt.Errorf("key %q of workspace %q: %w", id, w, ErrNotFound)
}

// workspace returns the workspace's position in the list.
func (t Text) workspace(name model.Workspace) (int, error) {
	for i := range t.doc.Workspaces {
		if t.doc.Workspaces[i].Name == name {
			return i, nil
		}
	}
	return 0, fmt.Errorf("workspace %q: %w", name, ErrNotFound)
}

// patch applies one operation and lays the text out.
func (t Text) patch(op operation) ([]byte, error) {
	value, err := hujson.Parse(t.data)
	if err != nil {
		return nil, fmt.Errorf("parse the configuration: %w", err)
	}
	steps, err := json.Marshal([]operation{op})
	if err != nil {
		return nil, fmt.Errorf("encode the edit: %w", err)
	}
	// Patch and Format change the value's parts, some of which share t.data.
	value = value.Clone()
	if err := value.Patch(steps); err != nil {
		return nil, fmt.Errorf("edit the configuration: %w", err)
	}
	value.Format()
	return value.Pack(), nil
}
