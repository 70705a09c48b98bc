package settings

import (
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/chervilhatch/chervilhatch/findings/jsondoc"
)

// Limits of the timeout of calls to the platform.
const (
	minPlatformTimeout = 10 * time.Millisecond
	maxPlatformTimeout = time.Minute
)

// checker adds the findings of the checks to source.
type checker struct{ source *jsondoc.Source }

func check(s *Settings, source *jsondoc.Source) {
	c := checker{source}
	c.name("vm.id", string(s.VM.ID))
	c.name("vm.zone", string(s.VM.Zone))
	c.checkCaller(&s.Caller)
	c.checkPeer(&s.Peer)
	c.listen("admin.listen", s.Admin.Listen)
	c.listen("operator.listen", s.Operator.Listen)
	if s.Operator.TLS != nil {
		c.tls("operator.tls", s.Operator.TLS)
	}
	c.checkPlatform(&s.Platform)
	c.checkUpstream(&s.Upstream)
	c.oneOf("log.level", s.Log.Level, "debug", "info", "warn", "error")
	c.oneOf("log.form", s.Log.Format, "json", "text")
	c.checkTrace(&s.Trace)
}

func (c checker) checkCaller(v *Caller) {
	c.listen("caller.listen", v.Listen)
	if (v.Cert == "") != (v.Key == "") {
		c.source.Add("caller", "cert and key must be given together")
	}
	if v.RequireTLS && v.Cert == "" {
		c.source.Add("caller.cert", "is required unless require_tls is false")
	}
}

func (c checker) checkPeer(v *Peer) {
	c.listen("peer.listen", v.Listen)
	c.address("peer.advertise", v.Advertise)
	for i, address := range v.Seeds {
		c.address(fmt.Sprintf("peer.seeds[%d]", i), address)
	}
	c.tls("peer.tls", &v.TLS)
}

func (c checker) checkPlatform(v *Platform) {
	if len(v.Addresses) == 0 {
		c.source.Add("platform.addresses", "must have at least one address")
	}
	for i, address := range v.Addresses {
		c.address(fmt.Sprintf("platform.addresses[%d]", i), address)
	}
	if v.Timeout.Std() < minPlatformTimeout || v.Timeout.Std() > maxPlatformTimeout {
		c.source.Add("platform.timeout", "must be %s to %s, not %s", minPlatformTimeout, maxPlatformTimeout, v.Timeout)
	}
	if v.TLS != nil {
		c.tls("platform.tls", v.TLS)
	}
}

func (c checker) checkUpstream(v *Upstream) {
	c.required("upstream.user", v.User)
	if (v.Password == "") == (v.PasswordFile == "") {
		c.source.Add("upstream", "exactly one of password and password_file must be given")
	}
}

func (c checker) checkTrace(v *Trace) {
	c.oneOf("trace.exporter", v.Exporter, TraceNone, TraceStdout, TraceFile, TraceOTLP)
	if v.Exporter == TraceFile {
		c.required("trace.file", v.File)
	}
	if v.Exporter == TraceOTLP {
		c.address("trace.endpoint", v.Endpoint)
	}
	if v.Ratio < 0 || v.Ratio > 1 {
		c.source.Add("trace.ratio", "must be 0 to 1, not %v", v.Ratio)
	}
}

func (c checker) tls(path string, v *TLS) {
	c.required(path+".cert", v.Cert)
	c.required(path+".key", v.Key)
	c.required(path+".ca", v.CA)
}

func (c checker) required(path, value string) {
	if value == "" {
		c.source.Add(path, "must not be empty")
	}
}

// name checks an identifier. It is part of store keys and of terms, so it must not
// contain blanks or "/".
func (c checker) name(path, value string) {
	c.required(path, value)
	if strings.ContainsAny(value, "/ \t\r\n") {
		c.source.Add(path, "%q must not contain spaces or \"/\"", value)
	}
}

func (c checker) oneOf(path, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		c.source.Add(path, "must be one of %s, not %q", strings.Join(allowed, ", "), value)
	}
}

// listen checks an address to listen on. Its host may be empty and its port may
// be 0.
func (c checker) listen(path, address string) {
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		c.source.Add(path, "%q is not an address of the form host:port", address)
		return
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		c.source.Add(path, "the port of %q must be 0 to 65535", address)
	}
}

// address checks an address to connect to.
func (c checker) address(path, address string) {
	host, port, err := net.SplitHostPort(address)
	if err != nil || host == "" {
		c.source.Add(path, "%q is not an address of the form host:port", address)
		return
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		c.source.Add(path, "the port of %q must be 1 to 65535", address)
	}
}
