package config

import (
	"fmt"
	"time"

	"github.com/chervilhatch/chervilhatch/scramverifier"
)

// Kinds of items, as they appear in findings.
const (
	kindPreset    = "preset"
	kindZone      = "zone"
	kindDatabase  = "database"
	kindUpstream  = "upstream"
	kindWorkspace = "workspace"
	kindJob       = "job"
)

func (c *checker) checkPresets() {
	c.notEmpty("presets", len(c.doc.Presets))
	for i := range c.doc.Presets {
		p := &c.doc.Presets[i]
		path := fmt.Sprintf("presets[%d]", i)
		c.name(path+".name", kindPreset, p.Name)
		c.positive(path+".rate_factor", p.RateFactor, maxRateFactor)
		if p.Freshness != nil {
			c.duration(path+".freshness", *p.Freshness, 0, maxFreshness)
		}
		if p.QueueLength != nil {
			c.number(path+".queue_length", float64(*p.QueueLength), 1, maxQueueLength)
		}
	}
	c.reference("preset", kindPreset, c.doc.Preset)
}

func (c *checker) checkTiming() {
	t := &c.doc.Timing
	c.duration("timing.detect", t.Detect, 50*time.Millisecond, 5*time.Second)
	c.duration("timing.confirmation_timeout", t.ConfirmationTimeout, 100*time.Millisecond, 30*time.Second)
	c.number("timing.queue_length", float64(t.QueueLength), 1, maxQueueLength)
}

func (c *checker) checkZones() {
	c.notEmpty("zones", len(c.doc.Zones))
	inService := 0
	for i := range c.doc.Zones {
		z := &c.doc.Zones[i]
		path := fmt.Sprintf("zones[%d]", i)
		c.name(path+".name", kindZone, string(z.Name))
		if problem := invalidNameReason(z.Region); problem != "" {
			c.source.Add(path+".region", "%s", problem)
		}
		if !z.Drained {
			inService++
		}
	}
	if inService == 0 && len(c.doc.Zones) > 0 {
		c.source.Add("zones", "every zone is drained; at least one must be in service")
	}
}

func (c *checker) checkDatabases() {
	c.notEmpty("databases", len(c.doc.Databases))
	for i := range c.doc.Databases {
		db := &c.doc.Databases[i]
		path := fmt.Sprintf("databases[%d]", i)
		c.name(path+".name", kindDatabase, string(db.Name))
		c.number(path+".slots", float64(db.Slots), 1, maxSlots)
		c.checkConnections(path, db)
		c.checkUpstreams(path+".upstreams", db.Upstreams)
	}
}

func (c *checker) checkConnections(path string, db *Database) {
	if db.Connections < MinConnections || db.Connections > maxConnections {
		c.source.Add(path+".connections",
			"must be %d to %d, not %d: %d are reserved for control and the standby holder needs at least %d",
			MinConnections, maxConnections, db.Connections, ReservedConnections, MinStandbyConnections)
		return
	}
	unreserved := db.Connections - ReservedConnections
	main := unreserved - max(MinStandbyConnections, unreserved/4)
	if db.Slots > main {
		c.source.Add(path+".slots",
			"%d slots need as many connections, but %d of the %d connections belong to the main holder",
			db.Slots, main, db.Connections)
	}
}

func (c *checker) checkUpstreams(path string, list []Upstream) {
	c.notEmpty(path, len(list))
	remaining := 0
	for i := range list {
		u := &list[i]
		item := fmt.Sprintf("%s[%d]", path, i)
		c.name(item+".id", kindUpstream, string(u.ID))
		c.reference(item+".zone", kindZone, string(u.Zone))
		c.address(item+".address", u.Address)
		if !u.Leaving {
			remaining++
		}
	}
	if remaining == 0 && len(list) > 0 {
		c.source.Add(path, "every upstream is leaving; at least one must stay")
	}
}

func (c *checker) checkWorkspaces() {
	for i := range c.doc.Workspaces {
		w := &c.doc.Workspaces[i]
		path := fmt.Sprintf("workspaces[%d]", i)
		c.name(path+".name", kindWorkspace, string(w.Name))
		c.positive(path+".rate", w.Rate, maxRate)
		c.number(path+".burst", w.Burst, 1, maxBurst)
		c.positive(path+".weight", w.Weight, maxWeight)
		c.duration(path+".key_grace", w.KeyGrace, minKeyGrace, maxKeyGrace)
		c.checkKeys(path+".keys", w)
	}
}

func (c *checker) checkKeys(path string, w *Workspace) {
	kind := fmt.Sprintf("key of workspace %s:", w.Name)
	for i, key := range w.Keys {
		item := fmt.Sprintf("%s[%d]", path, i)
		c.name(item+".id", kind, string(key.ID))
		if _, err := scramverifier.Parse(key.Verifier); err != nil {
			c.source.Add(item+".verifier", "%v", err)
		}
	}
}

func (c *checker) checkJobs() {
	for i := range c.doc.Jobs {
		j := &c.doc.Jobs[i]
		path := fmt.Sprintf("jobs[%d]", i)
		c.name(path+".name", kindJob, string(j.Name))
		c.reference(path+".database", kindDatabase, string(j.Database))
		c.checkJobAccess(path, j)
		c.duration(path+".freshness", j.Freshness, 0, maxFreshness)
		c.duration(path+".statement_timeout", j.StatementTimeout, minStatementTimeout, maxStatementTimeout)
		if j.Class != ClassAuto && j.Class != ClassReadOnly && j.Class != ClassWrite {
			c.source.Add(path+".class", "must be %q, %q or %q, not %q", ClassAuto, ClassReadOnly, ClassWrite, j.Class)
		}
	}
}

func (c *checker) checkJobAccess(path string, j *Job) {
	if j.Open && len(j.Workspaces) > 0 {
		c.source.Add(path+".workspaces", "an open job needs no key, so it must not list workspaces")
	}
	if !j.Open && len(j.Workspaces) == 0 {
		c.source.Add(path+".workspaces", "must list a workspace, unless the job is open")
	}
	seen := map[string]bool{}
	for i, name := range j.Workspaces {
		item := fmt.Sprintf("%s.workspaces[%d]", path, i)
		c.reference(item, kindWorkspace, string(name))
		if seen[string(name)] {
			c.source.Add(item, "workspace %q is listed twice", name)
		}
		seen[string(name)] = true
	}
}
