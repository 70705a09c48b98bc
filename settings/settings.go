// Package settings reads the file that a VM's daemon starts from: its name,
// zone, listeners, credentials and exporters. docs/OPERATIONS.md is the
// reference of the fields.
package settings

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/findings"
	"github.com/chervilhatch/chervilhatch/findings/jsondoc"
)

// Defaults of optional fields.
const (
	DefaultPlatformTimeout = time.Second
	defaultAdminAddress    = "127.0.0.1:7434"
)

// Settings is the content of the file.
type Settings struct {
	VM       VM       `json:"vm"`
	Caller   Caller   `json:"caller"`
	Peer     Peer     `json:"peer"`
	Admin    Admin    `json:"admin"`
	Operator Operator `json:"operator"`
	Platform Platform `json:"platform"`
	Upstream Upstream `json:"upstream"`
	Log      Log      `json:"log"`
	Trace    Trace    `json:"trace"`
}

// SetDefaults sets the fields that a file may omit.
func (s *Settings) SetDefaults() {
	s.Caller.SetDefaults()
	s.Admin.SetDefaults()
	s.Platform.SetDefaults()
	s.Log.SetDefaults()
	s.Trace.SetDefaults()
}

// VM names the VM.
type VM struct {
	ID   model.VMID `json:"id"`
	Zone model.Zone `json:"zone"`
	// Capacity is the VM's share of a core; 0 means unknown. Only VMs that
	// speak the line protocol use it.
	Capacity float64 `json:"capacity"`
}

// TLS has the paths of PEM files. Relative paths are relative to the settings file.
type TLS struct {
	Cert string `json:"cert"`
	Key  string `json:"key"`
	// CA verifies the certificates of the other side.
	CA string `json:"ca"`
}

// Caller is the listener for PostgreSQL clients.
type Caller struct {
	Listen string `json:"listen"`
	// Cert and Key are PEM files; without them the listener offers no TLS.
	Cert string `json:"cert"`
	Key  string `json:"key"`
	// RequireTLS refuses callers that do not use TLS.
	RequireTLS bool `json:"require_tls"`
}

// SetDefaults sets the fields that a file may omit.
func (c *Caller) SetDefaults() { c.RequireTLS = true }

// Peer is the listener for other VMs, with mutual TLS.
type Peer struct {
	Listen string `json:"listen"`
	// Advertise is the address at which other VMs reach the listener.
	Advertise string `json:"advertise"`
	TLS       TLS    `json:"tls"`
	// Seeds are peer addresses that are asked for the list of VMs and the
	// configuration at the start, besides the platform.
	Seeds []string `json:"seeds"`
}

// Admin is the HTTP listener for health pages and metrics.
type Admin struct {
	Listen string `json:"listen"`
}

// SetDefaults sets the fields that a file may omit.
func (a *Admin) SetDefaults() { a.Listen = defaultAdminAddress }

// Operator is the listener for chervilhatchctl, with mutual TLS.
type Operator struct {
	Listen string `json:"listen"`
	// TLS is that of the peer listener when the file omits it.
	TLS *TLS `json:"tls"`
}

// Platform is how to reach the platform's key-value service.
type Platform struct {
	Addresses []string `json:"addresses"`
	// Timeout limits each call.
	Timeout jsondoc.Duration `json:"timeout"`
	// TLS is optional; without it the connection is not encrypted.
	TLS *TLS `json:"tls"`
}

// SetDefaults sets the fields that a file may omit.
func (p *Platform) SetDefaults() { p.Timeout = jsondoc.Duration(DefaultPlatformTimeout) }

// Upstream has the proxy's own credentials for the upstreams.
type Upstream struct {
	User     string `json:"user"`
	Password Secret `json:"password"`
	// PasswordFile has the password in its first line; Load reads it into Password.
	PasswordFile string `json:"password_file"`
}

// Secret is text that is not shown in logs.
type Secret string

// String hides the text.
func (Secret) String() string { return "(hidden)" }

// GoString hides the text.
func (Secret) GoString() string { return "(hidden)" }

// MarshalText hides the text from encoders, for example that of a log.
func (s Secret) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Reveal returns the text.
func (s Secret) Reveal() string { return string(s) }

// Log says what is logged and in which form.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `json:"level"`
	// Format is json or text.
	Format string `json:"form"`
}

// SetDefaults sets the fields that a file may omit.
func (l *Log) SetDefaults() { *l = Log{Level: "info", Format: "json"} }

// Exporters of traces.
const (
	TraceNone   = "none"
	TraceStdout = "stdout"
	TraceFile   = "file"
	TraceOTLP   = "otlp"
)

// Trace says where trace spans go.
type Trace struct {
	// Exporter is none, stdout, file or otlp.
	Exporter string `json:"exporter"`
	// File is the path that the file exporter writes.
	File string `json:"file"`
	// Endpoint is host:port of the collector that the otlp exporter sends to.
	Endpoint string `json:"endpoint"`
	// Insecure sends to the collector without TLS.
	Insecure bool `json:"insecure"`
	// Ratio is the share of requests that are traced, 0 to 1.
	Ratio float64 `json:"ratio"`
}

// SetDefaults sets the fields that a file may omit.
func (t *Trace) SetDefaults() { *t = Trace{Exporter: TraceNone, Ratio: 0.01} }

// Load reads and checks the file, and reads the files of secrets that it
// names. The error is a findings.List when the content is wrong.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	s, list := Parse(path, data)
	if err := list.Err(); err != nil {
		return nil, err
	}
	s.resolvePaths(filepath.Dir(path))
	if err := s.Upstream.readPassword(); err != nil {
		return nil, err
	}
	return s, nil
}

// Parse decodes and checks the content of a settings file. It reads no other file.
func Parse(file string, data []byte) (*Settings, findings.List) {
	s := &Settings{}
	source := jsondoc.Decode(file, data, s)
	if source.Parsed() {
		check(s, source)
	}
	if list := source.Findings(); len(list) > 0 {
		return nil, list
	}
	if s.Operator.TLS == nil {
		shared := s.Peer.TLS
		s.Operator.TLS = &shared
	}
	return s, nil
}

// resolvePaths makes relative paths relative to the directory of the settings file.
func (s *Settings) resolvePaths(dir string) {
	paths := []*string{&s.Caller.Cert, &s.Caller.Key, &s.Upstream.PasswordFile, &s.Trace.File}
	for _, tls := range []*TLS{&s.Peer.TLS, s.Operator.TLS, s.Platform.TLS} {
		if tls != nil {
			paths = append(paths, &tls.Cert, &tls.Key, &tls.CA)
		}
	}
	for _, p := range paths {
		if *p != "" && !filepath.IsAbs(*p) {
			*p = filepath.Join(dir, *p)
		}
	}
}

func (u *Upstream) readPassword() error {
	if u.PasswordFile == "" {
		return nil
	}
	data, err := os.ReadFile(u.PasswordFile)
	if err != nil {
		return fmt.Errorf("read upstream password: %w", err)
	}
	line, _, _ := strings.Cut(string(data), "\n")
	u.Password = Secret(strings.TrimSuffix(line, "\r"))
	if u.Password == "" {
		return fmt.Errorf("upstream password file %s has an empty first line", u.PasswordFile)
	}
	return nil
}
