package linenode

import (
	"encoding/json"
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/chervilhatch/chervilhatch/boottime"
	"github.com/chervilhatch/chervilhatch/store"
)

// entryOf returns a VM's member entry as read from the store.
func entryOf(t *testing.T, vm string, e memberEntry) store.KeyValue {
	value, err := json.Marshal(e)
	if err != nil {
		t.Fatal(err)
	}
	return store.KeyValue{Key: membersPrefix + vm, Value: value, ModRevision: 1}
}

// Guards against a VM that is not ready for a while after a restart although the list
// of VMs has outlived it, and against one that takes a list for complete that it read
// right after it wrote its own new entry, when VMs that start at the same time may not
// be listed.
func TestListWithPreviousEntryIsComplete(t *testing.T) {
	for _, tt := range []struct {
		name        string
		incarnation func(*members) uint64
		want        bool
	}{
		{"entry of the previous incarnation", func(m *members) uint64 { return m.incarnation + 1 }, true},
		{"entry of this incarnation", func(m *members) uint64 { return m.incarnation }, false},
	} {
		o := Options{VM: "vm-1", Zone: "z", Log: zerolog.Nop(), Registry: metrics.NewRegistry()}
		c := newCluster(o)
		m := newMembers(o, c)
		own := m.self()
		own.Incarnation = tt.incarnation(m)
		m.applyList(boottime.Now(), m.decode([]store.KeyValue{entryOf(t, "vm-1", own), entryOf(t, "vm-2", memberEntry{Address: "a", Zone: "z"})}))
		if m.known() != tt.want {
			t.Errorf("%s: other VMs known: %t", tt.name, m.known())
		}
	}
	m := newMembers(Options{VM: "vm-1", Log: zerolog.Nop(), Registry: metrics.NewRegistry()}, newCluster(Options{VM: "vm-1"}))
	m.writtenAt = boottime.Now()
	m.applyList(m.writtenAt.Add(listSettleTime+time.Millisecond), m.decode([]store.KeyValue{entryOf(t, "vm-1", m.self())}))
	if !m.known() {
		t.Error("the list was read after listSettleTime and other VMs are not known")
	}
}
