package table

import (
	"bytes"
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"sort"
	"strings"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"

	"turmericcove.org/cove"
)

// MaxFileBytes bounds a table file.
const MaxFileBytes = 64 << 20

// ParseFile reads a table file: JSON with comments and trailing commas. Every
// unknown or repeated field and every value of the wrong type is a fault with
// its line; the error is then Faults. The table is normalized, not validated.
func ParseFile(data []byte) (*cove.Table, error) {
	if len(data) > MaxFileBytes {
		return nil, errors.Errorf("table file is over %d bytes", MaxFileBytes)
	}
	root, err := hujson.Parse(data)
	if err != nil {
		return nil, errors.Wrap(err, "table file")
	}
	c := &shapeChecker{lines: newLineIndex(data), fields: make(map[reflect.Type]map[string]reflect.Type)}
	c.check(root, reflect.TypeFor[cove.Table]())
	if err := c.faults.err(); err != nil {
		return nil, err
	}
	root.Standardize()
	t := new(cove.Table)
	if err := json.Unmarshal(root.Pack(), t); err != nil {
		return nil, errors.Wrap(err, "table file")
	}
	return Normalize(t), nil
}

// lineIndex finds the line of an offset.
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

func (c *shapeChecker) add(v hujson.Value, format string, args ...any) {
	c.faults = append(c.faults, Fault{
		Line: c.lines.line(v.StartOffset), Field: c.field(), Problem: fmt.Sprintf(format, args...),
	})
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

func (c *shapeChecker) check(v hujson.Value, t reflect.Type) {
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

func (c *shapeChecker) checkObject(v hujson.Value, t reflect.Type) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		c.add(v, "want an object")
		return
	}
	fields := c.fieldTypes(t)
	for i, m := range obj.Members {
		name := m.Name.Value.(hujson.Literal).String()
		ft, known := fields[name]
		c.push(pathStep{name: name})
		switch {
		case !known:
			c.add(m.Name, "unknown field")
		case isRepeated(obj.Members[:i], name):
			c.add(m.Name, "field is repeated")
		default:
			c.check(m.Value, ft)
		}
		c.pop()
	}
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

func (c *shapeChecker) checkArray(v hujson.Value, t reflect.Type) {
	arr, ok := v.Value.(*hujson.Array)
	if !ok {
		c.add(v, "want an array")
		return
	}
	for i, e := range arr.Elements {
		c.push(pathStep{index: i})
		c.check(e, t.Elem())
		c.pop()
	}
}

func (c *shapeChecker) checkLiteral(v hujson.Value, t reflect.Type) {
	lit, ok := v.Value.(hujson.Literal)
	if !ok || bytes.Equal(lit, []byte("null")) {
		c.add(v, "want a %s", t.Kind())
		return
	}
	if t.Kind() == reflect.String && lit.Kind() == '"' {
		return
	}
	if err := json.Unmarshal(lit, reflect.New(t).Interface()); err != nil {
		c.add(v, "want a %s, got %s", t.Kind(), []byte(lit))
	}
}

func (c *shapeChecker) checkText(v hujson.Value, t reflect.Type) {
	lit, ok := v.Value.(hujson.Literal)
	if !ok || lit.Kind() != '"' {
		c.add(v, "want a string")
		return
	}
	text := reflect.New(t).Interface().(encoding.TextUnmarshaler)
	if err := text.UnmarshalText([]byte(lit.String())); err != nil {
		c.add(v, "%v", err)
	}
}
