package cluster

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/chervilhatch/chervilhatch/test/ports"
)

// Daemon is one chervilhatchd process.
type Daemon struct {
	ID   string
	Zone string

	CallerAddress   string
	PeerAddress     string
	AdminAddress    string
	OperatorAddress string
	// Listed reports whether the platform's list of VMs contains this VM, and
	// Leaving whether it is listed there as leaving.
	Listed  bool
	Leaving bool

	// peerLinkAddress is the address at which other VMs reach PeerAddress, and
	// callerLinkAddress that at which callers reach CallerAddress.
	peerLinkAddress   string
	callerLinkAddress string

	cluster  *Cluster
	settings string
	log      string
	cmd      *exec.Cmd
	exited   chan struct{}
}

// peerUserTimeout is the TCP_USER_TIMEOUT on connections to peers. gRPC sets it
// to the keepalive timeout.
const peerUserTimeout = 2 * time.Second

// seedCount is the number of daemons that serve as seeds for the later ones.
const seedCount = 2

// newDaemon chooses free addresses for a daemon and writes its settings file.
func (c *Cluster) newDaemon(id, zone string) (*Daemon, error) {
	d := &Daemon{ID: id, Zone: zone, Listed: true, cluster: c}
	for _, to := range []*string{&d.CallerAddress, &d.PeerAddress, &d.AdminAddress, &d.OperatorAddress} {
		address, err := ports.Free()
		if err != nil {
			return nil, err
		}
		*to = address
	}
	var err error
	if d.peerLinkAddress, err = c.startLink(d.PeerAddress, c.options.PeerDelay); err != nil {
		return nil, err
	}
	if d.peerLinkAddress, err = c.relayAddress(zone, d.peerLinkAddress, peerUserTimeout); err != nil {
		return nil, err
	}
	if d.callerLinkAddress, err = c.startLink(d.CallerAddress, c.options.CallerDelay); err != nil {
		return nil, err
	}
	d.settings = filepath.Join(c.options.Dir, id+".json")
	d.log = filepath.Join(c.options.Dir, id+".log")
	return d, writeJSON(d.settings, c.settingsFor(d))
}

func (c *Cluster) settingsFor(d *Daemon) map[string]any {
	level := c.options.LogLevel
	if level == "" {
		level = "info"
	}
	seeds := []string{}
	if c.options.Seeds {
		for _, seed := range c.Daemons[:min(seedCount, len(c.Daemons))] {
			seeds = append(seeds, seed.peerLinkAddress)
		}
	}
	return map[string]any{
		"vm":     map[string]any{"id": d.ID, "zone": d.Zone},
		"caller": map[string]any{"listen": d.CallerAddress, "require_tls": false},
		"peer": map[string]any{
			"listen": d.PeerAddress, "advertise": d.peerLinkAddress, "seeds": seeds,
			"tls": map[string]any{"cert": c.certs.cert, "key": c.certs.key, "ca": c.certs.ca},
		},
		"operator": map[string]any{"listen": d.OperatorAddress},
		"admin":    map[string]any{"listen": d.AdminAddress},
		"platform": map[string]any{"addresses": []string{c.store}},
		"upstream": map[string]any{"user": UpstreamUser, "password": UpstreamPassword},
		"log":      map[string]any{"level": level, "form": "json"},
	}
}

// Start starts the process.
func (d *Daemon) Start() error {
	out, err := os.OpenFile(d.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	d.cmd = exec.Command(filepath.Join(d.cluster.bin, "chervilhatchd"), "run", "--settings", d.settings)
	d.cmd.Stdout, d.cmd.Stderr = out, out
	if err := d.cmd.Start(); err != nil {
		return errors.Join(fmt.Errorf("start %s: %w", d.ID, err), out.Close())
	}
	if d.cluster.Network != nil {
		d.cluster.Network.register(d.cmd.Process.Pid, d.Zone)
	}
	cmd, exited := d.cmd, make(chan struct{})
	d.exited = exited
	go func() {
		err := cmd.Wait()
		// Appends the exit status, which the process cannot log itself.
		_, _ = fmt.Fprintf(out, "process ended: %v (%v)\n", cmd.ProcessState, err)
		_ = out.Close()
		close(exited)
	}()
	return nil
}

// WaitReady waits until the daemon's readiness check succeeds. After
// readyTimeout it returns ErrNotReady with the end of the log.
func (d *Daemon) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if d.ready(ctx) {
			return nil
		}
		time.Sleep(pollInterval)
	}
	return fmt.Errorf("%w: %s:\n%s", ErrNotReady, d.ID, d.LogTail())
}

func (d *Daemon) ready(ctx context.Context) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.AdminAddress+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Signal sends a signal to the process.
func (d *Daemon) Signal(s syscall.Signal) error { return d.cmd.Process.Signal(s) }

// Kill sends SIGKILL and waits until the process has exited.
func (d *Daemon) Kill() {
	if d.cmd == nil {
		return
	}
	_ = d.cmd.Process.Signal(syscall.SIGCONT)
	_ = d.cmd.Process.Kill()
	<-d.exited
}

// Terminate sends SIGTERM and waits until the process has exited or ctx is done.
// The platform lists the VM as leaving during the shutdown, and no longer lists
// it after the exit.
func (d *Daemon) Terminate(ctx context.Context) error {
	d.Leaving = true
	d.cluster.publishVMs()
	if err := d.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-d.exited:
	case <-ctx.Done():
		return ctx.Err()
	}
	d.Remove()
	return nil
}

// Remove removes the VM from the platform's list.
func (d *Daemon) Remove() {
	d.Listed = false
	d.cluster.publishVMs()
}

// Restart starts the process again, lists its VM as live and waits until the
// daemon is ready.
func (d *Daemon) Restart(ctx context.Context) error {
	d.Listed, d.Leaving = true, false
	d.cluster.publishVMs()
	if err := d.Start(); err != nil {
		return err
	}
	return d.WaitReady(ctx)
}

// logTailBytes is the maximum length of the text that LogTail returns.
const logTailBytes = 4000

// LogTail returns the end of the daemon's log.
func (d *Daemon) LogTail() string {
	data, err := os.ReadFile(d.log)
	if err != nil {
		return err.Error()
	}
	if len(data) > logTailBytes {
		data = data[len(data)-logTailBytes:]
	}
	return string(data)
}
