package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// vm is one machine of the system: a process of its own, started with the command of the deploy file.
type vm struct {
	name, zone             string
	front, ready, settings string
	log                    string

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
	// ends counts the ends of the process.
	ends int
}

// rig is one deployment.
type rig struct {
	repo, temp string
	platform   *platform
	vms        []*vm
}

func newRig(repo string) *rig {
	temp, err := os.MkdirTemp("", "review-3-")
	must(err)
	return &rig{repo: repo, temp: temp, platform: startPlatform()}
}

// loopback is the address that all listeners of this process use, so that cases that run at the same
// time do not take each other's ports.
var loopback = fmt.Sprintf("127.%d.%d.%d", 16+rand.IntN(200), rand.IntN(256), 1+rand.IntN(250))

func listen() net.Listener {
	l, err := net.Listen("tcp", loopback+":0")
	must(err)
	return l
}

func freeAddress() string {
	l := listen()
	defer l.Close()
	return l.Addr().String()
}

var (
	section     = regexp.MustCompile(`(?s)\{\{([#^])([a-z.-]+)\}\}(.*?)\{\{/[a-z.-]+\}\}`)
	placeholder = regexp.MustCompile(`\{\{([a-z0-9.-]+)\}\}`)
)

// render fills in the settings template of the deploy file with the fields of one machine.
func (r *rig) render(fields map[string]string, seeds []string) string {
	data, err := os.ReadFile(filepath.Join(r.repo, "deploy/settings.jsonc"))
	must(err)
	text := regexp.MustCompile(`\{\{#seeds\}\}.*?\{\{/seeds\}\}`).ReplaceAllLiteralString(string(data), `"`+strings.Join(seeds, `","`)+`"`)
	text = section.ReplaceAllStringFunc(text, func(s string) string {
		m := section.FindStringSubmatch(s)
		value, found := fields[m[2]]
		present := found && value != "false"
		if present == (m[1] == "#") {
			return m[3]
		}
		return ""
	})
	return placeholder.ReplaceAllStringFunc(text, func(s string) string { return fields[placeholder.FindStringSubmatch(s)[1]] })
}

// addVMs starts one machine in each of the zones, within 0.3 s of each other.
func (r *rig) addVMs(zones ...string) {
	var controls []string
	for range zones {
		controls = append(controls, freeAddress())
	}
	for i, zone := range zones {
		v := &vm{name: fmt.Sprintf("front-%s-%d", zone, i+1), zone: zone, front: freeAddress(), ready: freeAddress()}
		metrics := freeAddress()
		host, port, _ := net.SplitHostPort(metrics)
		fields := map[string]string{
			"node-name": v.name, "zone": zone, "limits.cpu-share": "0.4", "limits.max-fds": "4200", "limits.memory-mb": "284",
			"listen-addrs.front": v.front, "listen-addrs.ready-addr": v.ready, "listen-addrs.control": controls[i],
			"ip": host, "port-range.0": port, "platform.address": r.platform.address, "cloud-api.address": r.platform.address,
			"bounds.enforce-fencing": "true", "bounds.grace-s": "6",
		}
		v.settings = filepath.Join(r.temp, v.name+".jsonc")
		v.log = filepath.Join(r.temp, v.name+".log")
		must(os.WriteFile(v.settings, []byte(r.render(fields, controls[:min(len(controls), 3)])), 0o600))
		r.vms = append(r.vms, v)
		r.startVM(v)
	}
}

func (r *rig) startVM(v *vm) {
	out, err := os.OpenFile(v.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	c := exec.Command(filepath.Join(r.repo, "target/chervilhatchd"), "line", "--settings", v.settings)
	c.Stdout, c.Stderr = out, out
	c.Dir = r.repo
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "CHERVILHATCH_NODE_FILE=" + v.settings}
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(c.Start())
	ended := make(chan struct{})
	v.mu.Lock()
	v.process, v.ended = c, ended
	v.mu.Unlock()
	note(v.name, "starts")
	go func() {
		err := c.Wait()
		out.Close()
		v.mu.Lock()
		v.ends++
		v.mu.Unlock()
		note(v.name, fmt.Sprintf("ends: %v", err))
		close(ended)
	}()
}

// awaitReady waits until all machines answer the ready probe with 200.
func (r *rig) awaitReady() {
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(200 * time.Millisecond) {
		all := true
		for _, v := range r.vms {
			all = all && v.isReady()
		}
		if all {
			note("platform", "all machines are ready")
			return
		}
		if time.Now().After(end) {
			must(fmt.Errorf("the machines are not ready after 20 s; logs in %s", r.temp))
		}
	}
}

func (v *vm) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + v.ready + "/chervilhatch/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == 200
}

func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	note(v.name, "gets "+s.String())
	v.process.Process.Signal(s)
}

// stop ends all processes that the rig started.
func (r *rig) stop() {
	for _, v := range r.vms {
		v.mu.Lock()
		process, ended := v.process, v.ended
		v.mu.Unlock()
		process.Process.Kill()
		<-ended
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(r.temp)
	}
}
