package property

import (
	"strings"
	"testing"
	"time"
)

// Guards against reads on a copy that lacks commits which they have to see: under random
// faults, the evidence and the floors of all VMs must cover every commit that was
// acknowledged before, for all bounds and sessions.
func TestFloorCoversAcknowledgedCommits(t *testing.T) {
	for _, tt := range []struct {
		name   string
		faults int
		seeds  int64
		// reads looks only for reads that are served without a commit, not for evidence
		// from which they may come.
		reads bool
	}{
		{"reads, crashes and planned replacements", faultCrash | faultReplace, 200, true},
		{"reads, crashes and lost upstreams", faultCrash | faultLoss, 50, true},
		{"deaf and lost upstreams", faultDeaf | faultLoss, 150, false},
		{"crashes and restarts", faultCrash | faultRestart, 50, false},
		{"all but expired registrations", faultAll &^ faultStoreCut, 80, false},
		{"all", faultAll, 50, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			floors, promotions := 0, 0
			for seed := range tt.seeds {
				w := newFloorWorld(seed, 3, tt.faults)
				w.readsOnly = tt.reads
				w.run(30 * time.Second)
				if w.violation != "" {
					t.Fatalf("seed %d: %s\n%s", seed, w.violation, strings.Join(w.history, "\n"))
				}
				floors, promotions = floors+w.floors, promotions+w.promotions
			}
			if floors == 0 || promotions == 0 {
				t.Errorf("%d floors and %d promotions seen", floors, promotions)
			}
		})
	}
}
