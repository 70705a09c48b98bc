package edit

import (
	"errors"
	"slices"
	"strings"
	"testing"

	"github.com/chervilhatch/chervilhatch/core/config"
	"github.com/chervilhatch/chervilhatch/scramverifier"
)

const document = `{
	// The preset in force.
	"preset": "ordinary",
	"presets": [{"name": "ordinary"}, {"name": "peak"}],
	"zones": [{"name": "a", "region": "r"}, {"name": "b", "region": "r", "drained": true}],
	"databases": [{"name": "d", "slots": 1, "connections": 10,
		"upstreams": [{"id": "u", "zone": "a", "address": "127.0.0.1:5432"}]}],
	"workspaces": [
		{"name": "w1", "rate": 1, "burst": 1, "keys": [
			// Held by the billing team.
			{"id": "k1", "verifier": "VERIFIER"},
		]},
		{"name": "w2", "rate": 1, "burst": 1},
	],
}`

func newEditor(t *testing.T) (Editor, *config.Document) {
	t.Helper()
	v, err := scramverifier.New("key", []byte("0123456789abcdef"), scramverifier.DefaultIterations)
	if err != nil {
		t.Fatal(err)
	}
	data := []byte(strings.Replace(document, "VERIFIER", v.String(), 1))
	doc, list := config.Parse("test", data)
	if err := list.Err(); err != nil {
		t.Fatal(err)
	}
	return New(data, doc), doc
}

// Guards against an edit that changes another item, drops comments or produces an
// invalid document. The case drain produces one on purpose: it drains the last zone
// in service, which Parse must report.
func TestEdits(t *testing.T) {
	editor, doc := newEditor(t)
	verifier := doc.Workspaces[0].Keys[0].Verifier
	key := config.Key{ID: "k2", Verifier: verifier}
	cases := []struct {
		name string
		edit func() ([]byte, error)
		want config.Change
	}{
		{"preset", func() ([]byte, error) { return editor.UsePreset("peak") },
			config.Change{Kind: config.Changed, Path: "preset", Old: `"ordinary"`, New: `"peak"`}},
		{"drain", func() ([]byte, error) { return editor.SetDrained("a", true) }, config.Change{}},
		{"restore", func() ([]byte, error) { return editor.SetDrained("b", false) },
			config.Change{Kind: config.Changed, Path: "zones[b].drained", Old: "true", New: "false"}},
		{"second key", func() ([]byte, error) { return editor.AddKey("w1", key) },
			config.Change{Kind: config.Added, Path: "workspaces[w1].keys[k2]", New: "k2"}},
		{"first key", func() ([]byte, error) { return editor.AddKey("w2", key) },
			config.Change{Kind: config.Added, Path: "workspaces[w2].keys[k2]", New: "k2"}},
		{"withdrawal", func() ([]byte, error) { return editor.RemoveKey("w1", "k1") },
			config.Change{Kind: config.Removed, Path: "workspaces[w1].keys[k1]", Old: "k1"}},
	}
	for _, c := range cases {
		data, err := c.edit()
		if err != nil {
			t.Errorf("%s: %v", c.name, err)
			continue
		}
		after, list := config.Parse("test", data)
		if c.name == "drain" {
			if len(list) != 1 || list[0].Path != "zones" {
				t.Errorf("draining the last zone in service: got findings %v, want one at zones", list)
			}
			continue
		}
		if changes := config.Diff(doc, after); len(list) > 0 || !slices.Equal(changes, []config.Change{c.want}) {
			t.Errorf("%s: findings %v, changes %+v; want no findings and one change", c.name, list, changes)
		}
		if !strings.Contains(string(data), "// The preset in force.") {
			t.Errorf("%s: the comment on preset was dropped:\n%s", c.name, data)
		}
	}
}

func TestEditsOfMissingItems(t *testing.T) {
	editor, doc := newEditor(t)
	_, preset := editor.UsePreset("night")
	_, zone := editor.SetDrained("c", true)
	_, workspace := editor.AddKey("w3", config.Key{ID: "k"})
	_, key := editor.RemoveKey("w2", "k1")
	for _, err := range []error{preset, zone, workspace, key} {
		if !errors.Is(err, ErrNotFound) {
			t.Errorf("got %v, want ErrNotFound", err)
		}
	}
	if _, err := editor.AddKey("w1", doc.Workspaces[0].Keys[0]); !errors.Is(err, ErrExists) {
		t.Errorf("adding an existing key: got %v, want ErrExists", err)
	}
}
