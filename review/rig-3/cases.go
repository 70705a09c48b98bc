package main

import (
	"fmt"
	"os"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// evacuationDuringTransactions: read-only transactions are open on a backend whose zone is evacuated.
// Rule EVAC, bound evacuate-ms 5000.
func evacuationDuringTransactions(r *rig, trouble bool) bool {
	const evacuateMS = 5000
	g := deploy(r, manifest{version: 7, rate: 138, burst: 138})
	var wg sync.WaitGroup
	for i := range 9 {
		c, err := connect(fmt.Sprintf("consumer-%d", i), r.vms[i%3].front, bounded, key)
		must(err)
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer c.close()
			// A transaction of 12 statements, with pauses well below tx-idle-ms.
			time.Sleep(time.Duration(i) * 60 * time.Millisecond)
			c.query("BEGIN READ", 3*time.Second)
			for n := range 12 {
				res, err := c.query("READ "+strconv.Itoa(100*i+n), 3*time.Second)
				if err != nil || res.state != "T" {
					break
				}
				time.Sleep(900 * time.Millisecond)
			}
			c.query("COMMIT", 3*time.Second)
		}()
	}
	time.Sleep(2 * time.Second)
	var confirmed time.Time
	if trouble {
		confirmed = r.platform.put("op/evacuate/zone-a", map[string]any{})
		noteAt(confirmed, "operator", "the evacuation of zone-a is confirmed")
	}
	wg.Wait()
	g.mu.Lock()
	defer g.mu.Unlock()
	before, late, last := 0, 0, time.Duration(0)
	for _, a := range g.arrivals {
		if a.zone != "zone-a" {
			continue
		}
		if confirmed.IsZero() || a.at.Before(confirmed) {
			before++
			continue
		}
		if since := a.at.Sub(confirmed); since > evacuateMS*time.Millisecond {
			late++
			last = since
			noteAt(a.at, "judge", fmt.Sprintf("EVAC: %s %s reached %s %d ms after the confirmation", a.id, a.text, a.backend, since.Milliseconds()))
		}
	}
	verdict("requests at zone-a: %d before the evacuation, %d later than %d ms after its confirmation, the last after %d ms", before, late, evacuateMS, last.Milliseconds())
	return late > 0
}

// warmupPerS is the warm-up rate of the cases with cold backends.
const warmupPerS = 20

// judgeWarmup returns whether a cold backend got more requests within one second than
// warmup-per-s x warmup-overage + warmup-slack.
func judgeWarmup(g *group) bool {
	const limit = warmupPerS*1.5 + 5
	g.mu.Lock()
	defer g.mu.Unlock()
	byBackend := map[string][]arrival{}
	for _, a := range g.arrivals {
		if a.cold {
			byBackend[a.backend] = append(byBackend[a.backend], a)
		}
	}
	most, cold := 0, 0
	for id, list := range byBackend {
		sort.Slice(list, func(i, j int) bool { return list[i].at.Before(list[j].at) })
		cold += len(list)
		for first, i := 0, 0; i < len(list); i++ {
			for list[i].at.Sub(list[first].at) >= time.Second {
				first++
			}
			if n := i - first + 1; n > most {
				most = n
				if float64(n) > limit {
					noteAt(list[i].at, "judge", fmt.Sprintf("FAILBACK: %d requests at cold %s within one second", n, id))
				}
			}
		}
	}
	verdict("cold backends got %d requests, at most %d within one second; allowed are %.0f", cold, most, float64(limit))
	return float64(most) > limit
}

// load runs sessions that send operations until the end.
func load(r *rig, sessions int, database string, until time.Time, operation func(c *caller, n int)) *sync.WaitGroup {
	wg := &sync.WaitGroup{}
	for i := range sessions {
		wg.Add(1)
		go func() {
			defer wg.Done()
			var c *caller
			for n := i * 10000; time.Now().Before(until); n++ {
				if c == nil {
					var err error
					if c, err = connect(fmt.Sprintf("consumer-%d", i), r.vms[i%len(r.vms)].front, database, key); err != nil {
						time.Sleep(200 * time.Millisecond)
						continue
					}
				}
				operation(c, n)
				if _, err := c.raw.Write(nil); err != nil {
					c = nil
				}
			}
			c.close()
		}()
	}
	return wg
}

// restartedBackendIsCold: a replica crashes and starts again at its address, cold. Rule FAILBACK.
func restartedBackendIsCold(r *rig, trouble bool) bool {
	g := deploy(r, manifest{version: 7, rate: 1000, burst: 1000, warmupS: 8, warmupPerS: warmupPerS})
	g.setWork(18 * time.Millisecond)
	// About 270 reads a second; a backend can run 166.
	wg := load(r, 30, bounded, time.Now().Add(14*time.Second), func(c *caller, n int) {
		c.query("READ "+strconv.Itoa(n), 3*time.Second)
		time.Sleep(80 * time.Millisecond)
	})
	time.Sleep(3 * time.Second)
	if trouble {
		b := g.servers["i-a1"]
		b.crash()
		time.Sleep(300 * time.Millisecond)
		b.restart(8 * time.Second)
	}
	wg.Wait()
	return judgeWarmup(g)
}

// transactionsAtColdBackend: a replica that was down for long starts again, cold, and gets read-only
// transactions. Rule FAILBACK.
func transactionsAtColdBackend(r *rig, trouble bool) bool {
	g := deploy(r, manifest{version: 7, rate: 1000, burst: 1000, warmupS: 8, warmupPerS: warmupPerS})
	g.setWork(18 * time.Millisecond)
	wg := load(r, 36, bounded, time.Now().Add(20*time.Second), func(c *caller, n int) {
		c.query("BEGIN READ", 3*time.Second)
		for i := range 10 {
			if res, err := c.query("READ "+strconv.Itoa(n+i), 3*time.Second); err != nil || res.state != "T" {
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
		c.query("COMMIT", 3*time.Second)
		time.Sleep(100 * time.Millisecond)
	})
	time.Sleep(3 * time.Second)
	if trouble {
		b := g.servers["i-a1"]
		b.crash()
		r.platform.remove("servers/i-a1")
		time.Sleep(4 * time.Second)
		b.restart(8 * time.Second)
	}
	wg.Wait()
	return judgeWarmup(g)
}

// rss returns the resident memory of a process in MB.
func rss(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(f[1])
			return kb >> 10
		}
	}
	return 0
}

// memoryMB is the memory limit of a machine; the platform kills a process that exceeds it.
const memoryMB = 284

// watchMemory plays the platform until the given time: it kills a process that exceeds memory-mb and
// starts it again. It returns whether at least two machines ended three times or more.
func (r *rig) watchMemory(until time.Time) bool {
	kills, peak := map[string]int{}, map[string]int{}
	for time.Now().Before(until) {
		for _, v := range r.vms {
			v.mu.Lock()
			process, ended := v.process, v.ended
			v.mu.Unlock()
			mb := rss(process.Process.Pid)
			peak[v.name] = max(peak[v.name], mb)
			if mb > memoryMB {
				kills[v.name]++
				note("platform", fmt.Sprintf("kills %s, which has %d MB", v.name, mb))
				process.Process.Kill()
				<-ended
				r.startVM(v)
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	thrice := 0
	for _, v := range r.vms {
		verdict("%s: exceeded %d MB %d times; at most %d MB", v.name, memoryMB, kills[v.name], peak[v.name])
		if kills[v.name] >= 3 {
			thrice++
		}
	}
	verdict("%d of %d machines ended three times or more", thrice, len(r.vms))
	return thrice >= 2
}

// largeAnswers: 99 sessions stand open at each machine; one after the other reads once, and then stays
// open and idle. The answer has 48 rows of 64 KiB. Rule Fault.
func largeAnswers(r *rig, trouble bool) bool {
	const sessions = 99
	g := deploy(r, manifest{version: 7, rate: 1000, burst: 1000})
	if trouble {
		g.setAnswer(48, 64<<10)
	}
	until := time.Now().Add(60 * time.Second)
	var wg sync.WaitGroup
	for i, v := range r.vms {
		wg.Add(1)
		go func() {
			defer wg.Done()
			readInTurn(v, i, sessions, until)
		}()
	}
	broken := r.watchMemory(until)
	wg.Wait()
	return broken
}

// readInTurn keeps sessions open at one machine. Each reads once after it was opened; at most one
// session reads at a time.
func readInTurn(v *vm, first, sessions int, until time.Time) {
	open := make([]*caller, sessions)
	defer func() {
		for _, c := range open {
			c.close()
		}
	}()
	for n := 0; time.Now().Before(until); n++ {
		i := n % sessions
		if open[i] != nil && open[i].isOpen() {
			time.Sleep(2 * time.Millisecond)
			continue
		}
		open[i].close()
		open[i] = nil
		c, err := connect(fmt.Sprintf("consumer-%d-%d", first, i), v.front, bounded, key)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		open[i] = c
		c.query("READ "+strconv.Itoa(i), 3*time.Second)
	}
}

// rateOfZero: a manifest lowers the rate and burst of a tenant to 0. Rule QUOTA.
func rateOfZero(r *rig, trouble bool) bool {
	const windowS, configApplyMS, overage, slack = 5, 3000, 0.1, 20
	g := deploy(r, manifest{version: 7, rate: 138, burst: 138})
	wg := load(r, 9, bounded, time.Now().Add(18*time.Second), func(c *caller, n int) {
		c.query("READ "+strconv.Itoa(n), 3*time.Second)
		time.Sleep(100 * time.Millisecond)
	})
	time.Sleep(2 * time.Second)
	var confirmed time.Time
	if trouble {
		m := manifest{version: 9, service: g.service}
		confirmed = r.platform.put("op/config", m.body())
		noteAt(confirmed, "operator", "version 9 is confirmed: rate 0, burst 0")
	}
	wg.Wait()
	g.mu.Lock()
	defer g.mu.Unlock()
	if confirmed.IsZero() {
		verdict("%d requests ran", len(g.arrivals))
		return false
	}
	from := confirmed.Add((configApplyMS + windowS*1000) * time.Millisecond)
	n := 0
	for _, a := range g.arrivals {
		if a.ran && a.at.After(from) && a.at.Before(from.Add(windowS*time.Second)) {
			n++
		}
	}
	verdict("%d requests of the tenant ran in %d s, %d s after the confirmation; allowed are %d", n, windowS, configApplyMS/1000+windowS, slack)
	return n > slack
}

// lateCall: the primary crashes for 7 s while one replica receives nothing; the call for the other one is
// carried out 4 s late, and that one has started again meanwhile. Rule LOST.
func lateCall(r *rig, trouble bool) bool {
	g := deploy(r, manifest{version: 7, rate: 1000, burst: 1000})
	var mu sync.Mutex
	var acknowledged []string
	wg := load(r, 9, primary, time.Now().Add(22*time.Second), func(c *caller, n int) {
		res, err := c.query("WRITE "+strconv.Itoa(n)+" data", 3*time.Second)
		if err == nil && res.code == "" {
			mu.Lock()
			acknowledged = append(acknowledged, res.id)
			mu.Unlock()
		}
		time.Sleep(50 * time.Millisecond)
	})
	time.Sleep(2 * time.Second)
	if trouble {
		other, target, old := g.servers["i-b2"], g.servers["i-a1"], g.servers["i-c3"]
		g.setDeaf(other, true)
		called := make(chan struct{})
		var once sync.Once
		r.platform.mu.Lock()
		r.platform.late = func(id string) (time.Duration, bool) {
			late := false
			if id == target.id {
				once.Do(func() { late = true; close(called) })
			}
			return 4 * time.Second, late
		}
		r.platform.mu.Unlock()
		time.Sleep(time.Second)
		old.crash()
		back := time.After(7 * time.Second)
		time.AfterFunc(5500*time.Millisecond, func() { g.setDeaf(other, false) })
		select {
		case <-called:
			time.Sleep(300 * time.Millisecond)
			target.crash()
			time.Sleep(500 * time.Millisecond)
			target.restart(0)
		case <-time.After(6 * time.Second):
		}
		<-back
		old.restart(0)
	}
	wg.Wait()
	g.mu.Lock()
	defer g.mu.Unlock()
	inLog := map[string]bool{}
	for _, entry := range g.log {
		for _, id := range entry.ids {
			inLog[id] = true
		}
	}
	lost := 0
	for _, id := range acknowledged {
		if !inLog[id] {
			lost++
			note("judge", "LOST: "+id+" was acknowledged and is not in the log")
		}
	}
	verdict("%d writes acknowledged, %d of them not in the log of the promoted backend %s", len(acknowledged), lost, g.primary)
	return lost > 0
}

// setDeaf sets whether a replica receives nothing.
func (g *group) setDeaf(b *backend, deaf bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	b.deaf = deaf
	note("backend "+b.id, fmt.Sprintf("receives nothing: %t", deaf))
}
