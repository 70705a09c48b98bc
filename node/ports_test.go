package node

import (
	"os"
	"testing"
	"time"

	"github.com/chervilhatch/chervilhatch/core"
	"github.com/chervilhatch/chervilhatch/core/config"
	"github.com/chervilhatch/chervilhatch/core/confsync"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/executor"
)

// exampleDocument returns the configuration of the first example.
func exampleDocument(t *testing.T) *config.Document {
	t.Helper()
	text, err := os.ReadFile("../examples/ostemarked/config.jsonc")
	if err != nil {
		t.Fatal(err)
	}
	d, list := config.Parse("example", text)
	if len(list) > 0 {
		t.Fatal(list)
	}
	return d
}

// TestUnreachableMainHolders checks that a batch goes to a standby holder once all
// main holders are reported unreachable. It guards against a report that names no
// database: routing ignores such a report and sends batches to the unreachable
// holder again.
func TestUnreachableMainHolders(t *testing.T) {
	d := exampleDocument(t)
	l := newLoop(clock{start: time.Now()}, core.New(core.Config{Self: "vm-1", Zone: d.Zones[0].Name}))
	active := &activeConfig{loop: l}
	active.set(d)
	l.apply(&core.Event{Confsync: &confsync.Event{Kind: confsync.StoreRead, Version: 1, Config: d}})
	r := &routingAdapter{loop: l, activeConfig: active}
	for _, u := range d.Databases[0].Upstreams {
		r.Unreachable(d.Databases[0].Name, u.ID, false)
	}
	read := &executor.Batch{Class: model.Read, MaxAge: time.Second, Deadline: time.Now().Add(time.Minute)}
	attempt, err := r.Route(t.Context(), executor.Hello{Database: d.Databases[0].Name}, read)
	if err != nil {
		t.Fatal(err)
	}
	if !attempt.Standby {
		t.Errorf("Route chose the unreachable main holder of %s, want a standby holder", attempt.Upstream)
	}
}
