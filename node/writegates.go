package node

import (
	"context"
	"sync"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/sqlstate"
)

// writeGates block new writes to a database while a planned switchover waits for
// the writes in progress to finish.
type writeGates struct {
	mu         sync.Mutex
	writeGates map[model.Database]*writeGate
	// onDrained is called without the lock when a closed gate has no active writes.
	onDrained func(model.Database)
}

type writeGate struct {
	activeWrites int
	// opened is non-nil while the gate is closed; opening the gate closes it.
	opened chan struct{}
}

func newWriteGates(onDrained func(model.Database)) *writeGates {
	return &writeGates{
		writeGates: map[model.Database]*writeGate{},
		onDrained:  onDrained,
	}
}

func (g *writeGates) get(db model.Database) *writeGate {
	if g.writeGates[db] == nil {
		g.writeGates[db] = &writeGate{}
	}
	return g.writeGates[db]
}

// writeGateTimeout bounds how long a write waits at a closed gate. After a
// switchover another VM holds the primary, so a longer wait would only delay
// sending the write there.
const writeGateTimeout = 200 * time.Millisecond

// enter waits until the gate is open and counts the write as active. It returns
// an error when the gate does not open in time.
func (g *writeGates) enter(ctx context.Context, db model.Database) error {
	for {
		g.mu.Lock()
		gate := g.get(db)
		opened := gate.opened
		if opened == nil {
			gate.activeWrites++
			g.mu.Unlock()
			return nil
		}
		g.mu.Unlock()
		if !waitUntilOpened(ctx, opened) {
			return sqlstate.Refuse(sqlstate.NoPrimary, "the primary is being handed over")
		}
	}
}

// waitUntilOpened returns false if the gate does not open within
// writeGateTimeout or ctx ends.
func waitUntilOpened(ctx context.Context, opened <-chan struct{}) bool {
	timer := time.NewTimer(writeGateTimeout)
	defer timer.Stop()
	select {
	case <-opened:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// leave ends a write that entered the gate.
func (g *writeGates) leave(db model.Database) {
	g.mu.Lock()
	gate := g.get(db)
	gate.activeWrites--
	done := gate.activeWrites == 0 && gate.opened != nil
	g.mu.Unlock()
	if done {
		g.onDrained(db)
	}
}

// close blocks new writes. It calls onDrained if no write is active.
func (g *writeGates) close(db model.Database) {
	g.mu.Lock()
	gate := g.get(db)
	if gate.opened == nil {
		gate.opened = make(chan struct{})
	}
	done := gate.activeWrites == 0
	g.mu.Unlock()
	if done {
		g.onDrained(db)
	}
}

// open lets waiting and new writes proceed.
func (g *writeGates) open(db model.Database) {
	g.mu.Lock()
	defer g.mu.Unlock()
	gate := g.get(db)
	if gate.opened != nil {
		close(gate.opened)
		gate.opened = nil
	}
}
