// Package jsondoc decodes JSON with comments into Go structs. It reports all errors
// of a document, each with its location, instead of stopping at the first one. The
// locations of all members are kept, so that later checks can report theirs too.
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
	// MaxBytes is the maximum size of a value in the platform's store.
	MaxBytes = 1 << 20
	// maxDepth is the maximum nesting depth.
	maxDepth = 32
)

// Defaulter is implemented by structs whose fields have default values. Decode calls
// SetDefaults before it sets the fields that are present in the document.
type Defaulter interface{ SetDefaults() }

// Decode parses data into the struct that into points to. Member names have to match
// the json tags including their case; unknown and repeated members are reported as
// findings. Fields for which the document has no member keep their value. The
// returned Source holds the findings.
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

// addSyntaxError records an error of the hujson parser, whose location is available
// only in the error text.
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

// memberPath is the path of a member, or of an element, as a linked list. Its string
// is built only for a finding, because documents have many thousands of members.
type memberPath struct {
	parent *memberPath
	name   string
	index  int
}

// path returns the path as a string, for example "jobs[2].database".
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

// decode sets target to the value v of the member at.
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

// fieldsOf returns the field indexes of a struct type by json tag name. Results are
// cached in fieldIndexes.
func (s *Source) fieldsOf(t reflect.Type) map[string]int {
	if fields, found := s.fields[t]; found {
		return fields
	}
	fields := map[string]int{}
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if name != "" {
			fields[name] = i
		}
	}
	s.fields[t] = fields
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

// stringValue returns the value of a string literal. Literals without escapes, which
// are the most frequent, bypass the general decoder.
func stringValue(literal hujson.Literal) string {
	content := literal[1 : len(literal)-1]
	if bytes.IndexByte(content, '\\') < 0 && utf8.Valid(content) {
		return string(content)
	}
	return literal.String()
}

// expectedKindName describes, for a finding, the values that a field of kind k accepts.
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

// kindName describes, for a finding, the type of the value.
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
