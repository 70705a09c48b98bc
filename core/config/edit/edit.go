// Package edit makes single changes to the text of a configuration document. It
// preserves comments and formats the text in hujson's standard form.
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
	// ErrNotFound is returned for an item that the document does not have.
	ErrNotFound = errors.New("not found in the configuration")
	// ErrExists is returned for an item that the document already has.
	ErrExists = errors.New("already exists in the configuration")
)

// Editor makes changes to a document. Its methods return the changed text and do
// not modify the Editor.
type Editor struct {
	data []byte
	doc  *config.Document
}

// New returns an Editor for the text of a valid document and its parsed form.
func New(data []byte, doc *config.Document) Editor { return Editor{data: data, doc: doc} }

// operation is one operation of a JSON Patch (RFC 6902).
type operation struct {
	Op    string `json:"op"`
	Path  string `json:"path"`
	Value any    `json:"value,omitempty"`
}

// UsePreset puts the preset with the name into force.
func (e Editor) UsePreset(name string) ([]byte, error) {
	for i := range e.doc.Presets {
		if e.doc.Presets[i].Name == name {
			return e.patch(operation{"replace", "/preset", name})
		}
	}
	return nil, fmt.Errorf("preset %q: %w", name, ErrNotFound)
}

// SetDrained drains the zone, or restores it if drained is false.
func (e Editor) SetDrained(zone model.Zone, drained bool) ([]byte, error) {
	for i := range e.doc.Zones {
		if e.doc.Zones[i].Name == zone {
			return e.patch(operation{"add", fmt.Sprintf("/zones/%d/drained", i), drained})
		}
	}
	return nil, fmt.Errorf("zone %q: %w", zone, ErrNotFound)
}

// AddKey adds a key to the workspace. The key's id must be new.
func (e Editor) AddKey(w model.Workspace, key config.Key) ([]byte, error) {
	i, err := e.workspaceIndex(w)
	if err != nil {
		return nil, err
	}
	if e.doc.Key(w, key.ID) != nil {
		return nil, fmt.Errorf("key %q of workspace %q: %w", key.ID, w, ErrExists)
	}
	list := fmt.Sprintf("/workspaces/%d/keys", i)
	if e.doc.Workspaces[i].Keys == nil {
		return e.patch(operation{"add", list, []config.Key{key}})
	}
	return e.patch(operation{"add", list + "/-", key})
}

// RemoveKey removes a key from the workspace.
func (e Editor) RemoveKey(w model.Workspace, id model.KeyID) ([]byte, error) {
	i, err := e.workspaceIndex(w)
	if err != nil {
		return nil, err
	}
	for j, key := range e.doc.Workspaces[i].Keys {
		if key.ID == id {
			return e.patch(operation{Op: "remove", Path: fmt.Sprintf("/workspaces/%d/keys/%d", i, j)})
		}
	}
	return nil, fmt.Errorf("key %q of workspace %q: %w", id, w, ErrNotFound)
}

// workspaceIndex returns the index of the workspace in the document's list.
func (e Editor) workspaceIndex(name model.Workspace) (int, error) {
	for i := range e.doc.Workspaces {
		if e.doc.Workspaces[i].Name == name {
			return i, nil
		}
	}
	return 0, fmt.Errorf("workspace %q: %w", name, ErrNotFound)
}

// patch applies one operation and formats the text.
func (e Editor) patch(op operation) ([]byte, error) {
	value, err := hujson.Parse(e.data)
	if err != nil {
		return nil, fmt.Errorf("parse the configuration: %w", err)
	}
	steps, err := json.Marshal([]operation{op})
	if err != nil {
		return nil, fmt.Errorf("encode the edit: %w", err)
	}
	// Patch and Format modify parts of the value, some of which alias e.data.
	value = value.Clone()
	if err := value.Patch(steps); err != nil {
		return nil, fmt.Errorf("edit the configuration: %w", err)
	}
	value.Format()
	return value.Pack(), nil
}
