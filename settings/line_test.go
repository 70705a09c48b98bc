package settings

import (
	"strings"
	"testing"
	"time"
)

const lineFile = `{
  // comment
  "vm": {"id": "vm-1", "zone": "z"},
  "callers": {"listen": "10.0.0.1:1", "max_descriptors": 4000},
  "ready": {"listen": "10.0.0.1:2"},
  "peer": {"listen": "10.0.0.1:3", "insecure": true, "seeds": ["10.0.0.2:3"]},
  "store": {"address": "10.0.0.9:4"},
  "promoter": {"address": "10.0.0.9:5"},
}`

func TestParseLine(t *testing.T) {
	s, list := ParseLine("file", []byte(lineFile))
	if len(list) > 0 {
		t.Fatal(list)
	}
	if s.Grace.Std() != DefaultGrace || s.Store.Timeout.Std() != DefaultStoreTimeout || s.Store.WatchWait.Std() != DefaultWatchWait {
		t.Errorf("defaults = %+v", s)
	}
	if s.Balance.Mode != BalanceLeast {
		t.Errorf("balance mode = %q without a setting", s.Balance.Mode)
	}
	if s.Admission.Mode != AdmissionWait {
		t.Errorf("default admission = %+v", s.Admission)
	}
	if s.Log.Level != "info" || s.Callers.MaxDescriptors != 4000 || len(s.Peer.Seeds) != 1 {
		t.Errorf("settings = %+v", s)
	}
	if s.Grace.Std() < time.Second {
		t.Error("default grace period is shorter than 1 s")
	}
	if s.Connections.Division != DivisionFixed {
		t.Errorf("division of connections = %q", s.Connections.Division)
	}
	if s.Peer.Address() != "10.0.0.1:3" {
		t.Errorf("peer address = %s", s.Peer.Address())
	}
	s.Peer.Advertise = "10.0.0.7:3"
	if s.Peer.Address() != "10.0.0.7:3" {
		t.Errorf("peer address = %s", s.Peer.Address())
	}
}

// Guards against invalid files that are accepted, and against reporting only the
// first finding.
func TestLineFindings(t *testing.T) {
	_, list := ParseLine("file", []byte(`{"vm": {"id": ""}, "peer": {"insecure": false, "advertise": "y"}, "store": {"address": "x"}, "grace": "-1s", "connections": {"division": "none"}, "balance": {"mode": "fair"}, "admission": {"mode": "later"}, "more": 1}`))
	text := list.Error()
	for _, path := range []string{"vm.id", "vm.zone", "callers.listen", "peer.insecure", "peer.advertise", "store.address", "promoter.address", "grace", "connections.division", "balance.mode", "admission.mode", "more"} {
		if !strings.Contains(text, path+":") {
			t.Errorf("no finding for %s in:\n%s", path, text)
		}
	}
}

// Guards against reports of usage without the setting, and against settings under which
// no report could be complete in time.
func TestUsageSettings(t *testing.T) {
	s, list := ParseLine("file", []byte(lineFile))
	if len(list) > 0 || s.Usage != nil {
		t.Fatalf("usage = %+v without the setting, findings %v", s.Usage, list)
	}
	withUsage := func(text string) (*Line, string) {
		s, list := ParseLine("file", []byte(strings.Replace(lineFile, `"promoter"`, `"usage": `+text+`, "promoter"`, 1)))
		if len(list) == 0 {
			return s, ""
		}
		return s, list.Error()
	}
	s, text := withUsage(`{"window": "5s", "due": "10s", "lease": "3000ms"}`)
	if text != "" || s.Usage.Window.Std() != 5*time.Second || s.Usage.Due.Std() != 10*time.Second || s.Usage.Lease.Std() != 3*time.Second {
		t.Fatalf("usage = %+v, findings %s", s, text)
	}
	for bad, paths := range map[string][]string{
		`{}`:                               {"usage.window", "usage.due"},
		`{"window": "10ms", "due": "10s"}`: {"usage.window"},
		`{"window": "5s", "due": "2s"}`:    {"usage.due"},
		`{"window": "1s", "due": "1h"}`:    {"usage.due"},
		`{"window": "5s", "due": "10s", "lease": "-1s"}`:      {"usage.lease"},
		`{"window": "5s", "due": "10s", "more": 1}`:           {"usage.more"},
		`{"window": "five", "due": "10s", "lease": "3000ms"}`: {"usage.window"},
	} {
		_, text := withUsage(bad)
		for _, path := range paths {
			if !strings.Contains(text, path+":") {
				t.Errorf("%s: no finding for %s in: %s", bad, path, text)
			}
		}
	}
}
