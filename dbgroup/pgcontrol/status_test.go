package pgcontrol

import (
	"errors"
	"slices"
	"testing"

	"github.com/chervilhatch/chervilhatch/core/model"
	"github.com/chervilhatch/chervilhatch/dbgroup"
)

// Guards against decoding a malformed status as one with positions of zero, from
// which a failover would choose the wrong upstream.
func TestParseStatus(t *testing.T) {
	good := []string{"fenced", "3.vm-a", "2.vm-b", "7", "9", "8", "2.vm-b"}
	want := dbgroup.Status{
		Role:        dbgroup.Fenced,
		Promised:    model.Term{Counter: 3, Proposer: "vm-a"},
		LastTerm:    model.Term{Counter: 2, Proposer: "vm-b"},
		TermStart:   7,
		Received:    9,
		Applied:     8,
		AppliedTerm: model.Term{Counter: 2, Proposer: "vm-b"},
	}
	if got, err := parseStatus(good); err != nil || got != want {
		t.Fatalf("got %+v, %v", got, err)
	}
	for i := range good {
		bad := slices.Clone(good)
		bad[i] = "x"
		if _, err := parseStatus(bad); !errors.Is(err, ErrMalformed) {
			t.Errorf("column %d malformed: got error %v, want ErrMalformed", i, err)
		}
	}
	if _, err := parseStatus(good[1:]); !errors.Is(err, ErrMalformed) {
		t.Errorf("missing column: got error %v, want ErrMalformed", err)
	}
}
