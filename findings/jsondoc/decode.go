// Package jsondoc decodes JSON with comments into Go structs. It reports every
// error with its place at once, and keeps the place of each member, so that
// later checks can report theirs the same way.
package jsondoc

import (
	"encoding"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"

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
	if offset := tooDeep(data, maxDepth); offset >= 0 {
		s.addAt(offset, "", "more than %d levels of nesting", maxDepth)
		return s
	}
	value, err := hujson.Parse(data)
	if err != nil {
		s.addSyntaxError(err)
		return s
	}
	s.parsed = true
	s.decode(&value, "", reflect.ValueOf(into).Elem())
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

// decode sets target from the value at path.
func (s *Source) decode(v *hujson.Value, path string, target reflect.Value) {
	s.offsets[path] = v.StartOffset
	if target.Kind() == reflect.Pointer {
		target.Set(reflect.New(target.Type().Elem()))
		target = target.Elem()
	}
	if target.Addr().Type().Implements(textUnmarshaler) {
		s.decodeText(v, path, target)
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		s.decodeStruct(v, path, target)
	case reflect.Slice:
		s.decodeSlice(v, path, target)
	default:
		s.decodeLiteral(v, path, target)
	}
}

func (s *Source) decodeStruct(v *hujson.Value, path string, target reflect.Value) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		s.addFault(v.StartOffset, path, "must be an object, not %s", kindName(v))
		return
	}
	if d, ok := target.Addr().Interface().(Defaulter); ok {
		d.SetDefaults()
	}
	seen := map[string]bool{}
	for i := range object.Members {
		s.decodeMember(&object.Members[i], path, target, seen)
	}
}

func (s *Source) decodeMember(m *hujson.ObjectMember, parent string, target reflect.Value, seen map[string]bool) {
	name := m.Name.Value.(hujson.Literal).String()
	path := name
	if parent != "" {
		path = parent + "." + name
	}
	if seen[name] {
		s.addFault(m.Name.StartOffset, path, "appears twice")
		return
	}
	seen[name] = true
	field, found := fieldByTag(target, name)
	if !found {
		s.addFault(m.Name.StartOffset, path, "unknown field")
		return
	}
	s.decode(&m.Value, path, field)
}

// fieldByTag returns the field whose json tag has the name.
func fieldByTag(target reflect.Value, name string) (reflect.Value, bool) {
	t := target.Type()
	for i := range t.NumField() {
		tag, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if tag == name && tag != "" && tag != "-" {
			return target.Field(i), true
		}
	}
	return reflect.Value{}, false
}

func (s *Source) decodeSlice(v *hujson.Value, path string, target reflect.Value) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		s.addFault(v.StartOffset, path, "must be a list, not %s", kindName(v))
		return
	}
	list := reflect.MakeSlice(target.Type(), len(array.Elements), len(array.Elements))
	for i := range array.Elements {
		s.decode(&array.Elements[i], fmt.Sprintf("%s[%d]", path, i), list.Index(i))
	}
	target.Set(list)
}

func (s *Source) decodeText(v *hujson.Value, path string, target reflect.Value) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		s.addFault(v.StartOffset, path, "must be a string, not %s", kindName(v))
		return
	}
	u := target.Addr().Interface().(encoding.TextUnmarshaler)
	if err := u.UnmarshalText([]byte(literal.String())); err != nil {
		s.addFault(v.StartOffset, path, "%v", err)
	}
}

func (s *Source) decodeLiteral(v *hujson.Value, path string, target reflect.Value) {
	literal, ok := v.Value.(hujson.Literal)
	if ok && literal.Kind() != 'n' && json.Unmarshal(literal, target.Addr().Interface()) == nil {
		return
	}
	want := wantName(target.Kind())
	if ok && literal.Kind() == '0' && target.Kind() != reflect.String {
		s.addFault(v.StartOffset, path, "must be %s, not %s", want, literal)
		return
	}
	s.addFault(v.StartOffset, path, "must be %s, not %s", want, kindName(v))
}

// wantName describes the values that a field of the kind takes.
func wantName(k reflect.Kind) string {
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
