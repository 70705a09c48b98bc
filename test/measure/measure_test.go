package main

import (
	"math"
	"reflect"
	"testing"
	"time"
)

// Guards against missing a gap that began before the failure, or after which no
// write was acknowledged.
func TestGaps(t *testing.T) {
	var samples []sample
	for _, ms := range []int{0, 100, 200, 900, 1000, 1100} {
		samples = append(samples, sample{write: true, done: time.Duration(ms) * time.Millisecond})
	}
	samples = append(samples, sample{write: true, done: 500 * time.Millisecond, code: codeUnknown})
	got := gapsAfter(samples, []time.Duration{300 * time.Millisecond}, 700*time.Millisecond)
	if got[0] != 700*time.Millisecond {
		t.Errorf("gap %s", got[0])
	}
	got = gapsAfter(samples, []time.Duration{time.Second}, 3*time.Second)
	if got[0] != 3*time.Second {
		t.Errorf("gap without an end %s", got[0])
	}
}

// Guards against missing a short burst above the limit because the rate is only
// compared over the whole trial.
func TestWorstExcess(t *testing.T) {
	var admitted []sample
	at := func(ms int) {
		d := time.Duration(ms) * time.Millisecond
		admitted = append(admitted, sample{sent: d, done: d})
	}
	for i := range 15 {
		at(5000 + i)
	}
	if got := worstExcess(admitted, 100, 10); math.Abs(got-3.6) > 1e-9 {
		t.Errorf("15 requests in 14 ms exceed rate 100 and burst 10 by %g", got)
	}
	if got := worstExcess(admitted, 100, 15); got > 0 {
		t.Errorf("burst 15 exceeded by %g", got)
	}
}

// Guards against fair shares that exceed a workspace's demand or leave capacity
// unused.
func TestFairShares(t *testing.T) {
	got := fairShares([]float64{500, 50, 400}, 300)
	if got[0] != 125 || got[1] != 50 || got[2] != 125 {
		t.Errorf("shares %v", got)
	}
}

// Guards against not counting a lost, doubled or falsely refused write.
func TestAudit(t *testing.T) {
	var a audit
	a.add(codeOK, 1)
	a.add(codeOK, 0)
	a.add(codeOK, 2)
	a.add(codeUnknown, 0)
	a.add(codeLost, 1)
	a.add("57R01", 1)
	a.add("57R01", 0)
	want := audit{Acknowledged: 3, Unknown: 2, Refused: 2, Lost: 1, Doubled: 1, FalselyRefused: 1}
	if !reflect.DeepEqual(a, want) {
		t.Errorf("got %+v, want %+v", a, want)
	}
}

// Guards against removing other sections of the page when one is replaced.
func TestReplaceSection(t *testing.T) {
	page := "# Capacity\n\n" + sectionHeader + "old\n\n## Next\n\ntext\n"
	want := "# Capacity\n\n" + sectionHeader + "new\n\n## Next\n\ntext\n"
	if got := replaceSection(page, sectionHeader+"new\n"); got != want {
		t.Errorf("got %q", got)
	}
}
