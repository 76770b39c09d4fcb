package jsonc

import (
	"bytes"
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"sort"
	"strings"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
)

// Unmarshal parses src, checks it against the type of v and decodes it into v,
// which must point to a struct. It returns a fault for each unknown or repeated
// field and each value of the wrong type; v may then be incomplete. The error
// reports a JSON syntax error.
func Unmarshal(src []byte, v any) (Faults, error) {
	root, err := hujson.Parse(src)
	if err != nil {
		return nil, errors.Wrap(err, "parse JSON")
	}
	return unmarshal(root, src, v)
}

func unmarshal(root hujson.Value, src []byte, v any) (Faults, error) {
	c := &shapeChecker{lines: newLineIndex(src), fields: make(map[reflect.Type]map[string]reflect.Type)}
	c.check(&root, reflect.TypeOf(v).Elem())
	root.Standardize()
	if err := json.Unmarshal(root.Pack(), v); err != nil && len(c.faults) == 0 {
		return nil, errors.Wrap(err, "decode JSON")
	}
	return c.faults, nil
}

// lineIndex holds the offsets of the newlines in a file.
type lineIndex []int

func newLineIndex(data []byte) lineIndex {
	var ix lineIndex
	for i, b := range data {
		if b == '\n' {
			ix = append(ix, i)
		}
	}
	return ix
}

// line returns the line number of an offset, starting at 1.
func (ix lineIndex) line(offset int) int {
	return sort.SearchInts(ix, offset) + 1
}

// shapeChecker checks a syntax tree against the type that it will be decoded
// into, because encoding/json does not report the line of an unknown field.
type shapeChecker struct {
	lines  lineIndex
	faults Faults
	// path is the path of the current value. It is formatted only for a fault,
	// because a file may have hundreds of thousands of rows.
	path   []pathStep
	fields map[reflect.Type]map[string]reflect.Type
}

// pathStep is a field name, or an array index when the name is empty.
type pathStep struct {
	name  string
	index int
}

func (c *shapeChecker) addFault(v *hujson.Value, format string, args ...any) {
	c.faults = append(c.faults, Fault{
		Line: c.lines.line(v.StartOffset), Field: c.field(), Text: fmt.Sprintf(format, args...),
	})
}

// reject adds a fault for a value and replaces the value by null, so that the
// rest of the file can be decoded.
func (c *shapeChecker) reject(v *hujson.Value, format string, args ...any) {
	c.addFault(v, format, args...)
	v.Value = hujson.Literal("null")
}

// field formats the current path, such as "pools[0].name".
func (c *shapeChecker) field() string {
	var b strings.Builder
	for i, s := range c.path {
		switch {
		case s.name == "":
			fmt.Fprintf(&b, "[%d]", s.index)
		case i > 0:
			b.WriteString("." + s.name)
		default:
			b.WriteString(s.name)
		}
	}
	return b.String()
}

func (c *shapeChecker) push(s pathStep) { c.path = append(c.path, s) }

func (c *shapeChecker) pop() { c.path = c.path[:len(c.path)-1] }

var textUnmarshalerType = reflect.TypeFor[encoding.TextUnmarshaler]()

func (c *shapeChecker) check(v *hujson.Value, t reflect.Type) {
	switch {
	case reflect.PointerTo(t).Implements(textUnmarshalerType):
		c.checkText(v, t)
	case t.Kind() == reflect.Struct:
		c.checkObject(v, t)
	case t.Kind() == reflect.Slice:
		c.checkArray(v, t)
	default:
		c.checkLiteral(v, t)
	}
}

func (c *shapeChecker) checkObject(v *hujson.Value, t reflect.Type) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		c.reject(v, "want an object")
		return
	}
	fields := c.fieldTypes(t)
	for i := range obj.Members {
		m := &obj.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		ft, known := fields[name]
		c.push(pathStep{name: name})
		switch {
		case !known:
			c.addFault(&m.Name, "unknown field")
			c.faults[len(c.faults)-1].Fix = "use one of " + fieldNames(fields)
		case isRepeated(obj.Members[:i], name):
			c.addFault(&m.Name, "field is repeated")
		default:
			c.check(&m.Value, ft)
		}
		c.pop()
	}
}

// fieldNames returns the sorted field names, separated by commas.
func fieldNames(fields map[string]reflect.Type) string {
	var out []string
	for name := range fields {
		out = append(out, name)
	}
	slices.Sort(out)
	return strings.Join(out, ", ")
}

// isRepeated reports whether before has a field of that name. Objects have few
// fields, so that a linear search is fast enough.
func isRepeated(before []hujson.ObjectMember, name string) bool {
	for _, m := range before {
		if m.Name.Value.(hujson.Literal).String() == name {
			return true
		}
	}
	return false
}

// fieldTypes returns the types of a struct's fields by JSON name.
func (c *shapeChecker) fieldTypes(t reflect.Type) map[string]reflect.Type {
	if out, ok := c.fields[t]; ok {
		return out
	}
	out := make(map[string]reflect.Type, t.NumField())
	for i := range t.NumField() {
		f := t.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		out[name] = f.Type
	}
	c.fields[t] = out
	return out
}

func (c *shapeChecker) checkArray(v *hujson.Value, t reflect.Type) {
	arr, ok := v.Value.(*hujson.Array)
	if !ok {
		c.reject(v, "want an array")
		return
	}
	for i := range arr.Elements {
		c.push(pathStep{index: i})
		c.check(&arr.Elements[i], t.Elem())
		c.pop()
	}
}

func (c *shapeChecker) checkLiteral(v *hujson.Value, t reflect.Type) {
	lit, ok := v.Value.(hujson.Literal)
	if !ok || bytes.Equal(lit, []byte("null")) {
		c.reject(v, "want a %s", t.Kind())
		return
	}
	if t.Kind() == reflect.String && lit.Kind() == '"' {
		return
	}
	if err := json.Unmarshal(lit, reflect.New(t).Interface()); err != nil {
		c.reject(v, "want a %s, got %s", t.Kind(), []byte(lit))
	}
}

func (c *shapeChecker) checkText(v *hujson.Value, t reflect.Type) {
	lit, ok := v.Value.(hujson.Literal)
	if !ok || lit.Kind() != '"' {
		c.reject(v, "want a string")
		return
	}
	text := reflect.New(t).Interface().(encoding.TextUnmarshaler)
	if err := text.UnmarshalText([]byte(lit.String())); err != nil {
		c.reject(v, "%v", err)
	}
}
