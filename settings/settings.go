// Package settings reads and checks the settings file of a VM's daemon, which has
// the VM's name, zone, listeners, credentials and exporters.
// docs/OPERATIONS.md is the reference of the fields.
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

// Settings is the content of the settings file.
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

// SetDefaults sets the defaults of optional fields.
func (s *Settings) SetDefaults() {
	s.Caller.SetDefaults()
	s.Admin.SetDefaults()
	s.Platform.SetDefaults()
	s.Log.SetDefaults()
	s.Trace.SetDefaults()
}

// VM identifies the VM.
type VM struct {
	ID   model.VMID `json:"id"`
	Zone model.Zone `json:"zone"`
	// Capacity is the VM's share of a CPU core; 0 means unknown. Only VMs that use
	// the line protocol read it.
	Capacity float64 `json:"capacity"`
}

// TLS has the paths of PEM files. Relative paths are relative to the directory of
// the settings file.
type TLS struct {
	Cert string `json:"cert"`
	Key  string `json:"key"`
	// CA has the certificates of the authorities that sign those of the other side.
	CA string `json:"ca"`
}

// Caller configures the listener for PostgreSQL clients.
type Caller struct {
	Listen string `json:"listen"`
	// Cert and Key are paths of PEM files. Without them the listener has no TLS.
	Cert string `json:"cert"`
	Key  string `json:"key"`
	// RequireTLS rejects callers that do not use TLS.
	RequireTLS bool `json:"require_tls"`
}

// SetDefaults sets the defaults of optional fields.
func (c *Caller) SetDefaults() { c.RequireTLS = true }

// Peer configures the listener for other VMs, which uses mutual TLS.
type Peer struct {
	Listen string `json:"listen"`
	// Advertise is the address at which other VMs reach the listener.
	Advertise string `json:"advertise"`
	TLS       TLS    `json:"tls"`
	// Seeds are addresses of peers from which the VM gets the list of VMs and the
	// configuration at the start, in addition to the platform.
	Seeds []string `json:"seeds"`
}

// Admin configures the HTTP listener for health checks and metrics.
type Admin struct {
	Listen string `json:"listen"`
}

// SetDefaults sets the defaults of optional fields.
func (a *Admin) SetDefaults() { a.Listen = defaultAdminAddress }

// Operator configures the listener for chervilhatchctl, which uses mutual TLS.
type Operator struct {
	Listen string `json:"listen"`
	// TLS defaults to the TLS settings of the peer listener.
	TLS *TLS `json:"tls"`
}

// Platform configures the connection to the platform's key-value service.
type Platform struct {
	Addresses []string `json:"addresses"`
	// Timeout limits each call.
	Timeout jsondoc.Duration `json:"timeout"`
	// TLS is optional. Without it the connection is not encrypted.
	TLS *TLS `json:"tls"`
}

// SetDefaults sets the defaults of optional fields.
func (p *Platform) SetDefaults() { p.Timeout = jsondoc.Duration(DefaultPlatformTimeout) }

// Upstream has the credentials with which the proxy logs in to the upstreams.
type Upstream struct {
	User     string `json:"user"`
	Password Secret `json:"password"`
	// PasswordFile is the path of a file with the password in its first line. Load
	// reads it into Password.
	PasswordFile string `json:"password_file"`
}

// Secret is text that formatting and encoding redact, so that it does not appear
// in logs.
type Secret string

// String returns a placeholder for the text.
func (Secret) String() string { return "(hidden)" }

// GoString returns a placeholder for the text.
func (Secret) GoString() string { return "(hidden)" }

// MarshalText returns a placeholder for the text, for encoders such as that of the
// log.
func (s Secret) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Reveal returns the text.
func (s Secret) Reveal() string { return string(s) }

// Log configures the level and the format of the log.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `json:"level"`
	// Format is json or text.
	Format string `json:"form"`
}

// SetDefaults sets the defaults of optional fields.
func (l *Log) SetDefaults() { *l = Log{Level: "info", Format: "json"} }

// Exporters of traces.
const (
	TraceNone   = "none"
	TraceStdout = "stdout"
	TraceFile   = "file"
	TraceOTLP   = "otlp"
)

// Trace configures the export of traces.
type Trace struct {
	// Exporter is none, stdout, file or otlp.
	Exporter string `json:"exporter"`
	// File is the path of the file that the file exporter appends to.
	File string `json:"file"`
	// Endpoint is the address of the collector for the otlp exporter, as host:port.
	Endpoint string `json:"endpoint"`
	// Insecure disables TLS to the collector.
	Insecure bool `json:"insecure"`
	// Ratio is the fraction of requests that are sampled, 0 to 1.
	Ratio float64 `json:"ratio"`
}

// SetDefaults sets the defaults of optional fields.
func (t *Trace) SetDefaults() { *t = Trace{Exporter: TraceNone, Ratio: 0.01} }

// Load reads and checks the settings file and reads the password file that it
// names. The error is a findings.List if the content is invalid.
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

// Parse decodes and checks the content of a settings file. It reads no files.
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
