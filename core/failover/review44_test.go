package failover

import (
	"testing"
	"time"

	"github.com/chervilhatch/chervilhatch/dbgroup"
)

// Guards against lost commits after a change of the list of upstreams, if the watcher changes too: the former list is forgotten, by a
// majority of which a commit was acknowledged.
func TestFormerListOutlastsAChangeOfWatchers(t *testing.T) {
	f := newFixture()
	f.status["b"].Received = 10
	f.run(time.Second, noEffect)
	// A commit at 11 is on a and c, a majority of a, b and c. Then d replaces c, and a is lost.
	f.status["a"].Received, f.status["c"].Received = 11, 11
	f.config.Upstreams = []Upstream{{ID: "a", Zone: "z1", Holder: "vm1"}, {ID: "b", Zone: "z2"}, {ID: "d", Zone: "z1"}}
	f.status["d"] = &dbgroup.Status{Promised: term1, LastTerm: term1, Received: 10}
	f.status["c"] = nil
	f.apply(f.config)
	without := f.config
	without.Watcher = false
	f.apply(without)
	f.apply(f.config)
	if u := f.losePrimary(); u != "" {
		t.Fatalf("%s is promoted at 10 by the majority of b and d; 11 was acknowledged by a and c", u)
	}
}
