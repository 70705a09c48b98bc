package confsync

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// simulation runs three zones of two VMs. The first VM of a zone is its relay.
// Messages are delayed and lost, and each VM's clock has its own offset.
type simulation struct {
	rng *rand.Rand
	now time.Duration
	vms []*simulatedVM
	// storeUp is true for the zones that can reach the store.
	storeUp map[model.Zone]bool
	// acceptedAt holds the time at which each version was accepted.
	acceptedAt []time.Duration
	pending    []message
	// outageConfirmations counts the observations of recent evidence while no
	// zone could reach the store.
	outageConfirmations int
}

type simulatedVM struct {
	id     model.VMID
	zone   model.Zone
	relay  bool
	offset time.Duration
	state  *State
}

// message is an event in transit to a VM.
type message struct {
	to        *simulatedVM
	deliverAt time.Duration
	event     Event
}

func newSimulation(seed uint64) *simulation {
	s := &simulation{rng: rand.New(rand.NewPCG(seed, 1)), storeUp: map[model.Zone]bool{}}
	ids := []model.VMID{"a1", "a2", "b1", "b2", "c1", "c2"}
	for _, id := range ids {
		offset := time.Duration(s.rng.Int64N(int64(time.Hour)))
		s.vms = append(s.vms, &simulatedVM{id: id, zone: zoneOf(id), relay: id[1] == '1', offset: offset, state: New(id)})
		s.storeUp[zoneOf(id)] = true
	}
	for _, vm := range s.vms {
		s.deliver(vm, members(ids...))
	}
	return s
}

func (s *simulation) clock(vm *simulatedVM) model.Time { return model.Time(s.now + vm.offset) }

func (s *simulation) delay() time.Duration {
	return time.Duration(s.rng.Int64N(int64(2 * time.Second)))
}

// deliver applies an event and sends the documents that it produces.
func (s *simulation) deliver(vm *simulatedVM, ev Event) {
	for _, e := range vm.state.Apply(s.clock(vm), &ev, nil) {
		if e.Kind == Send {
			s.send(s.vm(e.VM), Event{Kind: PeerDocument, VM: vm.id, Version: e.Version, Config: parsedDocument})
		}
	}
}

func (s *simulation) vm(id model.VMID) *simulatedVM {
	for _, vm := range s.vms {
		if vm.id == id {
			return vm
		}
	}
	return nil
}

// send queues a message with a random delay, and drops one in four.
func (s *simulation) send(to *simulatedVM, ev Event) {
	if s.rng.IntN(4) > 0 {
		s.pending = append(s.pending, message{to, s.now + s.delay(), ev})
	}
}

// sendReport sends the report with which from answers an earlier message of to.
func (s *simulation) sendReport(from, to *simulatedVM) {
	askedAt := s.clock(to).Add(-s.delay())
	ev := Event{Kind: PeerReport, VM: from.id, Zone: from.zone, Version: from.state.Version()}
	if age, ok := from.state.ConfirmedAge(s.clock(from)); ok {
		ev.HasEvidence, ev.At = true, askedAt.Add(-age)
	}
	if age, ok := from.state.StoreUnreachableAge(from.zone, s.clock(from)); ok {
		ev.StoreUnreachable, ev.UnreachableAt = true, askedAt.Add(-age)
	}
	s.send(to, ev)
}

// accessStore makes a relay read the store or accept a change.
func (s *simulation) accessStore(vm *simulatedVM) {
	switch {
	case !s.storeUp[vm.zone]:
		s.deliver(vm, Event{Kind: StoreUnreachable, Zone: vm.zone, At: s.clock(vm)})
	case s.rng.IntN(3) == 0:
		s.acceptedAt = append(s.acceptedAt, s.now)
		s.deliver(vm, storeChange(uint64(len(s.acceptedAt))))
	default:
		read := Event{Kind: StoreRead, Version: uint64(len(s.acceptedAt)), Config: parsedDocument, At: s.clock(vm)}
		s.pending = append(s.pending, message{vm, s.now + s.delay(), read})
	}
}

func (s *simulation) step() error {
	s.now += time.Duration(s.rng.Int64N(int64(100 * time.Millisecond)))
	s.injectFault()
	from, to := s.vms[s.rng.IntN(len(s.vms))], s.vms[s.rng.IntN(len(s.vms))]
	if from.relay {
		s.accessStore(from)
	}
	if from != to {
		s.sendReport(from, to)
	}
	due := s.pending
	s.pending = nil
	for _, m := range due {
		if m.deliverAt > s.now {
			s.pending = append(s.pending, m)
			continue
		}
		s.deliver(m.to, m.event)
	}
	return s.checkConfirmations()
}

// injectFault occasionally disconnects all zones from the store, or sets the
// connection of one zone at random.
func (s *simulation) injectFault() {
	switch s.rng.IntN(200) {
	case 0:
		for _, vm := range s.vms {
			s.storeUp[vm.zone] = false
		}
	case 1, 2:
		s.storeUp[s.vms[s.rng.IntN(len(s.vms))].zone] = s.rng.IntN(2) == 0
	}
}

// checkConfirmations verifies that each VM has every change that was accepted
// before the time of its evidence.
func (s *simulation) checkConfirmations() error {
	for _, vm := range s.vms {
		age, ok := vm.state.ConfirmedAge(s.clock(vm))
		if !ok {
			continue
		}
		version := int(vm.state.Version())
		if version < len(s.acceptedAt) && s.acceptedAt[version] < s.now-age {
			return fmt.Errorf("at %v, %s has version %d confirmed %v ago, but version %d was accepted at %v",
				s.now, vm.id, version, age, version+1, s.acceptedAt[version])
		}
		if age < time.Second && !s.storeUp["a"] && !s.storeUp["b"] && !s.storeUp["c"] {
			s.outageConfirmations++
		}
	}
	return nil
}

// Guards against evidence for a version that was no longer the newest, with
// messages lost and delayed and zones disconnected from the store at random.
func TestEvidenceIsOlderThanAnyMissingChange(t *testing.T) {
	for seed := range uint64(20) {
		s := newSimulation(seed)
		for range 3000 {
			if err := s.step(); err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
		}
		if s.outageConfirmations == 0 || len(s.acceptedAt) < 10 {
			t.Fatalf("seed %d: %d confirmations by outage and %d changes; want at least 1 and 10",
				seed, s.outageConfirmations, len(s.acceptedAt))
		}
	}
}
