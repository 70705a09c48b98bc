package config

import (
	"fmt"
	"math"
	"net"
	"strconv"
	"time"
	"unicode"

	"github.com/chervilhatch/chervilhatch/findings/jsondoc"
)

// Connections that Database.Connections must provide for on each upstream.
const (
	// ReservedConnections are reserved for controlling the upstream.
	ReservedConnections = 6
	// MinStandbyConnections is the smallest share of the standby holder.
	MinStandbyConnections = 2
	// MinConnections leaves the main and the standby holder the same number.
	MinConnections = ReservedConnections + 2*MinStandbyConnections
)

// Limits of the values in a document.
const (
	maxNameBytes   = 63 // the maximum length of a PostgreSQL identifier
	maxSlots       = 1000
	maxConnections = 10_000
	maxRate        = 1e9
	maxBurst       = 1e9
	maxWeight      = 1000
	maxRateFactor  = 100
	maxQueueLength = 1_000_000
	maxFreshness   = 24 * time.Hour
	// A withdrawn key must be rejected within seconds, also by a VM that has no
	// evidence that its configuration is current.
	minKeyGrace         = time.Second
	maxKeyGrace         = time.Minute
	minStatementTimeout = time.Millisecond
	maxStatementTimeout = 24 * time.Hour
)

// checker validates one document and adds its findings to source.
type checker struct {
	doc    *Document
	source *jsondoc.Source
	// definedAt maps the kind and name of each checked item to its path.
	definedAt map[string]map[string]string
}

func checkDocument(d *Document, s *jsondoc.Source) {
	c := &checker{doc: d, source: s, definedAt: map[string]map[string]string{}}
	c.checkPresets()
	c.checkTiming()
	c.checkZones()
	c.checkDatabases()
	c.checkWorkspaces()
	c.checkJobs()
}

// name checks the form of a name and that it is unique among the items of its
// kind.
func (c *checker) name(path, kind, name string) {
	if problem := invalidNameReason(name); problem != "" {
		c.source.Add(path, "%s", problem)
		return
	}
	if c.definedAt[kind] == nil {
		c.definedAt[kind] = map[string]string{}
	}
	if first, found := c.definedAt[kind][name]; found {
		c.source.Add(path, "%s %q is already used at %s", kind, name, first)
		return
	}
	c.definedAt[kind][name] = path
}

// invalidNameReason returns the reason why a name is invalid, or "" if it is valid.
// Names appear in session positions and store keys, where "/" separates the parts.
func invalidNameReason(name string) string {
	if name == "" {
		return "must not be empty"
	}
	if len(name) > maxNameBytes {
		return fmt.Sprintf("must have at most %d bytes", maxNameBytes)
	}
	for _, r := range name {
		if !unicode.IsLetter(r) && !unicode.IsDigit(r) && r != '-' && r != '_' && r != '.' {
			return fmt.Sprintf("%q must consist of letters, digits, \"-\", \"_\" and \".\"", name)
		}
	}
	return ""
}

// defined reports whether an item of the kind with the name has been checked.
func (c *checker) defined(kind, name string) bool {
	_, found := c.definedAt[kind][name]
	return found
}

// reference checks that an item of the kind has the name. It skips the check
// if the list of these items could not be decoded.
func (c *checker) reference(path, kind, name string) {
	if !c.defined(kind, name) && c.source.Decoded(kind+"s") {
		c.source.Add(path, "no %s has the name %q", kind, name)
	}
}

func (c *checker) number(path string, value, low, high float64) {
	if math.IsNaN(value) || value < low || value > high {
		c.source.Add(path, "must be %s to %s, not %s", formatNumber(low), formatNumber(high), formatNumber(value))
	}
}

// positive checks that a value is above 0 and at most high.
func (c *checker) positive(path string, value, high float64) {
	if math.IsNaN(value) || value <= 0 || value > high {
		c.source.Add(path, "must be above 0 and at most %s, not %s", formatNumber(high), formatNumber(value))
	}
}

func formatNumber(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }

func (c *checker) duration(path string, value Duration, low, high time.Duration) {
	if value.Std() < low || value.Std() > high {
		c.source.Add(path, "must be %s to %s, not %s", low, high, value)
	}
}

func (c *checker) address(path, address string) {
	host, port, err := net.SplitHostPort(address)
	if err != nil || host == "" {
		c.source.Add(path, "%q is not an address of the form host:port", address)
		return
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		c.source.Add(path, "the port of %q must be 1 to 65535", address)
	}
}

func (c *checker) notEmpty(path string, length int) {
	if length == 0 {
		c.source.Add(path, "must have at least one item")
	}
}
