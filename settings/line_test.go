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
	if s.Admission.Mode != AdmissionWait {
		t.Errorf("default admission = %+v", s.Admission)
	}
	if s.Log.Level != "info" || s.Callers.MaxDescriptors != 4000 || len(s.Peer.Seeds) != 1 {
		t.Errorf("settings = %+v", s)
	}
	if s.Grace.Std() < time.Second {
		t.Error("default grace period is shorter than 1 s")
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
	_, list := ParseLine("file", []byte(`{"vm": {"id": ""}, "peer": {"insecure": false, "advertise": "y"}, "store": {"address": "x"}, "grace": "-1s", "admission": {"mode": "later"}, "more": 1}`))
	text := list.Error()
	for _, path := range []string{"vm.id", "vm.zone", "callers.listen", "peer.insecure", "peer.advertise", "store.address", "promoter.address", "admission.mode", "grace", "more"} {
		if !strings.Contains(text, path+":") {
			t.Errorf("no finding for %s in:\n%s", path, text)
		}
	}
}
