package quota

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/chervilhatch/chervilhatch/core/catalog"
	"github.com/chervilhatch/chervilhatch/core/model"
)

// fleet simulates VMs that exchange reports with a delay.
type fleet struct {
	t           *testing.T
	random      *rand.Rand
	now         model.Time
	rate        float64
	burst       float64
	names       []model.VMID
	vms         []*State
	partitioned map[int]bool
	pending     []delivery
	// admitted has the times of admissions; refused and requested are counts of
	// operations.
	admitted  []model.Time
	refused   int
	requested int
}

type delivery struct {
	at         model.Time
	from       int
	reportedAt model.Time
	r          Report
}

const step = 10 * time.Millisecond

func newFleet(t *testing.T, seed uint64, n int, rate, burst float64) *fleet {
	f := &fleet{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), now: model.Time(time.Hour),
		rate: rate, burst: burst, partitioned: map[int]bool{},
	}
	for i := range n {
		f.names = append(f.names, model.VMID(fmt.Sprintf("vm-%d", i)))
		f.vms = append(f.vms, nil)
	}
	for i := range n {
		f.start(i)
	}
	return f
}

// start replaces a VM by a newly started one.
func (f *fleet) start(i int) {
	s := New(f.names[i])
	c := (&catalog.Snapshot{Version: 1, Workspaces: []catalog.Workspace{{Name: "w", Rate: f.rate, Burst: f.burst}}}).Index()
	s.SetMembers(f.now, f.names, others(f.names, i))
	s.Configure(f.now, c)
	f.vms[i] = s
}

// others returns all names except the one at index i.
func others(names []model.VMID, i int) []model.VMID {
	list := slices.Clone(names)
	return slices.Delete(list, i, i+1)
}

// run simulates the time d; demand is the number of operations per second on each VM.
// Each VM reports every 30 steps (300 ms), the VMs in turn.
func (f *fleet) run(d time.Duration, demand []float64) {
	for end := f.now.Add(d); f.now < end; f.now = f.now.Add(step) {
		f.deliver()
		for i, s := range f.vms {
			f.request(s, demand[i]*step.Seconds())
			if int(f.now/model.Time(step))%30 == i {
				f.report(i, s)
			}
		}
	}
}

// request makes a random number of requests with the given mean.
func (f *fleet) request(s *State, mean float64) {
	for mean > 0 {
		if f.random.Float64() < min(mean, 1) {
			f.requested++
			if s.Admit(f.now, "w").Admitted {
				f.admitted = append(f.admitted, f.now)
			} else {
				f.refused++
			}
		}
		mean--
	}
}

func (f *fleet) report(i int, s *State) {
	r := Report{VM: f.names[i], Incarnation: 1, Demands: s.Tick(f.now)}
	delay := time.Duration(f.random.IntN(300)) * time.Millisecond
	f.pending = append(f.pending, delivery{at: f.now.Add(delay), from: i, reportedAt: f.now, r: r})
}

func (f *fleet) deliver() {
	kept := f.pending[:0]
	for _, d := range f.pending {
		if d.at > f.now {
			kept = append(kept, d)
			continue
		}
		for j, s := range f.vms {
			if j != d.from && !f.partitioned[j] && !f.partitioned[d.from] {
				s.AddReport(d.reportedAt, &d.r)
			}
		}
	}
	f.pending = kept
}

// checkRate fails the test if more operations were admitted in some window than the
// rate allows. The tolerance is the one specified to operators: 10 % plus 20
// operations.
func (f *fleet) checkRate() {
	f.t.Helper()
	const window = 5 * time.Second
	allowed := (f.rate*window.Seconds()+f.burst)*1.1 + 20
	first := 0
	for i, at := range f.admitted {
		for at.Sub(f.admitted[first]) > window {
			first++
		}
		if n := float64(i - first + 1); n > allowed {
			f.t.Fatalf("%.0f operations admitted in the window that ends at %s, %.0f allowed",
				n, at.Sub(model.Time(time.Hour)), allowed)
		}
	}
}

func (f *fleet) resetCounts() { f.refused, f.requested, f.admitted = 0, 0, nil }

// unevenWeights is the distribution of callers over VMs on a platform that assigns
// them by hash.
var unevenWeights = []float64{0.03, 0.22, 0.06, 0.12, 0.05, 0.28, 0.16, 0.08}

func demandOf(total float64) []float64 {
	demand := make([]float64, len(unevenWeights))
	for i, part := range unevenWeights {
		demand[i] = total * part
	}
	return demand
}

// Guards against refusals within the rate because the tokens are held by other VMs:
// callers are distributed unevenly, and each VM gets few operations per second.
func TestNothingRefusedWithinTheRate(t *testing.T) {
	for _, rate := range []float64{25, 140} {
		for seed := range uint64(40) {
			f := newFleet(t, seed, len(unevenWeights), rate, rate)
			f.run(6*time.Second, demandOf(rate/1.6))
			f.resetCounts()
			f.run(20*time.Second, demandOf(rate/1.6))
			if f.refused > 0 {
				t.Fatalf("rate %.0f, seed %d: %d of %d operations refused", rate, seed, f.refused, f.requested)
			}
		}
	}
}

// Guards against exceeding the rate when the load of a workspace suddenly rises to a
// multiple of its usual load, on all VMs or on one.
func TestFloodStaysWithinTheRate(t *testing.T) {
	for seed := range uint64(40) {
		f := newFleet(t, seed, len(unevenWeights), 100, 100)
		f.run(8*time.Second, demandOf(62))
		f.run(8*time.Second, demandOf(62*7.5))
		oneVM := demandOf(62)
		oneVM[0] = 500
		f.run(8*time.Second, oneVM)
		f.checkRate()
	}
}

// Guards against exceeding the rate when VMs restart or are partitioned during an
// overload, and when the partition heals.
func TestFloodWithRestartsAndPartitions(t *testing.T) {
	for seed := range uint64(40) {
		f := newFleet(t, seed, len(unevenWeights), 100, 100)
		f.run(6*time.Second, demandOf(300))
		f.partitioned = map[int]bool{1: true, 5: true}
		f.run(5*time.Second, demandOf(300))
		f.partitioned = map[int]bool{}
		f.run(2*time.Second, demandOf(300))
		for i := range f.vms {
			f.start(i)
		}
		f.run(6*time.Second, demandOf(300))
		f.checkRate()
	}
}

// Guards against admitting far less than the rate during an overload.
func TestFloodGetsTheRate(t *testing.T) {
	for seed := range uint64(10) {
		f := newFleet(t, seed, len(unevenWeights), 100, 100)
		f.run(6*time.Second, demandOf(300))
		f.resetCounts()
		f.run(10*time.Second, demandOf(300))
		if got := float64(len(f.admitted)) / 10; got < 90 {
			t.Fatalf("seed %d: %.0f operations per second admitted, want at least 90 of a rate of 100", seed, got)
		}
	}
}

// Guards against exceeding the rate when all VMs are isolated: each may use no more
// than an even share.
func TestIsolatedVMUsesAnEvenShare(t *testing.T) {
	f := newFleet(t, 1, len(unevenWeights), 80, 80)
	for i := range f.vms {
		f.partitioned[i] = true
	}
	f.run(5*time.Second, demandOf(80))
	f.resetCounts()
	f.run(10*time.Second, demandOf(800))
	f.checkRate()
}

// Guards against refusals within the rate after a network partition has healed:
// operations that the other side admitted during the partition came out of the share
// reserved for it and must not be subtracted again.
func TestNothingRefusedAfterAPartition(t *testing.T) {
	for seed := range uint64(40) {
		f := newFleet(t, seed, len(unevenWeights), 100, 100)
		f.run(8*time.Second, demandOf(62))
		f.partitioned = map[int]bool{1: true, 5: true}
		f.run(6*time.Second, demandOf(62))
		f.partitioned = map[int]bool{}
		f.run(time.Second, demandOf(62))
		f.resetCounts()
		f.run(5*time.Second, demandOf(62))
		if f.refused > 0 {
			t.Errorf("seed %d: %d of %d operations refused", seed, f.refused, f.requested)
		}
	}
}

// Guards against refusals within the rate after all VMs have restarted: a VM whose
// demand its peers do not know yet still gets an even share.
func TestFewRefusedAfterAllVMsRestart(t *testing.T) {
	requested, refused := 0, 0
	for seed := range uint64(40) {
		f := newFleet(t, seed, len(unevenWeights), 100, 100)
		f.run(8*time.Second, demandOf(62))
		for i := range f.vms {
			f.start(i)
		}
		f.resetCounts()
		f.run(3*time.Second, demandOf(62))
		requested, refused = requested+f.requested, refused+f.refused
	}
	if refused*100 > requested {
		t.Errorf("%d of %d operations refused", refused, requested)
	}
}
