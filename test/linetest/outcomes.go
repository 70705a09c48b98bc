package linetest

import (
	"sync"

	"github.com/chervilhatch/chervilhatch/lineproto"
)

// Outcomes keeps what callers were told of their writes.
type Outcomes struct {
	mu           sync.Mutex
	acknowledged []string
	refused      []string
	codes        map[lineproto.Code]int
}

// NewOutcomes returns an empty record.
func NewOutcomes() *Outcomes { return &Outcomes{codes: map[lineproto.Code]int{}} }

// Record takes over the answer to the writes with the given ids.
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

// Count returns how many writes ended with a code; "" is success.
func (o *Outcomes) Count(code lineproto.Code) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.codes[code]
}

// Codes returns how many writes ended with each code.
func (o *Outcomes) Codes() map[lineproto.Code]int {
	o.mu.Lock()
	defer o.mu.Unlock()
	codes := map[lineproto.Code]int{}
	for code, n := range o.codes {
		codes[code] = n
	}
	return codes
}

// Check compares what callers were told with what the group has.
func (o *Outcomes) Check(p *Platform) {
	p.T.Helper()
	o.mu.Lock()
	defer o.mu.Unlock()
	p.CheckHistory(o.acknowledged, o.refused)
}
