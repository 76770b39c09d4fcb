// Package jsonc decodes JSON with comments into structs and reports every fault
// with its line and field.
package jsonc

import (
	"bytes"
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
)

// Fault is one thing that is wrong with a file.
type Fault struct {
	File  string `json:"file"`
	Line  int    `json:"line"`
	Field string `json:"field"`
	Text  string `json:"text"`
	// Fix tells how to mend it.
	Fix string `json:"fix,omitempty"`
}

// String returns the form "file:line: field: text; fix".
func (f Fault) String() string {
	s := fmt.Sprintf("%s:%d: ", f.File, f.Line)
	if f.Field != "" {
		s += f.Field + ": "
	}
	s += f.Text
	if f.Fix != "" {
		s += "; " + f.Fix
	}
	return s
}

// Faults is the error of a file with at least one fault.
type Faults []Fault

// Error lists all faults, one a line.
func (fs Faults) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// File is a parsed file that knows the lines of its fields.
type File struct {
	name   string
	src    []byte
	root   hujson.Value
	faults Faults
}

// Decode parses src into v, which points to a struct. Unknown fields and wrong
// types are collected as faults of the returned file; the error is for text
// that is no JSON at all.
func Decode(name string, src []byte, v any) (*File, error) {
	root, err := hujson.Parse(src)
	if err != nil {
		return nil, errors.Wrapf(err, "%s", name)
	}
	f := &File{name: name, src: src, root: root}
	f.decode(&f.root, reflect.ValueOf(v).Elem(), "")
	return f, nil
}

// Faultf adds a fault at a field, given as a JSON pointer such as
// "/peer/listen". A field that is not in the file gets the line of its parent.
func (f *File) Faultf(pointer, fix, format string, args ...any) {
	f.faults = append(f.faults, Fault{
		File:  f.name,
		Line:  f.line(pointer),
		Field: fieldName(pointer),
		Text:  fmt.Sprintf(format, args...),
		Fix:   fix,
	})
}

// Err returns all faults in the order of their lines, or nil.
func (f *File) Err() error {
	if len(f.faults) == 0 {
		return nil
	}
	slices.SortStableFunc(f.faults, func(a, b Fault) int { return a.Line - b.Line })
	return f.faults
}

func (f *File) line(pointer string) int {
	for {
		if v := f.root.Find(pointer); v != nil {
			return 1 + bytes.Count(f.src[:v.StartOffset], []byte{'\n'})
		}
		i := strings.LastIndexByte(pointer, '/')
		if i < 0 {
			return 1
		}
		pointer = pointer[:i]
	}
}

// fieldName turns "/pools/0/name" into "pools[0].name".
func fieldName(pointer string) string {
	var sb strings.Builder
	for part := range strings.SplitSeq(strings.TrimPrefix(pointer, "/"), "/") {
		if _, err := strconv.Atoi(part); err == nil {
			sb.WriteString("[" + part + "]")
			continue
		}
		if sb.Len() > 0 {
			sb.WriteByte('.')
		}
		sb.WriteString(part)
	}
	return sb.String()
}

var textType = reflect.TypeFor[encoding.TextUnmarshaler]()

func (f *File) decode(v *hujson.Value, dst reflect.Value, pointer string) {
	switch x := v.Value.(type) {
	case *hujson.Object:
		if dst.Kind() == reflect.Struct && !dst.Addr().Type().Implements(textType) {
			f.decodeObject(x, dst, pointer)
			return
		}
	case *hujson.Array:
		if dst.Kind() == reflect.Slice {
			f.decodeArray(x, dst, pointer)
			return
		}
	}
	f.decodeLeaf(v, dst, pointer)
}

func (f *File) decodeObject(obj *hujson.Object, dst reflect.Value, pointer string) {
	seen := make(map[string]bool, len(obj.Members))
	for i := range obj.Members {
		m := &obj.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		at := pointer + "/" + name
		if seen[name] {
			f.Faultf(at, "remove one of the two", "field is given twice")
			continue
		}
		seen[name] = true
		field, ok := fieldByName(dst, name)
		if !ok {
			f.Faultf(at, "use one of "+strings.Join(fieldNames(dst.Type()), ", "), "unknown field")
			continue
		}
		f.decode(&m.Value, field, at)
	}
}

func (f *File) decodeArray(arr *hujson.Array, dst reflect.Value, pointer string) {
	dst.Set(reflect.MakeSlice(dst.Type(), len(arr.Elements), len(arr.Elements)))
	for i := range arr.Elements {
		f.decode(&arr.Elements[i], dst.Index(i), pointer+"/"+strconv.Itoa(i))
	}
}

func (f *File) decodeLeaf(v *hujson.Value, dst reflect.Value, pointer string) {
	std := v.Clone()
	std.Standardize()
	if err := json.Unmarshal(std.Pack(), dst.Addr().Interface()); err != nil {
		f.Faultf(pointer, "give "+kindName(dst.Type()), "%s", leafError(err))
	}
}

func leafError(err error) string {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return "unexpected " + typeErr.Value
	}
	return err.Error()
}

// kindName describes a type to an operator.
func kindName(t reflect.Type) string {
	if reflect.PointerTo(t).Implements(textType) {
		return fmt.Sprintf("a %s as text", strings.ToLower(t.Name()))
	}
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Struct, reflect.Map:
		return "an object"
	case reflect.Slice:
		return "an array"
	default:
		return "a number (" + t.Kind().String() + ")"
	}
}

func fieldByName(dst reflect.Value, name string) (reflect.Value, bool) {
	t := dst.Type()
	for i := range t.NumField() {
		if tagName(t.Field(i)) == name {
			return dst.Field(i), true
		}
	}
	return reflect.Value{}, false
}

func fieldNames(t reflect.Type) []string {
	var names []string
	for i := range t.NumField() {
		if name := tagName(t.Field(i)); name != "" {
			names = append(names, name)
		}
	}
	return names
}

func tagName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	if name == "-" {
		return ""
	}
	return name
}
