package linenode

import (
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/chervilhatch/chervilhatch/boottime"
	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/core/replicaset"
	"github.com/chervilhatch/chervilhatch/store"
)

func (c *cluster) evacuatedZone(zone model.Zone) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.replicas.Evacuated(zone)
}

// Guards against an evacuation that ends because the store came back from a copy that
// lacks it, one that outlasts the grace period, and one that is kept although an operator
// took it back.
func TestEvacuationMissingFromCopyIsKept(t *testing.T) {
	c := newCluster(Options{VM: "vm-0", Zone: "z", Log: zerolog.Nop(), Registry: metrics.NewRegistry()})
	c.applyEvacuations(store.Revision(1, 50), []string{"x", "y"})
	c.applyEvacuations(store.Revision(1, 51), []string{"x"})
	if c.evacuatedZone("y") {
		t.Error("evacuation y was taken back and is in force")
	}
	c.applyEvacuations(store.Revision(2, 7), nil)
	c.dropKeptZones()
	if !c.evacuatedZone("x") {
		t.Error("evacuation x ended at once")
	}
	c.applyEvacuations(store.Revision(2, 8), []string{"w"})
	if !c.evacuatedZone("x") || !c.evacuatedZone("w") {
		t.Error("evacuation x or w is not in force")
	}
	c.keptZones["x"] = boottime.Now().Add(-time.Millisecond)
	c.dropKeptZones()
	if c.evacuatedZone("x") || !c.evacuatedZone("w") {
		t.Errorf("evacuation x is in force after %v, or w is not", replicaset.MissingGracePeriod)
	}
}
