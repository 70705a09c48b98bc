package lineproto

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/chervilhatch/chervilhatch/core/model"
)

func TestReadMessages(t *testing.T) {
	long := strings.Repeat("x", MaxMessage)
	tests := []struct {
		name  string
		input string
		want  Message
		err   error
	}{
		{"fields", "QUERY id READ 1a4\r\n", Message{"QUERY", "id READ 1a4"}, nil},
		{"no fields", "TERMINATE\r\n", Message{"TERMINATE", ""}, nil},
		{"longer than the buffer", "ROW " + long[:100_000] + "\r\n", Message{"ROW", long[:100_000]}, nil},
		{"above the limit", "ROW " + long + "\r\n", Message{}, ErrTooLong},
		{"no carriage return", "QUERY id READ\n", Message{}, ErrSyntax},
		{"no word", " id\r\n", Message{}, ErrSyntax},
		{"empty line", "\r\n", Message{}, ErrSyntax},
		{"cut off", "QUERY id RE", Message{}, io.EOF},
	}
	for _, test := range tests {
		got, err := NewReader(strings.NewReader(test.input)).Read()
		if got != test.want || !errors.Is(err, test.err) {
			t.Errorf("%s: %.40v, %v", test.name, got, err)
		}
	}
}

// Guards against the loss of a message that was partly received when the deadline
// of a read passed.
func TestReadContinuesAfterDeadline(t *testing.T) {
	local, remote := net.Pipe()
	defer remote.Close()
	r := NewReader(local)
	go func() { _, _ = remote.Write([]byte("QUERY id RE")) }()
	_ = local.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
	if _, err := r.Read(); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("Read = %v", err)
	}
	if !r.Buffered() {
		t.Error("Buffered is false although part of a message was received")
	}
	_ = local.SetReadDeadline(time.Time{})
	go func() { _, _ = remote.Write([]byte("AD 1a4\r\n")) }()
	if m, err := r.Read(); err != nil || m.Rest != "id READ 1a4" {
		t.Errorf("Read = %+v, %v", m, err)
	}
}

func TestPositions(t *testing.T) {
	p, err := ParsePosition("3.1207")
	if want := (model.Position{Term: model.Term{Counter: 3}, Pos: 1207}); err != nil || p != want {
		t.Errorf("ParsePosition = %v, %v", p, err)
	}
	if FormatPosition(p) != "3.1207" || FormatPosition(model.Position{}) != "-" {
		t.Error("FormatPosition does not return the encoding that ParsePosition decodes")
	}
	for _, text := range []string{"3", "3.", ".4", "3.x", "-1.4", "3.4.5"} {
		if _, err := ParsePosition(text); err == nil {
			t.Errorf("ParsePosition(%q) returned no error", text)
		}
	}
}

func TestParseStatement(t *testing.T) {
	tests := map[string]Statement{
		"BEGIN":                    {Verb: VerbBegin},
		"BEGIN READ":               {Verb: VerbBeginRead},
		"COMMIT":                   {Verb: VerbCommit},
		"ROLLBACK":                 {Verb: VerbRollback},
		"READ 1a4":                 {Verb: VerbRead, Value: "1a4"},
		"WRITE 1a4 some data":      {Verb: VerbWrite, Value: "1a4 some data"},
		"SET zone a b":             {Verb: VerbSet, Name: "zone", Value: "a b"},
		"PREPARE s1 WRITE q2c":     {Verb: VerbPrepare, Name: "s1", Write: true, Shape: "q2c"},
		"PREPARE s1 READ q2c":      {Verb: VerbPrepare, Name: "s1", Shape: "q2c"},
		"EXECUTE s1 1a4 data":      {Verb: VerbExecute, Name: "s1", Value: "1a4 data"},
		"DEALLOCATE s1":            {Verb: VerbDeallocate, Name: "s1"},
		"AFTER 3.4 READ 1a4":       {},
		"STATUS":                   {},
		"PAUSE 4":                  {},
		"RESET":                    {},
		"BEGIN WRITE":              {},
		"COMMIT now":               {},
		"READ":                     {},
		"PREPARE s1 DROP q":        {},
		"PREPARE s1 READ":          {},
		"EXECUTE":                  {},
		"DEALLOCATE s1 s2":         {},
		"":                         {},
		"read 1a4":                 {},
		strings.Repeat("READ", 99): {},
	}
	for text, want := range tests {
		if got := ParseStatement(text); got != want {
			t.Errorf("ParseStatement(%q) = %+v, want %+v", text, got, want)
		}
	}
}

// Guards against codes that are taken for a guarantee that the statement did not
// run, and against the opposite, which would prevent safe retries.
func TestNotRun(t *testing.T) {
	for _, c := range []Code{Busy, NoStatement, Lagging, ReadOnly} {
		if !c.NotRun() {
			t.Errorf("NotRun is false for %q", c)
		}
	}
	for _, c := range []Code{Failed, Timeout, InDoubt, "OTHER", ""} {
		if c.NotRun() {
			t.Errorf("NotRun is true for %q", c)
		}
	}
}

// Guards against panics on arbitrary input and against messages that differ after
// they are encoded and decoded again.
func FuzzReader(f *testing.F) {
	f.Add([]byte("QUERY id READ 1a4\r\n"))
	f.Add([]byte("STARTUP db key\r\nQUERY a BEGIN\r\n"))
	f.Add([]byte("ROW \r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		r := NewReader(bytes.NewReader(data))
		for {
			m, err := r.Read()
			if err != nil {
				return
			}
			ParseStatement(m.Rest)
			if _, err := ParseReady(m.Rest); err == nil && m.Rest == "" {
				t.Error("an empty Ready message was accepted")
			}
			encoded := Append(nil, m.Word, m.Rest)
			decoded, err := NewReader(bytes.NewReader(encoded)).Read()
			if err != nil || decoded != m {
				t.Errorf("%+v was decoded as %+v after encoding, %v", m, decoded, err)
			}
		}
	})
}
