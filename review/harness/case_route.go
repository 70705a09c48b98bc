package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// routeSessions is the number of sessions that write and read.
	routeSessions = 12
	// laggingReplica is the lag of one replica: 20 ms, 150 times as late.
	laggingReplica = 3 * time.Second
	// usualLag is the usual lag of replicas.
	usualLag = 20 * time.Millisecond
)

// playRoute moves a route of the kind read_your_writes to another service and back while
// one replica of the first service lags. Each session writes before and reads after.
func playRoute(e *environment) (bool, string, error) {
	d := e.deployment
	zones := []string{"dk-east-a", "dk-east-b", "dk-east-c"}
	first, err := newService("dahu", e.rec, zones, usualLag)
	if err != nil {
		return false, "", err
	}
	second, err := newService("zigo", e.rec, zones, usualLag)
	if err != nil {
		return false, "", err
	}
	services := []*service{first, second}
	for _, s := range services {
		d.register(s)
	}
	publish := func(version int, s *service) {
		e.rec.add("operator: manifest %d sends judging-slot to %s", version, s.name)
		d.platform.put("op/config", manifest(version, services, route("judging-slot", "slots", s.name, "read_your_writes", 800, 250, 2500)))
		e.rec.add("operator: manifest %d is confirmed", version)
	}
	publish(4, first)
	for _, zone := range zones {
		if _, err := d.addVM(zone); err != nil {
			return false, "", err
		}
	}
	if err := d.startAll(); err != nil {
		return false, "", err
	}
	time.Sleep(5 * time.Second)
	if e.trouble {
		e.rec.add("disruption: %s applies commits %v late", first.all[2].id, laggingReplica)
		first.all[2].setLag(laggingReplica)
	}
	sessions := make([]*consumer, routeSessions)
	for i := range sessions {
		v := d.vms[i%len(d.vms)]
		if sessions[i], err = connect(e.rec, fmt.Sprintf("c%d", i+1), v.callers, "slots", key); err != nil {
			return false, "", err
		}
	}
	// Evidence for reads exists before the writes.
	if err := eachSession(sessions, func(i int, c *consumer) error { return untilRunBy(c, i, first) }); err != nil {
		return false, "", err
	}
	time.Sleep(time.Second)
	written := make([]bool, routeSessions)
	err = eachSession(sessions, func(i int, c *consumer) error {
		a, err := c.query(fmt.Sprintf("WRITE item%d new", i), 2*time.Second)
		written[i] = err == nil && a.code == "" && strings.HasPrefix(a.signature, "i-"+first.name)
		return err
	})
	if err != nil {
		return false, "", err
	}
	publish(9, second)
	if err := eachSession(sessions, func(i int, c *consumer) error { return untilRunBy(c, i, second) }); err != nil {
		return false, "", err
	}
	publish(15, first)
	stale, read := make([]bool, routeSessions), make([]bool, routeSessions)
	err = eachSession(sessions, func(i int, c *consumer) error {
		deadline := time.Now().Add(3 * time.Second)
		for written[i] && time.Now().Before(deadline) {
			a, err := c.query(fmt.Sprintf("READ item%d", i), 2*time.Second)
			if err != nil {
				return err
			}
			if a.code == "" && strings.HasPrefix(a.signature, "i-"+first.name) {
				read[i] = true
				stale[i] = len(a.rows) == 1 && a.rows[0] == "none"
				return nil
			}
			time.Sleep(10 * time.Millisecond)
		}
		return nil
	})
	if err != nil {
		return false, "", err
	}
	reads, stales := count(read), count(stale)
	if reads == 0 {
		return false, "", fmt.Errorf("no session has written and read")
	}
	return stales == 0, fmt.Sprintf("%d of %d sessions did not see their own acknowledged write", stales, reads), nil
}

// untilRunBy reads until a backend of the service answers.
func untilRunBy(c *consumer, i int, s *service) error {
	for deadline := time.Now().Add(4 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		a, err := c.query(fmt.Sprintf("READ item%d", i), 2*time.Second)
		if err != nil {
			return err
		}
		if a.code == "" && strings.HasPrefix(a.signature, "i-"+s.name) {
			return nil
		}
	}
	return fmt.Errorf("%s: no answer of %s", c.name, s.name)
}

// eachSession calls fn for all sessions at once and returns the first error.
func eachSession(sessions []*consumer, fn func(int, *consumer) error) error {
	errs := make([]error, len(sessions))
	var wg sync.WaitGroup
	for i, c := range sessions {
		wg.Go(func() { errs[i] = fn(i, c) })
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func count(list []bool) int {
	n := 0
	for _, v := range list {
		if v {
			n++
		}
	}
	return n
}
