// Package cluster starts chervilhatchd processes on loopback. The stand-ins for
// the platform and the database groups run in the calling process, so that
// tests can inject their faults through method calls.
package cluster

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/chervilhatch/chervilhatch/core/config"
	"github.com/chervilhatch/chervilhatch/core/model"
	platformv1 "github.com/chervilhatch/chervilhatch/proto/platform/v1"
	"github.com/chervilhatch/chervilhatch/standin/platform"
	"github.com/chervilhatch/chervilhatch/standin/upstream"
)

// Credentials with which the proxy logs in to the upstreams.
const (
	UpstreamUser     = "chervilhatch"
	UpstreamPassword = "upstream-secret"
)

// Timing of WaitReady.
const (
	readyTimeout = 20 * time.Second
	pollInterval = 20 * time.Millisecond
)

// ErrNotReady means that a daemon did not become ready within readyTimeout.
var ErrNotReady = errors.New("daemon not ready")

// Options describe a deployment.
type Options struct {
	// Dir is the directory for binaries, settings, certificates and logs.
	Dir string
	// Bin is a directory of prebuilt binaries. If it is empty, Start builds them
	// into Dir.
	Bin string
	// Zones are the names of the availability zones. VMs and upstreams are
	// assigned to them in turn.
	Zones []string
	// VMs is the number of daemons.
	VMs int
	// Databases are the names of the database groups.
	Databases []string
	// Upstream has the options of every upstream. Start sets its credentials,
	// connection limit and slots.
	Upstream    upstream.Options
	Slots       int
	Connections int
	// Workspaces and Jobs are those of the configuration.
	Workspaces []Workspace
	Jobs       []config.Job
	// PeerDelay is the one-way delay of every link between VMs and from a VM to
	// an upstream; CallerDelay is that from a caller to a VM. Links within a zone
	// are delayed too, because all clients of a target connect to one address.
	PeerDelay   time.Duration
	CallerDelay time.Duration
	// LogLevel is the log level of the daemons, info by default.
	LogLevel string
	// Network routes all connections of the daemons, except those from callers,
	// through relays that can cut and delay them.
	Network bool
	// Seeds lists the peer addresses of the first two daemons as seeds in the
	// settings of the daemons that are created after them.
	Seeds bool
}

// Workspace is a workspace with its key in plain text.
type Workspace struct {
	Name   model.Workspace
	Key    string
	Rate   float64
	Burst  float64
	Weight float64
}

// Cluster is a running deployment.
type Cluster struct {
	Platform *platform.Server
	Groups   map[string]*upstream.Group
	Daemons  []*Daemon
	Document *config.Document
	// Network is nil unless the options ask for it.
	Network *Network
	options Options
	certs   *certFiles
	// store is the address at which the daemons reach the platform.
	store string
	bin   string
	// upstreamAddresses are the addresses of the upstreams, or of the delayed
	// links to them. With a Network the configuration has relays to these.
	upstreamAddresses map[model.UpstreamID]string
	listeners         []net.Listener
}

// Start builds the binaries, stores the first configuration and starts the
// stand-ins and the daemons. It returns when all daemons are ready. The caller
// must call Stop even if Start returns an error.
func Start(ctx context.Context, o Options) (*Cluster, error) {
	c := &Cluster{options: o, Groups: map[string]*upstream.Group{}, upstreamAddresses: map[model.UpstreamID]string{}}
	if o.Network {
		c.Network = newNetwork()
	}
	steps := []func(context.Context) error{
		c.build, c.startGroups, c.startPlatform, c.writeCertificates, c.storeConfig, c.startDaemons,
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return c, err
		}
	}
	return c, nil
}

// build compiles chervilhatchd and chervilhatchctl into Options.Dir unless
// Options.Bin names a directory of prebuilt binaries.
func (c *Cluster) build(ctx context.Context) error {
	if c.options.Bin != "" {
		c.bin = c.options.Bin
		return nil
	}
	c.bin = c.options.Dir
	module := "github.com/chervilhatch/chervilhatch/cmd"
	cmd := exec.CommandContext(ctx, "go", "build", "-o", c.bin+"/", module+"/chervilhatchd", module+"/chervilhatchctl")
	output, err := cmd.CombinedOutput()
	if err != nil {
		return fmt.Errorf("build: %w: %s", err, output)
	}
	return nil
}

func (c *Cluster) startGroups(context.Context) error {
	for _, name := range c.options.Databases {
		o := c.options.Upstream
		o.User, o.Password = UpstreamUser, UpstreamPassword
		o.MaxConnections = c.options.Connections
		o.Slots = c.options.Slots
		group, err := upstream.NewGroup(name, o)
		if err != nil {
			return fmt.Errorf("group %s: %w", name, err)
		}
		c.Groups[name] = group
		for _, u := range group.Upstreams {
			if c.upstreamAddresses[u.ID()], err = c.startLink(u.Address(), c.options.PeerDelay); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *Cluster) startPlatform(context.Context) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	c.store = l.Addr().String()
	c.Platform = platform.New()
	go func() { _ = c.Platform.Serve(l) }()
	c.store, err = c.relayAddress(PlatformSite, c.store, 0)
	return err
}

// publishVMs sets the platform's list of VMs from the Listed and Leaving fields
// of the daemons.
func (c *Cluster) publishVMs() {
	var vms []*platformv1.VM
	for _, d := range c.Daemons {
		if d.Listed {
			state := platformv1.VMState_VM_STATE_LIVE
			if d.Leaving {
				state = platformv1.VMState_VM_STATE_LEAVING
			}
			vms = append(vms, &platformv1.VM{Id: d.ID, Zone: d.Zone, PeerAddress: d.peerLinkAddress, State: state})
		}
	}
	c.Platform.SetVMs(vms)
}

func (c *Cluster) startDaemons(ctx context.Context) error {
	for i := range c.options.VMs {
		zone := c.options.Zones[i%len(c.options.Zones)]
		d, err := c.newDaemon(fmt.Sprintf("vm-%d", i+1), zone)
		if err != nil {
			return err
		}
		c.Daemons = append(c.Daemons, d)
	}
	c.publishVMs()
	for _, d := range c.Daemons {
		if err := d.Start(); err != nil {
			return err
		}
	}
	for _, d := range c.Daemons {
		if err := d.WaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Stop kills all daemons and stops the links, relays and stand-ins.
func (c *Cluster) Stop() {
	for _, d := range c.Daemons {
		d.Kill()
	}
	for _, l := range c.listeners {
		_ = l.Close()
	}
	if c.Network != nil {
		c.Network.close()
	}
	for _, g := range c.Groups {
		g.Stop()
	}
	if c.Platform != nil {
		c.Platform.Stop()
	}
}

// relayAddress returns the address at which daemons reach a target at a site.
// With a Network it starts a relay; userTimeout is the TCP_USER_TIMEOUT that the
// daemons set on these connections.
func (c *Cluster) relayAddress(site, target string, userTimeout time.Duration) (string, error) {
	if c.Network == nil {
		return target, nil
	}
	return c.Network.listen(site, target, userTimeout)
}

// Key returns the key of a workspace.
func (c *Cluster) Key(w model.Workspace) string {
	for _, known := range c.options.Workspaces {
		if known.Name == w {
			return known.Key
		}
	}
	return ""
}

// URL returns the connection string of a workspace and job on daemon i. It
// connects through the delayed link if CallerDelay is set.
func (c *Cluster) URL(i int, w model.Workspace, j model.Job) string {
	return fmt.Sprintf("postgresql://%s:%s@%s/%s?sslmode=disable", w, c.Key(w), c.Daemons[i].callerLinkAddress, j)
}

// Ctl runs chervilhatchctl against daemon i and returns its standard output.
func (c *Cluster) Ctl(ctx context.Context, i int, args ...string) (string, error) {
	args = append([]string{
		"--daemon", c.Daemons[i].OperatorAddress,
		"--cert", c.certs.cert, "--key", c.certs.key, "--ca", c.certs.ca, "--author", "test",
	}, args...)
	cmd := exec.CommandContext(ctx, filepath.Join(c.bin, "chervilhatchctl"), args...)
	var stdout, stderr bytes.Buffer
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	if err := cmd.Run(); err != nil {
		return stdout.String(), fmt.Errorf("chervilhatchctl %v: %w: %s", args[8:], err, stderr.String())
	}
	return stdout.String(), nil
}

func writeJSON(path string, v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, data, 0o600)
}
