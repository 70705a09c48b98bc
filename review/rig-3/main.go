// Command rig3 runs the cases of the third review: it starts a small deployment whose machines are
// processes of their own, plays the platform, the backends and the consumers, and judges one rule by
// what these have seen.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// scenario plays one case and reports whether the rule was broken. trouble is false for the same
// without the disruption.
type scenario func(r *rig, trouble bool) (broken bool)

var scenarios = map[string]scenario{
	"late-call":    lateCall,
	"memory":       largeAnswers,
	"evacuation":   evacuationDuringTransactions,
	"cold-tx":      transactionsAtColdBackend,
	"cold-restart": restartedBackendIsCold,
	"rate-zero":    rateOfZero,
}

func main() { os.Exit(run()) }

func run() (code int) {
	if len(os.Args) != 4 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig3 CASE REPOSITORY RECORD")
		return 2
	}
	defer func() {
		if p := recover(); p != nil {
			fmt.Fprintln(os.Stderr, "could not run:", p)
			code = 2
		}
	}()
	closeRecord := openRecord(os.Args[3])
	defer closeRecord()
	r := newRig(os.Args[2])
	defer r.stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	overtime := time.AfterFunc(115*time.Second, func() { signals <- syscall.SIGALRM })
	defer overtime.Stop()
	go func() {
		<-signals
		r.stop()
		closeRecord()
		os.Exit(2)
	}()
	if scenarios[os.Args[1]](r, os.Getenv("TROUBLE") != "0") {
		return 1
	}
	return 0
}

// manifest is what varies in the manifests of the cases: one service, three routes, one tenant.
type manifest struct {
	version             int
	service             string
	warmupS, warmupPerS float64
	rate, burst         float64
}

func (m manifest) body() map[string]any {
	route := func(name, database, kind string, priority, stale int) map[string]any {
		r := map[string]any{
			"name": name, "database": database, "prefix": "/", "kind": kind, "timeout-ms": 2000, "target-latency-ms": 500,
			"priority": priority, "service-name": m.service, "retry-attempts": 2, "allow-anonymous": false,
		}
		if stale > 0 {
			r["max-staleness-ms"] = stale
		}
		return r
	}
	return map[string]any{
		"version": m.version,
		"routes": []any{
			route("r-bounded", "xapu221", "bounded_staleness", 2, 1500), route("r-primary", "lepu270", "primary", 1, 0),
			route("r-own", "fiti832", "read_your_writes", 2, 2500),
		},
		"services": []any{map[string]any{
			"name": m.service, "health-path": "/health", "max-conns": 50, "protocol": "h1", "tls": false,
			"warmup-s": m.warmupS, "warmup-per-s": m.warmupPerS, "sync-replicas": 1,
		}},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000, "tx-idle-ms": 3000},
		"tenants": []any{map[string]any{"name": "nypu920", "api-keys": []string{"u6wsjnbanfqasnmgkcuy"}, "priority": 1, "rate-per-s": m.rate, "burst": m.burst}},
	}
}

const (
	key     = "u6wsjnbanfqasnmgkcuy"
	bounded = "xapu221"
	primary = "lepu270"
	own     = "fiti832"
)

// deploy starts three backends and three machines, one of each in each zone, and waits until the
// machines are ready and have been calm for contact-ms.
func deploy(r *rig, m manifest) *group {
	m.service = "huvo11a"
	g := newGroup(r.platform, m.service)
	r.platform.put("op/config", m.body())
	g.add("i-c3", "zone-c")
	g.add("i-a1", "zone-a")
	g.add("i-b2", "zone-b")
	r.addVMs("zone-a", "zone-b", "zone-c")
	r.awaitReady()
	time.Sleep(4500 * time.Millisecond)
	return g
}
