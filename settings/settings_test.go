package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/chervilhatch/chervilhatch/findings"
)

const valid = `{
	"vm": {"id": "vm1", "zone": "a"}, // comment
	"caller": {"listen": ":5432", "cert": "tls/caller.pem", "key": "/abs/caller.key"},
	"peer": {"listen": ":7432", "advertise": "127.0.0.1:7432", "tls": {"cert": "p.pem", "key": "p.key", "ca": "ca.pem"}},
	"operator": {"listen": ":7433"},
	"platform": {"addresses": ["127.0.0.1:2379"]},
	"upstream": {"user": "proxy", "password_file": "pw"},
}`

// Guards against relative paths that are resolved against the working directory
// instead of the directory of the settings file, and against passwords in logs.
func TestLoad(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "settings.json")
	write(t, path, valid)
	write(t, filepath.Join(dir, "pw"), "s3cret\n")
	s, err := Load(path)
	if err != nil {
		t.Fatal(err)
	}
	if s.Caller.Cert != filepath.Join(dir, "tls/caller.pem") || s.Caller.Key != "/abs/caller.key" {
		t.Errorf("caller = %+v", s.Caller)
	}
	if *s.Operator.TLS != s.Peer.TLS || s.Peer.TLS.CA != filepath.Join(dir, "ca.pem") {
		t.Errorf("operator TLS = %+v", s.Operator.TLS)
	}
	encoded, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	shown := fmt.Sprintf("%v %+v %#v %s", s, s, s.Upstream, encoded)
	if s.Upstream.Password.Reveal() != "s3cret" || strings.Contains(shown, "s3cret") {
		t.Error("the password was not read, or is not redacted")
	}
	if !s.Caller.RequireTLS || s.Log.Format != "json" || s.Trace.Exporter != TraceNone || s.Platform.Timeout.Std() != DefaultPlatformTimeout {
		t.Errorf("defaults = %+v", s)
	}
}

func write(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// Guards against a missing check, and against a finding for the wrong field.
func TestCheckFindsEachFault(t *testing.T) {
	cases := []struct{ old, new, path string }{
		{`"id": "vm1"`, `"id": ""`, "vm.id"},
		{`"zone": "a"`, `"zone": "a/b"`, "vm.zone"},
		{`":5432"`, `"5432"`, "caller.listen"},
		{`"cert": "tls/caller.pem", `, ``, "caller"},
		{`"advertise": "127.0.0.1:7432"`, `"advertise": "127.0.0.1:7432", "seeds": ["vm2"]`, "peer.seeds[0]"},
		{`"advertise": "127.0.0.1:7432"`, `"advertise": ":7432"`, "peer.advertise"},
		{`, "ca": "ca.pem"`, ``, "peer.tls.ca"},
		{`":7433"`, `":99999"`, "operator.listen"},
		{`["127.0.0.1:2379"]`, `[]`, "platform.addresses"},
		{`"user": "proxy"`, `"user": ""`, "upstream.user"},
		{`"password_file": "pw"`, `"password_file": "pw", "password": "x"`, "upstream"},
		{`"operator"`, `"log": {"level": "loud"}, "operator"`, "log.level"},
		{`"operator"`, `"trace": {"exporter": "otlp"}, "operator"`, "trace.endpoint"},
		{`"operator"`, `"trace": {"exporter": "file"}, "operator"`, "trace.file"},
		{`"operator"`, `"tracing": {}, "operator"`, "tracing"},
	}
	for _, c := range cases {
		_, list := Parse("s.json", []byte(strings.Replace(valid, c.old, c.new, 1)))
		if !slices.ContainsFunc(list, func(f findings.Finding) bool { return f.Path == c.path && f.Line > 0 }) {
			t.Errorf("%s: want a finding at %q, got %v", c.new, c.path, list)
		}
	}
}

// Guards against reporting only the first finding of a file.
func TestLoadReportsAllFindings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.json")
	write(t, path, `{"vm": {"id": "vm 1"}}`)
	_, err := Load(path)
	var list findings.List
	if !errors.As(err, &list) || len(list) < 5 {
		t.Fatalf("Load = %v", err)
	}
}
