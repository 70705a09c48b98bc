package jsondoc

import (
	"strings"
	"testing"
)

// Guards against counting brackets inside strings and comments as nesting, and
// against failing to report input that ends inside one of them.
func TestNestingCountsOnlyValues(t *testing.T) {
	brackets := strings.Repeat("[", 2*maxDepth)
	for text, want := range map[string]bool{
		`{"a": "` + brackets + `\"` + brackets + `"}`:              true,
		"{/*" + brackets + "*/ \"a\": \"b\" //" + brackets + "\n}": true,
		"{//" + brackets + "\n\"a\": " + brackets:                  false,
		`{"a": ` + brackets:                                        false,
		`{"a": "` + brackets:                                       false,
		"{/*" + brackets:                                           false,
		"{/":                                                       false,
		"":                                                         false,
	} {
		var target struct {
			A string `json:"a"`
		}
		if list := Decode("f", []byte(text), &target).Findings(); (len(list) == 0) != want {
			t.Errorf("%q: %v", text, list)
		}
	}
}

// Guards against accepting documents above the size limit and against reporting an
// unlimited number of findings.
func TestLimits(t *testing.T) {
	var target struct{}
	if list := Decode("f", make([]byte, MaxBytes+1), &target).Findings(); len(list) != 1 {
		t.Errorf("document above the size limit: findings %v, want 1", list)
	}
	text := "{" + strings.Repeat(`"x": 1,`, 2*maxFindings) + "}"
	if list := Decode("f", []byte(text), &target).Findings(); len(list) != maxFindings {
		t.Errorf("%d findings, want maxFindings", len(list))
	}
}

// Guards against decoding strings without resolving their escapes, and against
// accepting invalid UTF-8 unchanged.
func TestStringsAreUnescaped(t *testing.T) {
	var target struct {
		A string   `json:"a"`
		B string   `json:"b"`
		C Duration `json:"c"`
	}
	text := "{\"\\u0061\": \"S\\u00f3l\\n\", \"b\": \"\xff\", \"c\": \"\\u0035s\"}"
	list := Decode("f", []byte(text), &target).Findings()
	if len(list) > 0 || target.A != "Sól\n" || target.B != "\uFFFD" || target.C.String() != "5s" {
		t.Errorf("%+q, %v", target, list)
	}
}
