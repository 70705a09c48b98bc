package main

import (
	"fmt"
	"syscall"
	"time"
)

const (
	// slowRead is the run time of a slow statement, below the time-out of its route.
	slowRead = 1850 * time.Millisecond
	// sentAfterTerm is when the statement is sent after SIGTERM.
	sentAfterTerm = 2750 * time.Millisecond
)

// playStop sends SIGTERM to a VM and then, on a session that was open before, a read that
// takes long. The answer is due before the last sixth of the grace period.
func playStop(e *environment) (bool, string, error) {
	d := e.deployment
	zones := []string{"dk-east-a", "dk-east-b", "dk-east-c"}
	s, err := newService("dahu", e.rec, zones, usualLag)
	if err != nil {
		return false, "", err
	}
	s.work = func(item string) time.Duration {
		if item == "catalogue" {
			return slowRead
		}
		return 6 * time.Millisecond
	}
	d.register(s)
	d.platform.put("op/config", manifest(4, []*service{s}, route("catalogue-read", "catalogue", s.name, "bounded_staleness", 2000, 500, 1500)))
	for _, zone := range zones {
		if _, err := d.addVM(zone); err != nil {
			return false, "", err
		}
	}
	if err := d.startAll(); err != nil {
		return false, "", err
	}
	time.Sleep(5 * time.Second)
	v := d.vms[0]
	c, err := connect(e.rec, "c1", v.callers, "catalogue", key)
	if err != nil {
		return false, "", err
	}
	if a, err := c.query("READ wheel", 2*time.Second); err != nil || a.code != "" {
		return false, "", fmt.Errorf("the first read failed: %v %s %s", err, a.code, a.text)
	}
	term := time.Now()
	if e.trouble {
		e.rec.add("planned work: SIGTERM to %s, grace %d s", v.name, graceSeconds)
		if err := v.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			return false, "", err
		}
	}
	time.Sleep(time.Until(term.Add(sentAfterTerm)))
	sent := time.Now()
	a, err := c.query("READ catalogue", 3*time.Second)
	took := time.Since(sent)
	if err == nil {
		return true, fmt.Sprintf("answered after %v with code %q", took.Round(time.Millisecond), a.code), nil
	}
	// The statement ends at the backend before this is judged.
	time.Sleep(time.Until(sent.Add(slowRead + 300*time.Millisecond)))
	switch {
	case took >= 1950*time.Millisecond:
		return true, "the route's time-out was reached", nil
	case time.Since(term) > 5*time.Second+300*time.Millisecond:
		return false, "", fmt.Errorf("the machine is too slow: the run lasted into the last sixth of the grace period")
	}
	return false, fmt.Sprintf("the connection ended %v after SIGTERM, %v after the request was sent, without an answer; a backend ran it",
		time.Since(term.Add(time.Since(sent)-took)).Round(time.Millisecond), took.Round(time.Millisecond)), nil
}
