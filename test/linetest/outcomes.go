package linetest

import (
	"sync"

	"github.com/chervilhatch/chervilhatch/lineproto"
)

// Outcomes records the outcomes of writes as reported to callers. It is safe for
// concurrent use.
type Outcomes struct {
	mu           sync.Mutex
	acknowledged []string
	refused      []string
	codes        map[lineproto.Code]int
}

// NewOutcomes returns an empty Outcomes.
func NewOutcomes() *Outcomes { return &Outcomes{codes: map[lineproto.Code]int{}} }

// Record adds the outcome of the writes with the given ids; last is the answer that
// decides it. An answer with another code than success or a refusal leaves the
// outcome unknown; a missing answer (Broken) is not recorded.
func (o *Outcomes) Record(last *Result, ids []string) {
	if last.Broken {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.codes[last.Code]++
	switch last.Code {
	case "":
		o.acknowledged = append(o.acknowledged, ids...)
	case lineproto.Busy, lineproto.Aborted, lineproto.ReadOnly, lineproto.Lagging, lineproto.TooMany, lineproto.Misrouted:
		o.refused = append(o.refused, ids...)
	}
}

// Count returns how many recorded answers have the code; "" is success.
func (o *Outcomes) Count(code lineproto.Code) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.codes[code]
}

// Codes returns how many recorded answers have each code.
func (o *Outcomes) Codes() map[lineproto.Code]int {
	o.mu.Lock()
	defer o.mu.Unlock()
	codes := map[lineproto.Code]int{}
	for code, n := range o.codes {
		codes[code] = n
	}
	return codes
}

// Check compares the recorded outcomes with the commits of the group.
func (o *Outcomes) Check(p *Platform) {
	p.T.Helper()
	o.mu.Lock()
	defer o.mu.Unlock()
	p.CheckHistory(o.acknowledged, o.refused)
}
