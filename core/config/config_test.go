package config

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/chervilhatch/chervilhatch/findings"
	"github.com/chervilhatch/chervilhatch/scramverifier"
)

const validDocument = `{
	// The preset in force.
	"preset": "ordinary",
	"presets": [
		{"name": "ordinary"},
		{"name": "peak", "rate_factor": 0.5, "freshness": "10s", "queue_length": 64},
		{"name": "maintenance", "refuse_writes": true},
	],
	"zones": [{"name": "a", "region": "r"}, {"name": "b", "region": "r"}],
	"databases": [{
		"name": "entries", "slots": 3, "connections": 20,
		"upstreams": [
			{"id": "e1", "zone": "a", "address": "127.0.0.1:5432"},
			{"id": "e2", "zone": "b", "address": "127.0.0.1:5433"},
		],
	}],
	"workspaces": [{"name": "w1", "rate": 100, "burst": 50, "keys": [{"id": "k1", "verifier": "VERIFIER"}]}],
	"jobs": [
		{"name": "write", "database": "entries", "workspaces": ["w1"]},
		{"name": "public", "database": "entries", "open": true, "freshness": "2s"},
	],
}`

func verifier(t *testing.T) string {
	t.Helper()
	v, err := scramverifier.New("secret-1", []byte("0123456789abcdef"), scramverifier.DefaultIterations)
	if err != nil {
		t.Fatal(err)
	}
	return v.String()
}

func parse(t *testing.T, text string) *Document {
	t.Helper()
	doc, list := Parse("test.json", []byte(strings.ReplaceAll(text, "VERIFIER", verifier(t))))
	if err := list.Err(); err != nil {
		t.Fatal(err)
	}
	return doc
}

func TestParseSetsDefaultsAndLookups(t *testing.T) {
	doc := parse(t, validDocument)
	w := doc.Workspace("w1")
	if w == nil || w.KeyGrace.Std() != DefaultKeyGrace || w.Weight != 1 || doc.Key("w1", "k1") == nil {
		t.Fatalf("workspace = %+v, want default grace, weight 1 and key k1", w)
	}
	u, db := doc.Upstream("e2")
	if u == nil || u.Zone != "b" || db.Name != "entries" || doc.Key("w1", "k2") != nil {
		t.Fatalf("upstream, database = %+v, %+v; want zone b, database entries and no key k2", u, db)
	}
	if doc.Timing.Detect.Std() != 600*time.Millisecond {
		t.Fatalf("timing = %+v, want detect 600ms", doc.Timing)
	}
}

// Guards against a preset whose freshness bound lets a primary-only job read from
// replicas.
func TestPresetInForce(t *testing.T) {
	doc := parse(t, strings.Replace(validDocument, `"preset": "ordinary"`, `"preset": "peak"`, 1))
	rate, burst := doc.Rate(doc.Workspace("w1"))
	if rate != 50 || burst != 25 || doc.QueueLength() != 64 {
		t.Errorf("rate, burst, queue length = %v, %v, %v; want 50, 25, 64", rate, burst, doc.QueueLength())
	}
	if got := doc.Freshness(doc.Job("public")); got != 10*time.Second {
		t.Errorf("freshness of a job with a bound = %v, want 10s", got)
	}
	if got := doc.Freshness(doc.Job("write")); got != 0 {
		t.Errorf("freshness of a primary-only job = %v, want 0", got)
	}
}

// Guards against a missing check, and against a finding with the wrong path.
func TestCheckFindsEachError(t *testing.T) {
	cases := []struct{ name, old, new, path string }{
		{"missing preset", `"preset": "ordinary"`, `"preset": "night"`, "preset"},
		{"duplicate preset", `"name": "peak"`, `"name": "ordinary"`, "presets[1].name"},
		{"rate factor", `"rate_factor": 0.5`, `"rate_factor": 0`, "presets[1].rate_factor"},
		{"unknown field", `"slots": 3`, `"slotts": 3`, "databases[0].slotts"},
		{"repeated field", `"slots": 3`, `"slots": 3, "slots": 4`, "databases[0].slots"},
		{"zone of an upstream", `"zone": "b"`, `"zone": "c"`, "databases[0].upstreams[1].zone"},
		{"upstream id", `"id": "e2"`, `"id": "e1"`, "databases[0].upstreams[1].id"},
		{"address", `127.0.0.1:5433`, `127.0.0.1`, "databases[0].upstreams[1].address"},
		{"connections", `"connections": 20`, `"connections": 9`, "databases[0].connections"},
		{"slots above connections", `"slots": 3`, `"slots": 12`, "databases[0].slots"},
		{"database of a job", `"database": "entries", "open"`, `"database": "x", "open"`, "jobs[1].database"},
		{"workspace of a job", `["w1"]`, `["w2"]`, "jobs[0].workspaces[0]"},
		{"workspace listed twice", `["w1"]`, `["w1", "w1"]`, "jobs[0].workspaces[1]"},
		{"job without workspaces", `["w1"]`, `[]`, "jobs[0].workspaces"},
		{"open job with workspaces", `"open": true`, `"open": true, "workspaces": ["w1"]`, "jobs[1].workspaces"},
		{"verifier", "VERIFIER", "SCRAM-SHA-256$1:a$b:c", "workspaces[0].keys[0].verifier"},
		{"negative rate", `"rate": 100`, `"rate": -1`, "workspaces[0].rate"},
		{"type", `"rate": 100`, `"rate": "100"`, "workspaces[0].rate"},
		{"null", `"rate": 100`, `"rate": null`, "workspaces[0].rate"},
		{"fraction", `"slots": 3`, `"slots": 3.5`, "databases[0].slots"},
		{"duration", `"freshness": "2s"`, `"freshness": "2"`, "jobs[1].freshness"},
		{"negative duration", `"freshness": "2s"`, `"freshness": "-2s"`, "jobs[1].freshness"},
		{"name with a slash", `"name": "entries"`, `"name": "ent/ries"`, "databases[0].name"},
		{"all zones drained", `"region": "r"`, `"region": "r", "drained": true`, "zones"},
		{"syntax", `"zones": [`, `"zones": `, ""},
		{"nesting", `"preset": "ordinary"`, `"preset": ` + strings.Repeat("[", 5000), ""},
	}
	for _, c := range cases {
		text := strings.ReplaceAll(validDocument, c.old, c.new)
		_, list := Parse("test.json", []byte(strings.ReplaceAll(text, "VERIFIER", verifier(t))))
		found := slices.ContainsFunc(list, func(f findings.Finding) bool { return f.Path == c.path && f.Line > 0 })
		if !found {
			t.Errorf("%s: want a finding at %q, got %v", c.name, c.path, list)
		}
	}
}

// Guards against reporting only the first finding, and against wrong positions
// after multi-byte characters and tabs.
func TestSeveralFindingsWithPositions(t *testing.T) {
	text := "{\n" +
		"\t\"preset\": \"x\", // ó\n" +
		"\t\"presets\": [{\"name\": \"sólúr\", \"rate_factor\": 0}],\n" +
		"\t\"zones\": [{\"name\": \"a\", \"region\": \"r\"}, {\"name\": \"a\", \"region\": \"r\"}],\n" +
		"\t\"databases\": [],\n" +
		"}"
	_, list := Parse("c.json", []byte(text))
	var got []string
	for _, f := range list {
		got = append(got, fmt.Sprintf("%d:%d %s", f.Line, f.Column, f.Path))
	}
	want := []string{"2:12 preset", "3:47 presets[0].rate_factor", "4:51 zones[1].name", "5:15 databases"}
	if !slices.Equal(got, want) {
		t.Fatalf("got %q, want %q", got, want)
	}
	if !strings.HasPrefix(list[0].String(), "c.json:2:12: preset: ") {
		t.Errorf("String() = %q", list[0])
	}
}

// Guards against a value of the wrong type that hides other findings, or that makes
// valid references look undefined.
func TestDecodingAndCheckingReportTogether(t *testing.T) {
	text := strings.Replace(validDocument, `"zones": [{"name": "a"`, `"zones": [{"name": 1`, 1)
	text = strings.Replace(text, `"slots": 3`, `"slotts": 3`, 1)
	text = strings.Replace(text, `["w1"]`, `["w2"]`, 1)
	_, list := Parse("c.json", []byte(strings.Replace(text, "VERIFIER", verifier(t), 1)))
	var got []string
	for _, f := range list {
		got = append(got, f.Path)
	}
	want := []string{"zones[0].name", "databases[0].slots", "databases[0].slotts", "jobs[0].workspaces[0]"}
	if !slices.Equal(got, want) {
		t.Fatalf("got %v, want %q", list, want)
	}
}

func TestEncodeIsCanonical(t *testing.T) {
	doc := parse(t, validDocument)
	again := parse(t, string(Encode(doc)))
	if changes := Diff(doc, again); len(changes) > 0 || string(Encode(doc)) != string(Encode(again)) {
		t.Fatalf("the document or its canonical form changed in a round trip: %v", changes)
	}
}

func TestDiffNamesItems(t *testing.T) {
	before := parse(t, validDocument)
	text := strings.Replace(validDocument, `"rate": 100`, `"rate": 200`, 1)
	text = strings.Replace(text, `{"name": "maintenance", "refuse_writes": true},`, ``, 1)
	text = strings.Replace(text, `"zones": [`, `"zones": [{"name": "c", "region": "r"}, `, 1)
	got := Diff(before, parse(t, text))
	want := []Change{
		{Kind: Removed, Path: "presets[maintenance]", Old: "maintenance"},
		{Kind: Changed, Path: "workspaces[w1].rate", Old: "100", New: "200"},
		{Kind: Added, Path: "zones[c]", New: "c"},
	}
	if !slices.Equal(got, want) {
		t.Fatalf("got %+v, want %+v", got, want)
	}
}

func TestRecordRoundTrip(t *testing.T) {
	r := Record{Version: 7, RequestID: "r", Author: "ada", Summary: "s", AcceptedUnixMS: 5, Document: validDocument}
	data, err := EncodeRecord(r)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := DecodeRecord(data); err != nil || got != r {
		t.Fatalf("got %+v, %v; want the encoded record", got, err)
	}
	if _, err := DecodeRecord([]byte("{}")); err == nil {
		t.Error("a record without a version was accepted")
	}
}
