package model

import "testing"

// Guards against a session position that changes when a caller returns it, here with
// a proposer that contains the separator of the term.
func TestSessionPositionRoundTrip(t *testing.T) {
	want := SessionPosition{
		Database: "entries1",
		Position: Position{Term: Term{Counter: 7, Proposer: "vm-a1.dk"}, Pos: 1234},
	}
	got, err := ParseSessionPosition(want.String())
	if err != nil || got != want {
		t.Fatalf("got %v, %v; want %v", got, err, want)
	}
}

// Guards against accepting a truncated or malformed value as a position.
func TestParseSessionPositionRejects(t *testing.T) {
	for _, text := range []string{"", "a/b", "a/1.x/", "a/x.y/1", "a/1/1", "a/1.x/1/2"} {
		if _, err := ParseSessionPosition(text); err == nil {
			t.Errorf("ParseSessionPosition(%q) returned no error", text)
		}
	}
}

// Guards against two proposers that use equal terms, and against a next term that
// is not above the current one.
func TestTermOrder(t *testing.T) {
	a := Term{Counter: 3, Proposer: "a"}
	b := Term{Counter: 3, Proposer: "b"}
	if !a.Less(b) || b.Less(a) || !b.Less(a.Next("a")) {
		t.Fatalf("want %v below %v, and both below the next term of a", a, b)
	}
}
