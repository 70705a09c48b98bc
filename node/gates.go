package node

import (
	"context"
	"sync"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/sqlstate"
)

// writeGates hold back new writes of a database while a planned switchover drains
// those in progress.
type writeGates struct {
	mu         sync.Mutex
	writeGates map[model.Database]*writeGate
	// onDrained is called without the lock when a closed gate has no writes left.
	onDrained func(model.Database)
}

type writeGate struct {
	activeWrites int
	// opened is not nil while the gate is closed.
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
// switchover another VM holds the primary, so the write has to be sent there.
const writeGateTimeout = 200 * time.Millisecond

// enter waits until the gate is open and counts a write.
func (g *writeGates) enter(ctx context.Context, db model.Database) error {
	for {
		g.mu.Lock()
		known := g.get(db)
		opened := known.opened
		if opened == nil {
			known.activeWrites++
			g.mu.Unlock()
			return nil
		}
		g.mu.Unlock()
		if !waitUntilOpened(ctx, opened) {
			return sqlstate.Refuse(sqlstate.NoPrimary, "the primary is being handed over")
		}
	}
}

// waitUntilOpened returns false when the gate was not opened in time.
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

// leave ends a write.
func (g *writeGates) leave(db model.Database) {
	g.mu.Lock()
	known := g.get(db)
	known.activeWrites--
	done := known.activeWrites == 0 && known.opened != nil
	g.mu.Unlock()
	if done {
		g.onDrained(db)
	}
}

// close holds back new writes.
func (g *writeGates) close(db model.Database) {
	g.mu.Lock()
	known := g.get(db)
	if known.opened == nil {
		known.opened = make(chan struct{})
	}
	done := known.activeWrites == 0
	g.mu.Unlock()
	if done {
		g.onDrained(db)
	}
}

// open lets writes go on.
func (g *writeGates) open(db model.Database) {
	g.mu.Lock()
	defer g.mu.Unlock()
	known := g.get(db)
	if known.opened != nil {
		close(known.opened)
		known.opened = nil
	}
}
