package cli

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/chervilhatch/chervilhatch/core/config"
	operatorv1 "github.com/chervilhatch/chervilhatch/proto/operator/v1"
)

const document = `{
	// The preset in force.
	"preset": "ordinary",
	"presets": [{"name": "ordinary"}, {"name": "peak", "rate_factor": 2}],
	"zones": [{"name": "a", "region": "r"}, {"name": "b", "region": "r"}],
	"databases": [{"name": "entries", "slots": 1, "connections": 10,
		"upstreams": [{"id": "u1", "zone": "a", "address": "127.0.0.1:5432"}]}],
	"workspaces": [{"name": "w1", "rate": 1, "burst": 1}],
	"jobs": [{"name": "j1", "database": "entries", "workspaces": ["w1"], "freshness": "2s"}],
}
`

var (
	accepted = &operatorv1.ApplyConfigResponse{Outcome: operatorv1.ApplyConfigResponse_OUTCOME_ACCEPTED, Version: 8}
	inForce  = []*operatorv1.WaitInForceResponse{
		{Version: 8, Confirmed: []string{"vm1"}, Missing: []string{"vm2"}},
		{Version: 8, Confirmed: []string{"vm1", "vm2"}, Done: true},
	}
)

func writeFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// Each outcome of a change has to have its exit code and message, so that scripts
// can tell the outcomes apart.
func TestOutcomesAndExitCodes(t *testing.T) {
	winner := &operatorv1.GetConfigResponse{Version: 8, Author: "eve", Summary: "more rate"}
	cases := []struct {
		name     string
		answer   *operatorv1.ApplyConfigResponse
		progress []*operatorv1.WaitInForceResponse
		code     int
		stderr   string
	}{
		{"accepted", accepted, inForce, 0, "version 8 is in force on 1 of 2 VMs"},
		{"not in force", accepted, inForce[:1], 5, "not confirmed by vm2"},
		{"conflict", &operatorv1.ApplyConfigResponse{Outcome: operatorv1.ApplyConfigResponse_OUTCOME_CONFLICT, Version: 9, Winner: winner},
			nil, 3, `version 8 by eve at 1970-01-01T00:00:00Z came first: "more rate"; the newest version is 9`},
		{"unavailable", &operatorv1.ApplyConfigResponse{Outcome: operatorv1.ApplyConfigResponse_OUTCOME_STORE_UNAVAILABLE},
			nil, 4, "nothing was changed"},
		{"unknown", &operatorv1.ApplyConfigResponse{Outcome: operatorv1.ApplyConfigResponse_OUTCOME_UNKNOWN},
			nil, 4, "outcome unknown"},
	}
	for _, c := range cases {
		server := &fakeServer{document: document, answer: c.answer, progress: c.progress}
		_, stderr := startServer(t, server).run(c.code, "preset", "use", "peak")
		if !strings.Contains(stderr, c.stderr) {
			t.Errorf("%s: stderr %q lacks %q", c.name, stderr, c.stderr)
		}
		r := server.lastApply
		if r.GetExpectedVersion() != 7 || r.GetAuthor() != "bob" || r.GetSummary() != "use preset peak" || r.GetRequestId() == "" {
			t.Errorf("%s: sent %v", c.name, r)
		}
		doc, list := config.Parse("sent", r.GetDocument())
		if len(list) > 0 || doc.Preset != "peak" || !strings.Contains(string(r.GetDocument()), "// The preset in force.") {
			t.Errorf("%s: sent %s: %v", c.name, r.GetDocument(), list)
		}
	}
}

// The key itself must not be sent to a daemon or printed to stderr, and it has to
// be printed even if the outcome of the change is unknown.
func TestKeyGrantShowsTheKeyAndSendsTheVerifier(t *testing.T) {
	for answer, code := range map[*operatorv1.ApplyConfigResponse]int{
		accepted: 0,
		{Outcome: operatorv1.ApplyConfigResponse_OUTCOME_UNKNOWN}: 4,
	} {
		server := &fakeServer{document: document, answer: answer, progress: inForce}
		stdout, stderr := startServer(t, server).run(code, "--output", "json", "key", "grant", "w1", "--id", "k9")
		var r changeResult
		if err := json.Unmarshal([]byte(stdout), &r); err != nil || r.KeyID != "k9" || len(r.Key) < 32 {
			t.Fatalf("stdout %q: %v", stdout, err)
		}
		doc, list := config.Parse("sent", server.lastApply.GetDocument())
		if err := list.Err(); err != nil || doc.Key("w1", "k9") == nil {
			t.Fatalf("sent %s: %v", server.lastApply.GetDocument(), err)
		}
		if strings.Contains(server.lastApply.String()+stderr, r.Key) {
			t.Error("the key was sent or logged")
		}
	}
}

// config apply has to send the version that the file is based on; otherwise it
// would overwrite changes accepted in the meantime.
func TestApplyTakesTheVersionThatShowPrinted(t *testing.T) {
	server := &fakeServer{document: document, answer: accepted, progress: inForce}
	c := startServer(t, server)
	shown, _ := c.run(0, "config", "show")
	c.run(0, "config", "apply", writeFile(t, shown))
	if server.lastApply.GetExpectedVersion() != 7 || string(server.lastApply.GetDocument()) != document {
		t.Errorf("sent %v", server.lastApply)
	}
	path := writeFile(t, document)
	server.lastApply = nil
	c.run(1, "config", "apply", path)
	if server.lastApply != nil {
		t.Error("a file of unknown version was sent")
	}
	c.run(0, "config", "apply", path, "--expected", "3")
	if server.lastApply.GetExpectedVersion() != 3 {
		t.Errorf("sent %v", server.lastApply)
	}
}

// An invalid document has to be rejected before it is sent to a daemon.
func TestFindingsAreReportedBeforeSending(t *testing.T) {
	server := &fakeServer{document: strings.Replace(document, `"name": "b", "region": "r"`, `"name": "b", "region": "r", "drained": true`, 1)}
	c := startServer(t, server)
	path := writeFile(t, strings.Replace(document, `"slots": 1, "connections": 10`, `"slots": 0, "connections": 9`, 1))
	_, stderr := c.run(2, "config", "check", path)
	if lines := strings.Split(strings.TrimSpace(stderr), "\n"); len(lines) != 2 || !strings.HasPrefix(lines[0], path+":6:") {
		t.Errorf("stderr %q", stderr)
	}
	c.run(2, "config", "apply", path, "--expected", "7")
	c.run(2, "zone", "drain", "a")
	c.run(1, "zone", "drain", "c")
	if server.lastApply != nil {
		t.Error("an invalid document was sent")
	}
}

func TestTables(t *testing.T) {
	c := startServer(t, &fakeServer{document: document})
	changed := writeFile(t, strings.Replace(document, `"rate_factor": 2`, `"rate_factor": 3`, 1))
	cases := []struct {
		args []string
		want string
	}{
		{[]string{"config", "diff", changed}, "changed  presets[peak].rate_factor  2    3"},
		{[]string{"preset", "list"}, "ordinary  yes       1"},
		{[]string{"job", "list"}, "j1   entries   w1          2s"},
		{[]string{"status"}, "entries   3.vm1  0         u1        a     primary"},
		{[]string{"config", "show", "--canonical"}, `"key_grace": "5s"`},
		{[]string{"--output", "json", "job", "list"}, `"statement_timeout": "30s"`},
	}
	for _, tc := range cases {
		if stdout, _ := c.run(0, tc.args...); !strings.Contains(stdout, tc.want) {
			t.Errorf("%v: %q lacks %q", tc.args, stdout, tc.want)
		}
	}
	c.run(1, "key", "list", "w9")
	c.run(1, "no-such-command")
}
