package node

import (
	"sort"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/chervilhatch/chervilhatch/core/failover"
	"github.com/chervilhatch/chervilhatch/core/model"
	peerv1 "github.com/chervilhatch/chervilhatch/proto/peer/v1"
)

// reportCache holds the newest report of each other VM, which a relay may forward,
// and this VM's own health reports.
type reportCache struct {
	mu      sync.Mutex
	configs map[string]receivedConfigReport
	records map[string]receivedRecordReport
	health  map[model.Database]healthReport
	// summaryByZone holds the newest summary of each zone.
	summaryByZone map[string]*peerv1.ZoneSummary
}

// receivedConfigReport is a report that was composed at or after at, on this VM's
// clock. Its ages are taken relative to at, so that they never seem too low.
type receivedConfigReport struct {
	report *peerv1.ConfigReport
	at     model.Time
}

type receivedRecordReport struct {
	report *peerv1.RecordReport
	at     model.Time
}

func newReportCache() reportCache {
	return reportCache{
		configs:       map[string]receivedConfigReport{},
		records:       map[string]receivedRecordReport{},
		health:        map[model.Database]healthReport{},
		summaryByZone: map[string]*peerv1.ZoneSummary{},
	}
}

func (h *reportCache) storeConfigReport(r *peerv1.ConfigReport, at model.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.configs[r.GetVm()] = receivedConfigReport{r, at}
}

func (h *reportCache) storeRecordReport(r *peerv1.RecordReport, at model.Time) {
	if r.GetVmZone() != r.GetZone() {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.records[r.GetVm()] = receivedRecordReport{r, at}
}

// recentConfigReports returns the reports that are at most maxForwardedAge old,
// ordered by VM, and drops the others.
func (h *reportCache) recentConfigReports(now model.Time) []receivedConfigReport {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []receivedConfigReport
	for vm, c := range h.configs {
		if now.Sub(c.at) > maxForwardedAge {
			delete(h.configs, vm)
			continue
		}
		out = append(out, c)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].report.GetVm() < out[j].report.GetVm() })
	return out
}

func (h *reportCache) recentRecordReports(now model.Time) []receivedRecordReport {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []receivedRecordReport
	for vm, r := range h.records {
		if now.Sub(r.at) > maxForwardedAge {
			delete(h.records, vm)
			continue
		}
		out = append(out, r)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].report.GetVm() < out[j].report.GetVm() })
	return out
}

func (h *reportCache) storeSummary(s *peerv1.ZoneSummary) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.summaryByZone[s.GetZone()] = s
}

// summaries returns the summaries ordered by zone.
func (h *reportCache) summaries() []*peerv1.ZoneSummary {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make([]*peerv1.ZoneSummary, 0, len(h.summaryByZone))
	for _, s := range h.summaryByZone {
		out = append(out, s)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].GetZone() < out[j].GetZone() })
	return out
}

// healthReport is the health of a primary as failover last published it.
type healthReport struct {
	effect failover.Effect
	at     model.Time
}

// storeHealthReport replaces this VM's own health report for a database.
func (h *reportCache) storeHealthReport(now model.Time, e failover.Effect) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.health[e.Database] = healthReport{e, now}
}

// healthReports returns this VM's own health reports for the given databases, with
// their ages as of now.
func (h *reportCache) healthReports(self model.VMID, now model.Time, databases []model.Database) []*peerv1.HealthReport {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make([]*peerv1.HealthReport, 0, len(databases))
	for _, db := range databases {
		r, known := h.health[db]
		if !known {
			continue
		}
		age := r.effect.Age
		if age >= 0 {
			age += now.Sub(r.at)
		}
		out = append(out, &peerv1.HealthReport{
			Vm:           string(self),
			Database:     string(r.effect.Database),
			Primary:      string(r.effect.Primary),
			Term:         &peerv1.Term{Counter: r.effect.Term.Counter, Proposer: r.effect.Term.Proposer},
			LastAnswerUs: age.Microseconds(),
		})
	}
	return out
}

func copyConfigReport(r *peerv1.ConfigReport) *peerv1.ConfigReport {
	return proto.Clone(r).(*peerv1.ConfigReport)
}

func copyRecordReport(r *peerv1.RecordReport) *peerv1.RecordReport {
	return proto.Clone(r).(*peerv1.RecordReport)
}
