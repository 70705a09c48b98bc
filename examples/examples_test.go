// Package examples checks the example files.
package examples

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/chervilhatch/chervilhatch/core/config"
	"github.com/chervilhatch/chervilhatch/settings"
)

// The configuration and settings of each example have to be valid and have the sizes
// of the deployment that the example describes.
func TestExamplesAreValid(t *testing.T) {
	cases := []struct {
		dir                string
		zones, slots, conn int
	}{
		{"ostemarked", 4, 3, 20},
		{"solur", 3, 5, 50},
	}
	for _, c := range cases {
		t.Run(c.dir, func(t *testing.T) {
			doc, list := config.Parse("config.jsonc", readFile(t, c.dir, "config.jsonc"))
			if err := list.Err(); err != nil {
				t.Fatal(err)
			}
			s, list := settings.Parse("settings.jsonc", readFile(t, c.dir, "settings.jsonc"))
			if err := list.Err(); err != nil {
				t.Fatal(err)
			}
			if doc.Zone(s.VM.Zone) == nil {
				t.Errorf("the settings' zone %q is not configured", s.VM.Zone)
			}
			if len(doc.Zones) != c.zones || len(doc.Databases) != 3 || len(doc.Workspaces) != 8 || len(doc.Presets) != 3 {
				t.Errorf("%d zones, %d databases, %d workspaces, %d presets",
					len(doc.Zones), len(doc.Databases), len(doc.Workspaces), len(doc.Presets))
			}
			for _, db := range doc.Databases {
				if len(db.Upstreams) != 3 || db.Slots != c.slots || db.Connections != c.conn {
					t.Errorf("database %+v", db)
				}
			}
		})
	}
}

// The local example has to be a valid configuration.
func TestLocalExampleIsValid(t *testing.T) {
	_, list := config.Parse("config.jsonc", readFile(t, "local", "config.jsonc"))
	if err := list.Err(); err != nil {
		t.Fatal(err)
	}
}

func readFile(t *testing.T, parts ...string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(parts...))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// docs/OPERATIONS.md has to name every field of the configuration and the settings.
func TestReferenceNamesEveryField(t *testing.T) {
	page := string(readFile(t, "..", "docs", "OPERATIONS.md"))
	for _, document := range []any{config.Document{}, settings.Settings{}, settings.Line{}} {
		for _, path := range fieldPaths("", reflect.TypeOf(document)) {
			if !strings.Contains(page, "`"+path+"`") {
				t.Errorf("docs/OPERATIONS.md does not describe %s", path)
			}
		}
	}
}

// fieldPaths returns the JSON paths of all fields below path that are not structs or slices
// of structs.
func fieldPaths(path string, typ reflect.Type) []string {
	switch {
	case typ.Kind() == reflect.Pointer:
		return fieldPaths(path, typ.Elem())
	case typ.Kind() == reflect.Slice && typ.Elem().Kind() == reflect.Struct:
		return fieldPaths(path+"[]", typ.Elem())
	case typ.Kind() != reflect.Struct:
		return []string{path}
	}
	var paths []string
	for i := range typ.NumField() {
		name, _, _ := strings.Cut(typ.Field(i).Tag.Get("json"), ",")
		if name != "" {
			paths = append(paths, fieldPaths(strings.TrimPrefix(path+"."+name, "."), typ.Field(i).Type)...)
		}
	}
	return paths
}
