package line

import (
	"sync"
	"testing"
	"time"

	"github.com/chervilhatch/chervilhatch/standin/linegroup"
)

// sentWrite is a write that was acknowledged to its caller.
type sentWrite struct {
	id     string
	sentAt time.Time
}

// writeUntil writes on all VMs until done returns true, and returns the acknowledged writes.
func (f *fixture) writeUntil(what string, done func() bool) []sentWrite {
	f.t.Helper()
	var mu sync.Mutex
	var acknowledged []sentWrite
	var wg sync.WaitGroup
	stopped := make(chan struct{})
	for vm := range f.nodes {
		c := f.dial(vm, "own")
		wg.Go(func() {
			for {
				select {
				case <-stopped:
					return
				default:
				}
				sentAt := time.Now()
				r := c.Query("WRITE item x")
				if r.OK() {
					mu.Lock()
					acknowledged = append(acknowledged, sentWrite{r.ID, sentAt})
					mu.Unlock()
				}
				if r.Broken {
					c = f.reopen(c, vm, "own")
				}
				time.Sleep(2 * time.Millisecond)
			}
		})
	}
	f.WaitFor(what, done)
	close(stopped)
	wg.Wait()
	return acknowledged
}

// Guards against commits that are lost with a primary that is cut off from its replicas while its
// zone is connected: a replica that started beside it makes them acknowledged. Either it
// registers, and the failover of a primary that then falls silent asks it; or it cannot, and the
// commits are not passed on.
func TestNoCommitIsLostWithAPrimaryThatIsCutOffAlone(t *testing.T) {
	t.Run("the replica registers", func(t *testing.T) { cutOffAlone(t, true) })
	t.Run("the replica cannot register", func(t *testing.T) { cutOffAlone(t, false) })
}

// cutOffAlone cuts the primary off from its replicas and lets one join that may register.
func cutOffAlone(t *testing.T, registers bool) {
	f := newFixtureWithoutVMs(t, linegroup.Options{ConnectionLimit: 40, Slots: 4, Work: time.Millisecond})
	f.spreadZones = true
	f.startAll(3)
	time.Sleep(leaseTime)
	for vm := range f.nodes {
		f.dial(vm, "own").MustSucceed("WRITE item before")
	}
	for _, id := range []string{"b", "c"} {
		f.Group.Server(id).SetReceiveStopped(true)
	}
	if _, err := f.Group.Add("d", "zone-a"); err != nil {
		t.Fatal(err)
	}
	if registers {
		time.AfterFunc(600*time.Millisecond, func() { f.Group.Server("a").SetSilent(true) })
		time.AfterFunc(1200*time.Millisecond, func() { f.Register("d", "ready") })
	}
	acknowledged := f.writeUntil("another primary", func() bool { return f.Group.Primary() != "a" && f.Group.Primary() != "" })
	lost := 0
	for _, w := range acknowledged {
		if f.Group.NumberOf(w.id) == 0 {
			lost++
		}
	}
	if lost > 0 {
		t.Errorf("%d of %d acknowledged writes are lost", lost, len(acknowledged))
	}
}
