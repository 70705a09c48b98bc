// Package jsondoc decodes JSON with comments into Go structs. It reports every
// error with its place at once, and keeps the place of each member, so that
// later checks can report theirs the same way.
package jsondoc

import (
	"bytes"
	"encoding"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"unicode/utf8"

	"github.com/tailscale/hujson"
)

// Limits of a document.
const (
	// MaxBytes is the largest value that the platform's store takes.
	MaxBytes = 1 << 20
	maxDepth = 32
)

// Defaulter is implemented by a struct whose members have defaults; Decode
// calls it before it sets the members that the document has.
type Defaulter interface{ SetDefaults() }

// Decode parses data into the struct that into points to. The members' names
// are those of the json tags, in exact case; unknown and repeated members are
// findings. Members that the document lacks keep their value. The returned
// Source has the findings.
func Decode(file string, data []byte, into any) *Source {
	s := newSource(file, data)
	if len(data) > MaxBytes {
		s.addAt(0, "", "the document has %d bytes; the limit is %d", len(data), MaxBytes)
		return s
	}
	if offset := offsetOfExcessDepth(data, maxDepth); offset >= 0 {
		s.addAt(offset, "", "more than %d levels of nesting", maxDepth)
		return s
	}
	value, err := hujson.Parse(data)
	if err != nil {
		s.addSyntaxError(err)
		return s
	}
	s.root = &value
	s.decode(&value, nil, reflect.ValueOf(into).Elem())
	return s
}

func (s *Source) addSyntaxError(err error) {
	var line, column int
	offset := 0
	if n, _ := fmt.Sscanf(err.Error(), "hujson: line %d, column %d:", &line, &column); n == 2 {
		offset = s.offsetAt(line, column)
	}
	message := err.Error()
	if cause := errors.Unwrap(err); cause != nil {
		message = cause.Error()
	}
	s.addAt(offset, "", "%s", message)
}

var textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()

// memberPath is a member's place in the document. Its path is built only for a
// finding, because a document has many thousand members.
type memberPath struct {
	parent *memberPath
	name   string
	index  int
}

// path returns the location as in "jobs[2].database".
func (l *memberPath) path() string {
	switch {
	case l == nil:
		return ""
	case l.name == "":
		return fmt.Sprintf("%s[%d]", l.parent.path(), l.index)
	case l.parent == nil:
		return l.name
	}
	return l.parent.path() + "." + l.name
}

// decode sets target from the value.
func (s *Source) decode(v *hujson.Value, at *memberPath, target reflect.Value) {
	if target.Kind() == reflect.Pointer {
		target.Set(reflect.New(target.Type().Elem()))
		target = target.Elem()
	}
	switch {
	case target.Addr().Type().Implements(textUnmarshaler):
		s.decodeText(v, at, target)
	case target.Kind() == reflect.Struct:
		s.decodeStruct(v, at, target)
	case target.Kind() == reflect.Slice:
		s.decodeSlice(v, at, target)
	default:
		s.decodeLiteral(v, at, target)
	}
}

func (s *Source) decodeStruct(v *hujson.Value, at *memberPath, target reflect.Value) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		s.addDecodeError(v.StartOffset, at, "must be an object, not %s", kindName(v))
		return
	}
	if d, ok := target.Addr().Interface().(Defaulter); ok {
		d.SetDefaults()
	}
	fields := s.fieldsOf(target.Type())
	seen := make([]bool, target.NumField())
	for i := range object.Members {
		m := &object.Members[i]
		member := &memberPath{parent: at, name: stringValue(m.Name.Value.(hujson.Literal))}
		field, found := fields[member.name]
		switch {
		case !found:
			s.addDecodeError(m.Name.StartOffset, member, "unknown field")
		case seen[field]:
			s.addDecodeError(m.Name.StartOffset, member, "appears twice")
		default:
			seen[field] = true
			s.decode(&m.Value, member, target.Field(field))
		}
	}
}

// fieldsOf returns the indexes of a struct's fields by the names in their json tags.
func (s *Source) fieldsOf(t reflect.Type) map[string]int {
	if fields, found := s.fieldIndexes[t]; found {
		return fields
	}
	fields := map[string]int{}
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if name != "" {
			fields[name] = i
		}
	}
	s.fieldIndexes[t] = fields
	return fields
}

func (s *Source) decodeSlice(v *hujson.Value, at *memberPath, target reflect.Value) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		s.addDecodeError(v.StartOffset, at, "must be a list, not %s", kindName(v))
		return
	}
	list := reflect.MakeSlice(target.Type(), len(array.Elements), len(array.Elements))
	for i := range array.Elements {
		s.decode(&array.Elements[i], &memberPath{parent: at, index: i}, list.Index(i))
	}
	target.Set(list)
}

func (s *Source) decodeText(v *hujson.Value, at *memberPath, target reflect.Value) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		s.addDecodeError(v.StartOffset, at, "must be a string, not %s", kindName(v))
		return
	}
	u := target.Addr().Interface().(encoding.TextUnmarshaler)
	if err := u.UnmarshalText([]byte(stringValue(literal))); err != nil {
		s.addDecodeError(v.StartOffset, at, "%v", err)
	}
}

func (s *Source) decodeLiteral(v *hujson.Value, at *memberPath, target reflect.Value) {
	literal, ok := v.Value.(hujson.Literal)
	if ok && literal.Kind() == '"' && target.Kind() == reflect.String {
		target.SetString(stringValue(literal))
		return
	}
	if ok && literal.Kind() != 'n' && json.Unmarshal(literal, target.Addr().Interface()) == nil {
		return
	}
	want := expectedKindName(target.Kind())
	if ok && literal.Kind() == '0' && target.Kind() != reflect.String {
		s.addDecodeError(v.StartOffset, at, "must be %s, not %s", want, literal)
		return
	}
	s.addDecodeError(v.StartOffset, at, "must be %s, not %s", want, kindName(v))
}

// stringValue returns the content of a string. Most strings have no escapes, and need
// not go through the general decoder.
func stringValue(literal hujson.Literal) string {
	content := literal[1 : len(literal)-1]
	if bytes.IndexByte(content, '\\') < 0 && utf8.Valid(content) {
		return string(content)
	}
	return literal.String()
}

// expectedKindName describes the values that a field of the kind takes.
func expectedKindName(k reflect.Kind) string {
	switch k {
	case reflect.Bool:
		return "true or false"
	case reflect.String:
		return "a string"
	case reflect.Float64:
		return "a number"
	default:
		return "a whole number"
	}
}

// kindName describes the value in a message.
func kindName(v *hujson.Value) string {
	switch v.Value.Kind() {
	case '{':
		return "an object"
	case '[':
		return "a list"
	case '"':
		return "a string"
	case 'n':
		return "null"
	case 't', 'f':
		return "true or false"
	default:
		return "a number"
	}
}
