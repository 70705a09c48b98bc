package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// cutTime is how long the primary is partitioned from its replicas.
	cutTime = 5 * time.Second
	// startAfterCut is when the release starts a new backend, counted from the cut.
	startAfterCut = 1700 * time.Millisecond
	// firstEntry is how long after its start a backend first writes to the store.
	firstEntry = 600 * time.Millisecond
	// writers is the number of sessions that write.
	writers = 8
)

// playStall partitions a primary from its replicas while the backends of its service are
// replaced. Every acknowledged write has to be in the log of the backend that is promoted.
func playStall(e *environment) (bool, string, error) {
	d := e.deployment
	zones := []string{"dk-east-a", "dk-east-b", "dk-east-c"}
	s, err := newService("dahu", e.rec, zones, usualLag)
	if err != nil {
		return false, "", err
	}
	d.platform.promote = func(_, id string, token uint64) int { return s.promote(id, token) }
	d.register(s)
	d.platform.put("op/config", manifest(4, []*service{s}, route("entry-submit", "entries", s.name, "primary", 800, 150, 0)))
	for _, zone := range zones {
		if _, err := d.addVM(zone); err != nil {
			return false, "", err
		}
	}
	if err := d.startAll(); err != nil {
		return false, "", err
	}
	time.Sleep(5 * time.Second)

	var mu sync.Mutex
	acked := map[string]bool{}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range writers {
		wg.Go(func() { writeUntil(e, i, stop, &mu, acked) })
	}
	time.Sleep(2 * time.Second)
	cutAt := time.Now()
	if e.trouble {
		e.rec.add("disruption: the primary %s is partitioned from its replicas", s.primary.id)
		s.mu.Lock()
		for _, b := range s.all[1:] {
			b.cut = true
		}
		s.mu.Unlock()
	}
	time.Sleep(time.Until(cutAt.Add(startAfterCut)))
	e.rec.add("planned work: a backend is replaced; the new one starts first")
	n, err := s.start("dk-east-d", usualLag)
	if err != nil {
		return false, "", err
	}
	time.Sleep(firstEntry)
	d.platform.put("servers/"+n.id, n.registration())
	time.Sleep(time.Until(cutAt.Add(cutTime)))
	s.mu.Lock()
	for _, b := range s.all {
		b.cut = false
	}
	s.mu.Unlock()
	time.Sleep(2 * time.Second)
	close(stop)
	wg.Wait()
	return judgeAcknowledged(e, s, acked)
}

// judgeAcknowledged checks that the log of the primary has all acknowledged writes.
func judgeAcknowledged(e *environment, s *service, acked map[string]bool) (bool, string, error) {
	lost := 0
	for id := range acked {
		if !s.has(id) {
			lost++
			e.rec.add("lost: write %s was acknowledged to its consumer and is not in the log of the primary", id)
		}
	}
	if len(acked) == 0 {
		return false, "", fmt.Errorf("no write was acknowledged")
	}
	return lost == 0, fmt.Sprintf("%d of %d acknowledged writes are not in the log of the backend that was promoted", lost, len(acked)), nil
}

// writeUntil writes until stop is closed and collects the ids of acknowledged writes.
func writeUntil(e *environment, i int, stop chan struct{}, mu *sync.Mutex, acked map[string]bool) {
	var c *consumer
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(60 * time.Millisecond):
		}
		if c == nil {
			v := e.deployment.vms[(i+n)%len(e.deployment.vms)]
			var err error
			if c, err = connect(e.rec, fmt.Sprintf("c%d.%d", i+1, n), v.callers, "entries", key); err != nil {
				continue
			}
		}
		a, err := c.query(fmt.Sprintf("WRITE item%d v%d", i, n), 2*time.Second)
		switch {
		case err != nil:
			_ = c.conn.Close()
			c = nil
		case a.code == "":
			mu.Lock()
			acked[a.id] = true
			mu.Unlock()
		}
	}
}
