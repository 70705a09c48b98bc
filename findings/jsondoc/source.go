package jsondoc

import (
	"bytes"
	"fmt"
	"reflect"
	"slices"
	"sort"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/tailscale/hujson"

	"github.com/chervilhatch/chervilhatch/findings"
)

// maxFindings limits the findings reported for one document.
const maxFindings = 1000

// Source is a document: its text, its syntax tree and the findings so far.
type Source struct {
	file string
	data []byte
	// lineStarts has the byte offset of the start of each line.
	lineStarts []int
	findings   findings.List
	// root is nil if the document could not be parsed.
	root *hujson.Value
	// fields caches the results of fieldsOf.
	fields map[reflect.Type]map[string]int
	// undecodable has the paths of the members that could not be decoded, up to
	// maxFindings.
	undecodable []string
}

func newSource(file string, data []byte) *Source {
	s := &Source{file: file, data: data, fields: map[reflect.Type]map[string]int{}, lineStarts: []int{0}}
	for i, b := range data {
		if b == '\n' {
			s.lineStarts = append(s.lineStarts, i+1)
		}
	}
	return s
}

// Add records a finding for the member with the given path. If the document does not
// contain the member, the location is that of the nearest enclosing one. A member
// that could not be decoded already has a finding, so Add does nothing for it.
func (s *Source) Add(path, format string, args ...any) {
	if !slices.Contains(s.undecodable, path) {
		s.addAt(s.offsetOf(path), path, format, args...)
	}
}

// Parsed reports whether the document was parsed without a syntax error, so that its
// members can be checked.
func (s *Source) Parsed() bool { return s.root != nil }

// Decoded reports whether the member with the given path and all members inside it
// could be decoded.
func (s *Source) Decoded(path string) bool {
	return !slices.ContainsFunc(s.undecodable, func(f string) bool {
		rest, found := strings.CutPrefix(f, path)
		return found && (rest == "" || rest[0] == '.' || rest[0] == '[')
	})
}

// Findings returns the findings sorted by location.
func (s *Source) Findings() findings.List {
	s.findings.Sort()
	return s.findings
}

// addDecodeError records a finding for a member that could not be decoded.
func (s *Source) addDecodeError(offset int, at *memberPath, format string, args ...any) {
	path := at.path()
	if len(s.undecodable) < maxFindings {
		s.undecodable = append(s.undecodable, path)
	}
	s.addAt(offset, path, format, args...)
}

// addAt records a finding at a byte offset, unless there are already maxFindings.
func (s *Source) addAt(offset int, path, format string, args ...any) {
	if len(s.findings) == maxFindings {
		return
	}
	line, column := s.lineColumn(offset)
	s.findings = append(s.findings, findings.Finding{
		File:    s.file,
		Line:    line,
		Column:  column,
		Path:    path,
		Message: fmt.Sprintf(format, args...),
	})
}

// offsetOf returns the byte offset of the member with the given path, or of the
// nearest enclosing one that exists.
func (s *Source) offsetOf(path string) int {
	v := s.root
	for _, step := range strings.FieldsFunc(path, func(r rune) bool { return r == '.' || r == '[' || r == ']' }) {
		next := lookup(v, step)
		if next == nil {
			break
		}
		v = next
	}
	return v.StartOffset
}

// lookup returns the value of the member or element of v that step names: a member
// name or an index. It returns nil if there is none.
func lookup(v *hujson.Value, step string) *hujson.Value {
	switch value := v.Value.(type) {
	case *hujson.Object:
		for i := range value.Members {
			if stringValue(value.Members[i].Name.Value.(hujson.Literal)) == step {
				return &value.Members[i].Value
			}
		}
	case *hujson.Array:
		if i, err := strconv.Atoi(step); err == nil && i < len(value.Elements) {
			return &value.Elements[i]
		}
	}
	return nil
}

// lineColumn converts a byte offset to a 1-based line and a 1-based column in
// characters.
func (s *Source) lineColumn(offset int) (line, column int) {
	offset = min(offset, len(s.data))
	line = sort.SearchInts(s.lineStarts, offset+1)
	start := s.lineStarts[line-1]
	column = 1 + utf8.RuneCount(s.data[start:offset])
	return line, column
}

// offsetAt converts a 1-based line and a 1-based column in bytes to a byte offset. It
// returns 0 for a line that does not exist.
func (s *Source) offsetAt(line, column int) int {
	if line < 1 || line > len(s.lineStarts) {
		return 0
	}
	return s.lineStarts[line-1] + column - 1
}

// offsetOfExcessDepth returns the byte offset at which the nesting depth exceeds
// limit, or -1. It runs before the parser, which is recursive and would exhaust the
// stack on unlimited nesting.
func offsetOfExcessDepth(data []byte, limit int) int {
	depth := 0
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case '{', '[':
			depth++
			if depth > limit {
				return i
			}
		case '}', ']':
			depth--
		case '"':
			i = skipString(data, i)
		case '/':
			i = skipComment(data, i)
		}
	}
	return -1
}

// skipString returns the offset of the closing quote of the string that starts at i,
// or an offset at or past the end of data if there is none.
func skipString(data []byte, i int) int {
	for i++; i < len(data) && data[i] != '"'; i++ {
		if data[i] == '\\' {
			i++
		}
	}
	return i
}

// skipComment returns the offset of the last byte of the comment that starts at i, i
// if no comment starts there, or len(data) if the comment has no end.
func skipComment(data []byte, i int) int {
	rest := data[i:]
	var end int
	switch {
	case bytes.HasPrefix(rest, []byte("//")):
		end = bytes.IndexByte(rest, '\n')
	case bytes.HasPrefix(rest, []byte("/*")):
		end = bytes.Index(rest[2:], []byte("*/")) + 3
		if end < 3 {
			end = -1
		}
	default:
		return i
	}
	if end < 0 {
		return len(data)
	}
	return i + end
}
