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

// Unmarshal parses src, compares it with the type of v and decodes it into v, which
// points to a struct. Every unknown or repeated field and every value of the
// wrong type is a fault; then v may be incomplete. The error is for text that is
// no JSON.
func Unmarshal(src []byte, v any) (Faults, error) {
	root, err := hujson.Parse(src)
	if err != nil {
		return nil, errors.Wrap(err, "parse JSON")
	}
	return read(root, src, v)
}

func read(root hujson.Value, src []byte, v any) (Faults, error) {
	c := &shapeChecker{lines: newLineIndex(src), fields: make(map[reflect.Type]map[string]reflect.Type)}
	c.check(&root, reflect.TypeOf(v).Elem())
	root.Standardize()
	if err := json.Unmarshal(root.Pack(), v); err != nil && len(c.faults) == 0 {
		return nil, errors.Wrap(err, "decode JSON")
	}
	return c.faults, nil
}

// lineIndex holds the offsets of the line ends.
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

// line returns the line of an offset, counted from 1.
func (ix lineIndex) line(offset int) int {
	return sort.SearchInts(ix, offset) + 1
}

// shapeChecker compares a syntax tree with the type that it will be read into,
// because encoding/json does not tell the line of an unknown field.
type shapeChecker struct {
	lines  lineIndex
	faults Faults
	// path leads to the present value. It is made into text only for a fault,
	// because a file may have hundreds of thousands of rows.
	path   []pathStep
	fields map[reflect.Type]map[string]reflect.Type
}

// pathStep is a field, or an element when the name is empty.
type pathStep struct {
	name  string
	index int
}

func (c *shapeChecker) add(v *hujson.Value, format string, args ...any) {
	c.faults = append(c.faults, Fault{
		Line: c.lines.line(v.StartOffset), Field: c.field(), Text: fmt.Sprintf(format, args...),
	})
}

// bad adds a fault of a value and takes the value out, so that the rest of the
// file is decoded.
func (c *shapeChecker) bad(v *hujson.Value, format string, args ...any) {
	c.add(v, format, args...)
	v.Value = hujson.Literal("null")
}

// field returns the path as text.
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

var textType = reflect.TypeFor[encoding.TextUnmarshaler]()

func (c *shapeChecker) check(v *hujson.Value, t reflect.Type) {
	switch {
	case reflect.PointerTo(t).Implements(textType):
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
		c.bad(v, "want an object")
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
			c.add(&m.Name, "unknown field")
			c.faults[len(c.faults)-1].Fix = "use one of " + names(fields)
		case isRepeated(obj.Members[:i], name):
			c.add(&m.Name, "field is repeated")
		default:
			c.check(&m.Value, ft)
		}
		c.pop()
	}
}

// names lists the fields of a struct.
func names(fields map[string]reflect.Type) string {
	var out []string
	for name := range fields {
		out = append(out, name)
	}
	slices.Sort(out)
	return strings.Join(out, ", ")
}

// isRepeated reports whether a field is among those before it, which are few.
func isRepeated(before []hujson.ObjectMember, name string) bool {
	for _, m := range before {
		if m.Name.Value.(hujson.Literal).String() == name {
			return true
		}
	}
	return false
}

// fieldTypes returns the fields of a struct by their JSON names.
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
		c.bad(v, "want an array")
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
		c.bad(v, "want a %s", t.Kind())
		return
	}
	if t.Kind() == reflect.String && lit.Kind() == '"' {
		return
	}
	if err := json.Unmarshal(lit, reflect.New(t).Interface()); err != nil {
		c.bad(v, "want a %s, got %s", t.Kind(), []byte(lit))
	}
}
func (c *shapeChecker) checkText(v *hujson.Value, t reflect.Type) {
	lit, ok := v.Value.(hujson.Literal)
	if !ok || lit.Kind() != '"' {
		c.bad(v, "want a string")
		return
	}
	text := reflect.New(t).Interface().(encoding.TextUnmarshaler)
	if err := text.UnmarshalText([]byte(lit.String())); err != nil {
		c.bad(v, "%v", err)
	}
}
