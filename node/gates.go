package node

import (
	"context"
	"sync"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/sqlstate"
)

// gates hold back new writes of a database while a planned switchover drains
// those in progress.
type gates struct {
	mu    sync.Mutex
	gates map[model.Database]*gate
	// drained is called without the lock when a closed gate has no writes left.
	drained func(model.Database)
}

type gate struct {
	writes int
	// opened is not nil while the gate is closed.
	opened chan struct{}
}

func newGates(drained func(model.Database)) *gates {
	return &gates{
		gates:   map[model.Database]*gate{},
		drained: drained,
	}
}

func (g *gates) get(db model.Database) *gate {
	if g.gates[db] == nil {
		g.gates[db] = &gate{}
	}
	return g.gates[db]
}

// gatePatience bounds how long a write waits at a closed gate. After a
// switchover another VM holds the primary, so the write has to be sent there.
const gatePatience = 200 * time.Millisecond

// enter waits until the gate is open and counts a write.
func (g *gates) enter(ctx context.Context, db model.Database) error {
	for {
		g.mu.Lock()
		known := g.get(db)
		opened := known.opened
		if opened == nil {
			known.writes++
			g.mu.Unlock()
			return nil
		}
		g.mu.Unlock()
		if !waitAtGate(ctx, opened) {
			return sqlstate.Refuse(sqlstate.NoPrimary, "the primary is being handed over")
		}
	}
}

// waitAtGate returns false when the gate was not opened in time.
func waitAtGate(ctx context.Context, opened <-chan struct{}) bool {
	timer := time.NewTimer(gatePatience)
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
func (g *gates) leave(db model.Database) {
	g.mu.Lock()
	known := g.get(db)
	known.writes--
	done := known.writes == 0 && known.opened != nil
	g.mu.Unlock()
	if done {
		g.drained(db)
	}
}

// close holds back new writes.
func (g *gates) close(db model.Database) {
	g.mu.Lock()
	known := g.get(db)
	if known.opened == nil {
		known.opened = make(chan struct{})
	}
	done := known.writes == 0
	g.mu.Unlock()
	if done {
		g.drained(db)
	}
}

// open lets writes go on.
func (g *gates) open(db model.Database) {
	g.mu.Lock()
	defer g.mu.Unlock()
	known := g.get(db)
	if known.opened != nil {
		close(known.opened)
		known.opened = nil
	}
}
