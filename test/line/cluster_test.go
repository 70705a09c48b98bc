// Package line tests VMs whose callers and upstreams speak the line protocol
// against stand-ins of the platform and of a database group.
package line

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/linenode"
	"github.com/chervilhatch/chervilhatch/lineproto"
	"github.com/chervilhatch/chervilhatch/platform"
	"github.com/chervilhatch/chervilhatch/standin/linegroup"
	"github.com/chervilhatch/chervilhatch/standin/metastore"
)

const (
	service = "groupdb"
	key     = "key-of-one"
	// patience bounds waits for something that has to happen.
	patience = 15 * time.Second
)

// fixture is a deployment in this process.
type fixture struct {
	t       *testing.T
	store   *metastore.Store
	group   *linegroup.Group
	nodes   []*linenode.Node
	callers []string
	version int
	born    int64
	// grace is the time that a VM has to stop.
	grace time.Duration
}

func discard() zerolog.Logger { return zerolog.New(io.Discard) }

func newFixture(t *testing.T, vms int, o linegroup.Options) *fixture {
	t.Helper()
	f := newPlatform(t, o)
	f.startAll(vms)
	return f
}

// newPlatform returns a deployment without VMs.
func newPlatform(t *testing.T, o linegroup.Options) *fixture {
	t.Helper()
	store, err := metastore.New()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	o.Service = service
	f := &fixture{t: t, store: store, group: linegroup.New(o), born: 1, grace: time.Second}
	t.Cleanup(f.group.Close)
	store.Promote = func(_, id string, token uint64) bool { return f.group.Promote(id, token) }
	for _, id := range []string{"a", "b", "c"} {
		if _, err := f.group.Add(id, "zone-"+id); err != nil {
			t.Fatal(err)
		}
		f.register(id, "ready", id == "a")
	}
	f.configure(key)
	return f
}

// startAll runs VMs and waits until they are ready.
func (f *fixture) startAll(vms int) {
	f.t.Helper()
	for i := range vms {
		f.start(i)
	}
	f.await("all VMs ready", func() bool {
		for _, n := range f.nodes {
			if n.Ready() != nil {
				return false
			}
		}
		return true
	})
}

// register writes the entry of an upstream.
func (f *fixture) register(id, phase string, primary bool) {
	s := f.group.Server(id)
	role := "replica"
	if primary {
		role = "primary"
	}
	entry, err := json.Marshal(map[string]any{
		"service-name": service, "address": s.Address(), "zone": s.Zone(), "slots": 4,
		"phase": phase, "db-role": role, "sequence": time.Now().UnixNano(), "born": f.born, "warmup-left-ms": 0,
	})
	if err != nil {
		f.t.Fatal(err)
	}
	f.store.Put("servers/"+id, entry)
}

// configure writes a configuration in which the workspace has the given keys.
func (f *fixture) configure(keys ...string) {
	f.version++
	route := func(name, kind string) map[string]any {
		return map[string]any{
			"name": "r-" + name, "database": name, "kind": kind, "service-name": service,
			"timeout-ms": 2000, "target-latency-ms": 1500, "priority": 1, "max-staleness-ms": 2000,
		}
	}
	document, err := json.Marshal(map[string]any{
		"version":  f.version,
		"routes":   []any{route("strict", "primary"), route("bounded", "bounded_staleness"), route("own", "read_your_writes")},
		"services": []any{map[string]any{"name": service, "max-conns": 40, "sync-replicas": 1}},
		"limits":   map[string]any{"tx-idle-ms": 800},
		"tenants":  []any{map[string]any{"name": "one", "api-keys": keys, "rate-per-s": 5000, "burst": 5000}},
	})
	if err != nil {
		f.t.Fatal(err)
	}
	f.store.Put("op/config", document)
}

func listen(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// start runs one VM.
func (f *fixture) start(i int) {
	registry := metrics.NewRegistry()
	vm := model.VMID(fmt.Sprintf("vm-%d", i))
	callers, peers := listen(f.t), listen(f.t)
	n := linenode.New(linenode.Options{
		VM: vm, Zone: "zone-a", PeerAddress: peers.Addr().String(),
		Callers: callers, Peers: peers, Ready: listen(f.t),
		Store:    platform.NewStore(f.store.Address(), time.Second, time.Second, registry),
		Promoter: platform.NewPromoter(f.store.Address(), time.Second, vm, registry),
		Formats:  platform.Formats(),
		Grace:    f.grace, Log: discard(), Registry: registry,
	})
	n.Start()
	f.t.Cleanup(n.Stop)
	f.nodes = append(f.nodes, n)
	f.callers = append(f.callers, callers.Addr().String())
}

func (f *fixture) await(what string, done func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(patience); !done(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			f.t.Fatalf("not reached: %s", what)
		}
	}
}

// checkHistory fails when the group saw a breach of its rules, or lacks a write
// that a caller was told of.
func (f *fixture) checkHistory(acknowledged []string) {
	f.t.Helper()
	for _, v := range f.group.Violations() {
		f.t.Error(v)
	}
	committed := map[string]bool{}
	for _, c := range f.group.Log() {
		for _, id := range c.IDs {
			committed[id] = true
		}
	}
	for _, id := range acknowledged {
		if !committed[id] {
			f.t.Errorf("write %s was acknowledged and is lost", id)
		}
	}
}

// caller is one session.
type caller struct {
	t      *testing.T
	conn   net.Conn
	reader *lineproto.Reader
}

// result is the answer to one request.
type result struct {
	id        string
	rows      []string
	signature string
	code      lineproto.Code
	text      string
	state     lineproto.TxState
	// broken is true when the connection ended without an answer.
	broken bool
}

func (r *result) ok() bool { return r.code == "" && !r.broken }

var lastRequest atomic.Int64

func dial(t *testing.T, address, startup string) (*caller, lineproto.Message) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	c := &caller{t: t, conn: conn, reader: lineproto.NewReader(conn)}
	_ = conn.SetDeadline(time.Now().Add(patience))
	c.send(startup)
	m, err := c.reader.Read()
	if err != nil {
		t.Fatalf("startup: %v", err)
	}
	return c, m
}

func (f *fixture) dial(vm int, database string) *caller {
	f.t.Helper()
	c, m := dial(f.t, f.callers[vm], "STARTUP "+database+" "+key)
	if m.Word != lineproto.Ready {
		f.t.Fatalf("startup: %+v", m)
	}
	return c
}

func (c *caller) send(line string) { _, _ = c.conn.Write([]byte(line + "\r\n")) }

// query sends a statement under an id of its own.
func (c *caller) query(text string) result {
	r := result{id: fmt.Sprintf("q%d", lastRequest.Add(1))}
	_ = c.conn.SetDeadline(time.Now().Add(patience))
	c.send("QUERY " + r.id + " " + text)
	for {
		m, err := c.reader.Read()
		if err != nil {
			r.broken = true
			return r
		}
		switch m.Word {
		case lineproto.Row:
			r.rows = append(r.rows, m.Rest)
		case lineproto.Complete:
			r.signature = m.Rest
		case lineproto.Error:
			code, text := lineproto.Cut(m.Rest)
			r.code, r.text = lineproto.Code(code), text
		case lineproto.Ready:
			r.state = lineproto.TxState(m.Rest[0])
			return r
		}
	}
}

// want sends a statement that has to succeed.
func (c *caller) want(text string) result {
	c.t.Helper()
	r := c.query(text)
	if !r.ok() {
		c.t.Fatalf("%s: %s %s (broken: %t)", text, r.code, r.text, r.broken)
	}
	return r
}

// refused sends a statement that has to fail with a code.
func (c *caller) refused(text string, code lineproto.Code) result {
	c.t.Helper()
	r := c.query(text)
	if r.code != code {
		c.t.Fatalf("%s: %q %s (broken: %t), want %s", text, r.code, r.text, r.broken, code)
	}
	return r
}

func contains(rows []string, text string) bool {
	return strings.Contains(strings.Join(rows, "\n"), text)
}
