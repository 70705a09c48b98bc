package property

import (
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against strict reads and writes on a former primary that serves on: under
// random partitions between VMs, upstreams and the store, with frozen and restarted VMs
// and promotion calls that are carried out late, no VM may hold a confirmation of a
// primary beyond the promotion of another one.
func TestNoConfirmationOutlivesAPromotion(t *testing.T) {
	promotions, confirmed := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Int64().Draw(t, "seed")
		vms := rapid.IntRange(1, 6).Draw(t, "vms")
		w := newConfirmWorld(seed, vms, rapid.Bool().Draw(t, "fencesChecked"))
		w.run(40 * time.Second)
		promotions, confirmed = promotions+len(w.promotions), confirmed+w.confirmed
		if w.violation != "" {
			t.Fatalf("%s\n%s", w.violation, strings.Join(w.history, "\n"))
		}
	})
	if promotions == 0 || confirmed == 0 {
		t.Errorf("%d promotions and %d confirmations seen", promotions, confirmed)
	}
	t.Logf("%d promotions, %d confirmations", promotions, confirmed)
}

// Guards against a simulation that cannot detect the use of a former primary: a lease
// holder that does not ask the VMs that vouch for the primary must cause a violation.
func TestSimulationDetectsIgnoredVoters(t *testing.T) {
	for seed := range int64(200) {
		w := newConfirmWorld(seed, 5, true)
		w.votersIgnored = true
		if w.run(40 * time.Second); w.violation != "" {
			return
		}
	}
	t.Error("no run detects a lease holder that ignores the voters")
}
