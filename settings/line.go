package settings

import (
	"cmp"
	"fmt"
	"os"
	"time"

	"github.com/chervilhatch/chervilhatch/findings"
	"github.com/chervilhatch/chervilhatch/findings/jsondoc"
)

// Defaults of optional fields of Line.
const (
	DefaultStoreTimeout = 700 * time.Millisecond
	DefaultWatchWait    = 2500 * time.Millisecond
	DefaultGrace        = 6 * time.Second
)

// Line is the content of the settings file of a VM whose callers and upstreams
// use the line protocol.
type Line struct {
	VM       VM           `json:"vm"`
	Callers  LineCallers  `json:"callers"`
	Ready    Admin        `json:"ready"`
	Metrics  Admin        `json:"metrics"`
	Peer     LinePeer     `json:"peer"`
	Store    LineStore    `json:"store"`
	Promoter LinePromoter `json:"promoter"`
	// Connections configures the connections to upstreams.
	Connections LineConnections `json:"connections"`
	// Admission is how statements wait for an upstream without a free slot.
	Admission LineAdmission `json:"admission"`
	// Usage configures the reports of usage; without it there are none.
	Usage *LineUsage `json:"usage"`
	// Grace is the termination grace period: the time from the request to stop
	// until the process is killed.
	Grace jsondoc.Duration `json:"grace"`
	// MemoryMB is the memory limit of the process in MB; 0 means no limit.
	MemoryMB int `json:"memory_mb"`
	// Balance configures the choice of the upstream of a read.
	Balance LineBalance `json:"balance"`
	Log     Log         `json:"log"`
	Trace   Trace       `json:"trace"`
}

// SetDefaults sets the defaults of optional fields.
func (s *Line) SetDefaults() {
	s.Grace = jsondoc.Duration(DefaultGrace)
	s.Store.SetDefaults()
	s.Connections.SetDefaults()
	s.Admission.SetDefaults()
	s.Balance.Mode = BalanceLeast
	s.Log.SetDefaults()
	s.Trace.SetDefaults()
}

// Balance modes.
const (
	// BalanceLeast takes the upstream with the lowest estimate.
	BalanceLeast = "least"
	// BalanceEven spreads reads so that load stays even with old figures.
	BalanceEven = "even"
)

// LineBalance configures how reads are shared out among upstreams.
type LineBalance struct {
	// Mode is BalanceLeast or BalanceEven.
	Mode string `json:"mode"`
}

// LineCallers configures the listener for callers.
type LineCallers struct {
	Listen string `json:"listen"`
	// MaxDescriptors is the process's limit of file descriptors, some of which are
	// reserved for other uses than caller connections.
	MaxDescriptors int `json:"max_descriptors"`
}

// LinePeer configures the listener for other VMs.
type LinePeer struct {
	Listen string `json:"listen"`
	// Advertise is the address at which other VMs reach the listener. If empty, it
	// is Listen.
	Advertise string   `json:"advertise"`
	Seeds     []string `json:"seeds"`
	// Insecure disables mutual TLS, which requires a network that only trusted
	// hosts can access. It must be true, because TLS is not implemented here.
	Insecure bool `json:"insecure"`
}

// Address returns the address at which other VMs reach the listener.
func (p *LinePeer) Address() string { return cmp.Or(p.Advertise, p.Listen) }

// LineStore configures the connection to the platform's metadata store.
type LineStore struct {
	Address string           `json:"address"`
	Timeout jsondoc.Duration `json:"timeout"`
	// WatchWait is the long-poll timeout of a watch: how long the store may wait
	// for changes before it responds.
	WatchWait jsondoc.Duration `json:"watch_wait"`
}

// SetDefaults sets the defaults of optional fields.
func (s *LineStore) SetDefaults() {
	s.Timeout = jsondoc.Duration(DefaultStoreTimeout)
	s.WatchWait = jsondoc.Duration(DefaultWatchWait)
}

// LinePromoter configures the connection to the service that promotes upstreams.
type LinePromoter struct {
	Address string `json:"address"`
	// ChecksTokens is true if the service refuses calls with a lower fencing token than
	// it has seen.
	ChecksTokens bool `json:"checks_tokens"`
}

// Divisions of an upstream's connection limit among VMs; see package connlimit.
const (
	DivisionFixed    = "fixed"
	DivisionAdaptive = "adaptive"
)

// LineConnections configures the connections to upstreams.
type LineConnections struct {
	// Division is how VMs divide the connection limit of an upstream, for services whose
	// statements wait by AdmissionDeadline; others have DivisionFixed. It has to be the
	// same on all VMs.
	Division string `json:"division"`
}

// SetDefaults sets the defaults of optional fields.
func (s *LineConnections) SetDefaults() { s.Division = DivisionFixed }

// Modes of LineAdmission.
const (
	// AdmissionWait sends statements as long as there are connections, and lets others
	// wait for a connection for a part of their latency objective.
	AdmissionWait = "wait"
	// AdmissionDeadline sends as many statements as the upstream has slots, of services
	// with a route of the highest priority. The others wait in the order of their
	// priorities, objectives and deadlines, and those that cannot be run in time are
	// refused at once. Other services are served as with AdmissionWait.
	AdmissionDeadline = "deadline"
)

// LineAdmission configures how statements wait for upstreams.
type LineAdmission struct {
	// Mode is AdmissionWait or AdmissionDeadline.
	Mode string `json:"mode"`
}

// SetDefaults sets the defaults of optional fields.
func (a *LineAdmission) SetDefaults() { a.Mode = AdmissionWait }

// LineUsage configures the reports of the requests of each workspace, which the service
// that promotes upstreams takes as well.
type LineUsage struct {
	// Window is the length of the windows of true time in which requests are counted.
	Window jsondoc.Duration `json:"window"`
	// Due is how long after the end of a window its report is due.
	Due jsondoc.Duration `json:"due"`
	// Lease is the time within which no two VMs may take turns in reporting.
	Lease jsondoc.Duration `json:"lease"`
}

// Limits of LineUsage: the counts of a window need some polls between VMs until they are
// complete, and windows are kept until they are due.
const (
	MinUsageWindow     = time.Second
	MinUsageDue        = 3 * time.Second
	MaxUsageDueWindows = 60
)

// check adds findings about the fields.
func (u *LineUsage) check(source *jsondoc.Source) {
	if u.Window.Std() < MinUsageWindow {
		source.Add("usage.window", "must be at least %s", MinUsageWindow)
	}
	if u.Due.Std() < MinUsageDue || u.Window > 0 && u.Due.Std()/MaxUsageDueWindows > u.Window.Std() {
		source.Add("usage.due", "must be at least %s and at most %d windows", MinUsageDue, MaxUsageDueWindows)
	}
	if u.Lease < 0 {
		source.Add("usage.lease", "must not be negative")
	}
}

// LoadLine reads and checks a settings file. The error is a findings.List if the
// content is invalid.
func LoadLine(path string) (*Line, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	s, list := ParseLine(path, data)
	return s, list.Err()
}

// ParseLine decodes and checks the content of a settings file.
func ParseLine(file string, data []byte) (*Line, findings.List) {
	s := &Line{}
	source := jsondoc.Decode(file, data, s)
	if source.Parsed() {
		checkLine(s, source)
	}
	if list := source.Findings(); len(list) > 0 {
		return nil, list
	}
	return s, nil
}

func checkLine(s *Line, source *jsondoc.Source) {
	c := checker{source}
	c.name("vm.id", string(s.VM.ID))
	c.name("vm.zone", string(s.VM.Zone))
	c.listen("callers.listen", s.Callers.Listen)
	c.listen("ready.listen", s.Ready.Listen)
	c.listen("peer.listen", s.Peer.Listen)
	if s.Peer.Advertise != "" {
		c.address("peer.advertise", s.Peer.Advertise)
	}
	for i, address := range s.Peer.Seeds {
		c.address(fmt.Sprintf("peer.seeds[%d]", i), address)
	}
	c.address("store.address", s.Store.Address)
	c.address("promoter.address", s.Promoter.Address)
	c.oneOf("connections.division", s.Connections.Division, DivisionFixed, DivisionAdaptive)
	c.oneOf("admission.mode", s.Admission.Mode, AdmissionWait, AdmissionDeadline)
	c.oneOf("balance.mode", s.Balance.Mode, BalanceLeast, BalanceEven)
	c.oneOf("log.level", s.Log.Level, "debug", "info", "warn", "error")
	c.oneOf("log.form", s.Log.Format, "json", "text")
	c.checkTrace(&s.Trace)
	if !s.Peer.Insecure {
		source.Add("peer.insecure", "must be true: mutual TLS is not available with the line protocol")
	}
	if s.Usage != nil {
		s.Usage.check(source)
	}
	if s.Grace <= 0 {
		source.Add("grace", "must be above 0")
	}
}
