package soak

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/chervilhatch/chervilhatch/test/ports"
)

// vm is a daemon process.
type vm struct {
	t        *testing.T
	binary   string
	settings string
	log      string
	callers  string
	ready    string
	// peers is the link through which other VMs connect to this one.
	peers *link

	cmd    *exec.Cmd
	exited chan struct{}
	// mu is held while the process is killed and restarted by an event in the background.
	mu sync.Mutex
	// pid is the id of the last process that was started, 0 before.
	pid atomic.Int64
}

// gracePeriod is the setting grace: the time from SIGTERM until a VM has to have
// stopped.
const gracePeriod = 3 * time.Second

func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := ports.Free()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// newVM writes the settings of a VM without starting it. store is the address at which
// the VM reaches the store and the promoter; checksTokens is whether the promoter checks
// fencing tokens.
func newVM(t *testing.T, binary, dir string, i int, store string, checksTokens bool) *vm {
	name := fmt.Sprintf("vm-%d", i)
	v := &vm{
		t: t, binary: binary, settings: filepath.Join(dir, name+".json"), log: filepath.Join(dir, name+".log"),
		callers: freeAddress(t), ready: freeAddress(t),
	}
	peers := freeAddress(t)
	v.peers = newLink(t, func() string { return peers })
	content, err := json.Marshal(map[string]any{
		"vm":       map[string]any{"id": name, "zone": fmt.Sprintf("zone-%c", 'a'+i%3)},
		"callers":  map[string]any{"listen": v.callers, "max_descriptors": 4000},
		"ready":    map[string]any{"listen": v.ready},
		"peer":     map[string]any{"listen": peers, "advertise": v.peers.address(), "insecure": true},
		"store":    map[string]any{"address": store, "watch_wait": "1s"},
		"promoter": map[string]any{"address": store, "checks_tokens": checksTokens},
		"usage":    map[string]any{"window": "1s", "due": "4s", "lease": "3s"},
		"grace":    gracePeriod.String(),
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(v.settings, content, 0o600); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(v.kill)
	return v
}

// start starts the process. Its exit status is appended to its log file.
func (v *vm) start() {
	out, err := os.OpenFile(v.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		v.t.Error(err)
		return
	}
	cmd := exec.Command(v.binary, "line", "--settings", v.settings)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		v.t.Error(err)
		return
	}
	exited := make(chan struct{})
	v.cmd, v.exited = cmd, exited
	v.pid.Store(int64(cmd.Process.Pid))
	go func() {
		err := cmd.Wait()
		_, _ = fmt.Fprintf(out, "process ended: %v (%v)\n", cmd.ProcessState, err)
		_ = out.Close()
		close(exited)
	}()
}

// signal sends a signal to the process, which may have ended.
func (v *vm) signal(s syscall.Signal) {
	if err := v.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		v.t.Error(err)
	}
}

// kill sends SIGKILL and waits until the process has exited.
func (v *vm) kill() {
	if v.cmd == nil {
		return
	}
	v.signal(syscall.SIGKILL)
	<-v.exited
}

// stop sends SIGTERM and waits until the process has exited. It fails the test if that
// takes more than twice the grace period.
func (v *vm) stop() {
	v.signal(syscall.SIGTERM)
	select {
	case <-v.exited:
	case <-time.After(2 * gracePeriod):
		v.t.Errorf("%s did not stop within twice the grace period", v.settings)
		v.kill()
	}
}

// isReady reports whether the readiness endpoint answers 200.
func (v *vm) isReady() bool {
	client := http.Client{Timeout: time.Second}
	answer, err := client.Get("http://" + v.ready + "/chervilhatch/ready")
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}
