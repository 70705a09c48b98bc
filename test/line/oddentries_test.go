package line

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/chervilhatch/chervilhatch/test/linetest"
)

// entryOf returns an entry of another writer with the field's value replaced, or without the
// field if value is empty.
func entryOf(field, value string) string {
	fields := [][2]string{
		{"service-name", `"` + linetest.Service + `"`}, {"address", `"127.0.0.1:9"`}, {"zone", `"zone-a"`}, {"version", `"v1"`},
		{"slots", "4"}, {"phase", `"ready"`}, {"warmup-left-ms", "0"}, {"db-role", `"primary"`}, {"sequence", "5"}, {"born", "1"},
	}
	var parts []string
	for _, f := range fields {
		if f[0] == field {
			f[1] = value
		}
		if f[1] != "" {
			parts = append(parts, fmt.Sprintf("%q:%s", f[0], f[1]))
		}
	}
	return "{" + strings.Join(parts, ",") + "}"
}

// nested returns JSON of the given size that is nested as deeply as its size allows.
func nested(size int) string { return strings.Repeat("[", size/2) + strings.Repeat("]", size/2) }

// oddEntries are entries of other writers that name no upstream, by key.
func oddEntries() map[string]string {
	const maxValue = 1 << 20
	return map[string]string{
		"servers/port":          entryOf("address", `"127.0.0.1:70000"`),
		"servers/port-zero":     entryOf("address", `"127.0.0.1:0"`),
		"servers/no-host":       entryOf("address", `":8080"`),
		"servers/number":        entryOf("slots", "1e400"),
		"servers/big-sequence":  entryOf("sequence", "99999999999999999999"),
		"servers/big-warmup":    entryOf("warmup-left-ms", "1e300"),
		"servers/no-sequence":   entryOf("sequence", ""),
		"servers/null-warmup":   entryOf("warmup-left-ms", "null"),
		"servers/no-version":    entryOf("version", ""),
		"servers/state":         entryOf("phase", `"resting"`),
		"servers/other-service": entryOf("service-name", `"elsewhere"`),
		"servers/nested":        nested(maxValue),
		"servers/nested-field":  entryOf("zone", nested(maxValue/2)),
		"servers/long":          entryOf("address", `"`+strings.Repeat("9", maxValue/2)+`:1"`),
		"servers/bytes":         "\xff\x00\xfe",
		"servers/with blank":    entryOf("", ""),
		"servers/":              entryOf("", ""),
	}
}

// Guards against entries of other writers that count as upstreams: no primary could be changed
// as long as they exist, because they cannot be fenced.
func TestOddEntriesDoNotPreventAFailover(t *testing.T) {
	for _, key := range []string{"all at once", "servers/port", "servers/nested"} {
		t.Run(key, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, 2, fastGroup)
			for k, value := range oddEntries() {
				if k == key || key == "all at once" {
					f.Store.Put(k, []byte(value))
				}
			}
			c := f.dial(0, "own")
			c.MustSucceed("WRITE item x")
			time.Sleep(2500 * time.Millisecond)
			f.Group.Server("a").Stop()
			f.WaitFor("another primary", func() bool { return f.Group.Primary() != "a" })
			// A VM that starts now reads the same lists.
			f.start(2)
			f.WaitFor("the new VM", func() bool { return f.nodes[2].Ready() == nil })
			fresh := f.dial(2, "own")
			f.WaitFor("a write", func() bool { r := fresh.Query("WRITE item y"); return r.OK() })
		})
	}
}
