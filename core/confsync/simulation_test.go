package confsync

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

// simulation has three zones of two VMs; the first VM of a zone is its relay.
// Messages are delayed and lost, and each VM's clock has an offset of its own.
type simulation struct {
	rng *rand.Rand
	now time.Duration
	vms []*simulatedVM
	// storeUp says which zones reach the store.
	storeUp map[model.Zone]bool
	// accepted has when each version was accepted.
	accepted []time.Duration
	pending  []message
	// byOutage counts confirmations while no zone reached the store.
	byOutage int
}

type simulatedVM struct {
	id     model.VMID
	zone   model.Zone
	relay  bool
	offset time.Duration
	state  *State
}

// message is an event that is delivered later.
type message struct {
	to    *simulatedVM
	at    time.Duration
	event Event
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

// deliver applies an event; documents that the VM sends arrive later.
func (s *simulation) deliver(vm *simulatedVM, ev Event) {
	for _, e := range vm.state.Apply(s.clock(vm), &ev, nil) {
		if e.Kind == Send {
			s.send(s.vm(e.VM), Event{Kind: PeerDocument, VM: vm.id, Version: e.Version, Config: parsed})
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

// send loses one message in four.
func (s *simulation) send(to *simulatedVM, ev Event) {
	if s.rng.IntN(4) > 0 {
		s.pending = append(s.pending, message{to, s.now + s.delay(), ev})
	}
}

// exchange sends a report that answers a message which to sent earlier.
func (s *simulation) exchange(from, to *simulatedVM) {
	asked := s.clock(to).Add(-s.delay())
	ev := Event{Kind: PeerReport, VM: from.id, Zone: from.zone, Version: from.state.Version()}
	if age, ok := from.state.ConfirmedAge(s.clock(from)); ok {
		ev.HasEvidence, ev.At = true, asked.Add(-age)
	}
	if age, ok := from.state.StoreUnreachableAge(from.zone, s.clock(from)); ok {
		ev.StoreUnreachable, ev.UnreachableAt = true, asked.Add(-age)
	}
	s.send(to, ev)
}

// useStore lets a relay read the store or make a change.
func (s *simulation) useStore(vm *simulatedVM) {
	switch {
	case !s.storeUp[vm.zone]:
		s.deliver(vm, Event{Kind: StoreUnreachable, Zone: vm.zone, At: s.clock(vm)})
	case s.rng.IntN(3) == 0:
		s.accepted = append(s.accepted, s.now)
		s.deliver(vm, change(uint64(len(s.accepted))))
	default:
		read := Event{Kind: StoreRead, Version: uint64(len(s.accepted)), Config: parsed, At: s.clock(vm)}
		s.pending = append(s.pending, message{vm, s.now + s.delay(), read})
	}
}

func (s *simulation) step() error {
	s.now += time.Duration(s.rng.Int64N(int64(100 * time.Millisecond)))
	s.changeStore()
	from, to := s.vms[s.rng.IntN(len(s.vms))], s.vms[s.rng.IntN(len(s.vms))]
	if from.relay {
		s.useStore(from)
	}
	if from != to {
		s.exchange(from, to)
	}
	due := s.pending
	s.pending = nil
	for _, m := range due {
		if m.at > s.now {
			s.pending = append(s.pending, m)
			continue
		}
		s.deliver(m.to, m.event)
	}
	return s.check()
}

// changeStore cuts all zones off, or changes one, from time to time.
func (s *simulation) changeStore() {
	switch s.rng.IntN(200) {
	case 0:
		for _, vm := range s.vms {
			s.storeUp[vm.zone] = false
		}
	case 1, 2:
		s.storeUp[s.vms[s.rng.IntN(len(s.vms))].zone] = s.rng.IntN(2) == 0
	}
}

// check compares each VM's evidence with the changes that were accepted.
func (s *simulation) check() error {
	for _, vm := range s.vms {
		age, ok := vm.state.ConfirmedAge(s.clock(vm))
		if !ok {
			continue
		}
		version := int(vm.state.Version())
		if version < len(s.accepted) && s.accepted[version] < s.now-age {
			return fmt.Errorf("at %v, %s has version %d confirmed %v ago, but version %d was accepted at %v",
				s.now, vm.id, version, age, version+1, s.accepted[version])
		}
		if age < time.Second && !s.storeUp["a"] && !s.storeUp["b"] && !s.storeUp["c"] {
			s.byOutage++
		}
	}
	return nil
}

// Guards against evidence for a version that was no longer the newest one,
// under any mix of lost and late messages and of zones that lose the store.
func TestEvidenceIsNeverNewerThanAnUnknownChange(t *testing.T) {
	for seed := range uint64(20) {
		s := newSimulation(seed)
		for range 3000 {
			if err := s.step(); err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
		}
		if s.byOutage == 0 || len(s.accepted) < 10 {
			t.Fatalf("seed %d: %d confirmations by outage, %d changes", seed, s.byOutage, len(s.accepted))
		}
	}
}
