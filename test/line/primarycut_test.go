package line

import (
	"sync"
	"testing"
	"time"

	"github.com/chervilhatch/chervilhatch/core/replicaset"
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
// registers, and the failover of a primary that then falls silent waits for it; or it cannot, and
// its commits are passed on no longer than other replicas are known to receive the log.
func TestNoCommitIsLostWithAPrimaryThatIsCutOffAlone(t *testing.T) {
	t.Run("the replica registers", func(t *testing.T) { cutOffAlone(t, true, 0) })
	t.Run("the replica cannot register", func(t *testing.T) { cutOffAlone(t, false, replicaset.CommitProofWindow) })
}

// Guards against commits that are passed on although only a replica that cannot register has
// received them, within the time for which the receipt of an earlier commit counts as a proof.
func TestNoCommitIsLostWithAReplicaThatCannotRegister(t *testing.T) { cutOffAlone(t, false, 0) }

// cutOffAlone cuts the primary off from its replicas and lets one join that may register. Writes
// that are sent within excused after the cut may be lost.
func cutOffAlone(t *testing.T, registers bool, excused time.Duration) {
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
	cutAt := time.Now()
	if _, err := f.Group.Add("d", "zone-a"); err != nil {
		t.Fatal(err)
	}
	if excused > 0 {
		f.ExcuseLosses(cutAt.Add(excused))
	}
	if registers {
		time.AfterFunc(600*time.Millisecond, func() { f.Group.Server("a").SetSilent(true) })
		time.AfterFunc(1200*time.Millisecond, func() { f.Register("d", "ready") })
	}
	acknowledged := f.writeUntil("another primary", func() bool { return f.Group.Primary() != "a" && f.Group.Primary() != "" })
	lost := 0
	for _, w := range acknowledged {
		if w.sentAt.After(cutAt.Add(excused)) && f.Group.NumberOf(w.id) == 0 {
			lost++
		}
	}
	if lost > 0 {
		t.Errorf("%d of %d acknowledged writes are lost", lost, len(acknowledged))
	}
}
