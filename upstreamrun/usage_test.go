package upstreamrun

import (
	"errors"
	"testing"

	"github.com/chervilhatch/chervilhatch/lineproto"
	"github.com/chervilhatch/chervilhatch/upstreampool"
)

// Guards against usage that counts statements which an upstream says not to have run, or
// lacks those whose answer was lost.
func TestBeganAtUpstream(t *testing.T) {
	for code, want := range map[lineproto.Code]bool{
		"": true, lineproto.Failed: true, lineproto.Timeout: true,
		lineproto.Busy: false, lineproto.NoStatement: false, lineproto.Lagging: false, lineproto.ReadOnly: false,
		lineproto.Misrouted: false, lineproto.TooMany: false, lineproto.Malformed: false,
	} {
		if got := began(&upstreampool.Answer{Code: code}, nil); got != want {
			t.Errorf("began(%q) = %t, want %t", code, got, want)
		}
	}
	lost := &upstreampool.BrokenError{Sent: true, Err: errors.New("reset")}
	if !began(&upstreampool.Answer{}, lost) {
		t.Error("a statement without an answer is not counted")
	}
	if began(&upstreampool.Answer{}, &upstreampool.BrokenError{Err: errors.New("refused")}) {
		t.Error("a statement that was not sent is counted")
	}
}
