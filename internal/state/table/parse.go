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
	c := &shapeChecker{lines: newLineIndex(data)}
	c.check(root, reflect.TypeFor[cove.Table](), "")
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
}

func (c *shapeChecker) add(v hujson.Value, field, format string, args ...any) {
	c.faults = append(c.faults, Fault{
		Line: c.lines.line(v.StartOffset), Field: field, Problem: fmt.Sprintf(format, args...),
	})
}

func (c *shapeChecker) check(v hujson.Value, t reflect.Type, field string) {
	if reflect.PointerTo(t).Implements(reflect.TypeFor[encoding.TextUnmarshaler]()) {
		c.checkText(v, t, field)
		return
	}
	switch t.Kind() {
	case reflect.Struct:
		c.checkObject(v, t, field)
	case reflect.Slice:
		c.checkArray(v, t, field)
	default:
		c.checkLiteral(v, t, field)
	}
}

func (c *shapeChecker) checkObject(v hujson.Value, t reflect.Type, field string) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		c.add(v, field, "want an object")
		return
	}
	fields := fieldTypes(t)
	seen := make(map[string]bool, len(obj.Members))
	for _, m := range obj.Members {
		name := m.Name.Value.(hujson.Literal).String()
		path := joinField(field, name)
		ft, known := fields[name]
		switch {
		case !known:
			c.add(m.Name, path, "unknown field")
		case seen[name]:
			c.add(m.Name, path, "field is repeated")
		default:
			c.check(m.Value, ft, path)
		}
		seen[name] = true
	}
}

func joinField(field, name string) string {
	if field == "" {
		return name
	}
	return field + "." + name
}

// fieldTypes returns the fields of a struct by their JSON names.
func fieldTypes(t reflect.Type) map[string]reflect.Type {
	out := make(map[string]reflect.Type, t.NumField())
	for i := range t.NumField() {
		f := t.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		out[name] = f.Type
	}
	return out
}

func (c *shapeChecker) checkArray(v hujson.Value, t reflect.Type, field string) {
	arr, ok := v.Value.(*hujson.Array)
	if !ok {
		c.add(v, field, "want an array")
		return
	}
	for i, e := range arr.Elements {
		c.check(e, t.Elem(), fmt.Sprintf("%s[%d]", field, i))
	}
}

func (c *shapeChecker) checkLiteral(v hujson.Value, t reflect.Type, field string) {
	lit, ok := v.Value.(hujson.Literal)
	if !ok || bytes.Equal(lit, []byte("null")) {
		c.add(v, field, "want a %s", t.Kind())
		return
	}
	if err := json.Unmarshal(lit, reflect.New(t).Interface()); err != nil {
		c.add(v, field, "want a %s, got %s", t.Kind(), []byte(lit))
	}
}

func (c *shapeChecker) checkText(v hujson.Value, t reflect.Type, field string) {
	lit, ok := v.Value.(hujson.Literal)
	if !ok || lit.Kind() != '"' {
		c.add(v, field, "want a string")
		return
	}
	if err := json.Unmarshal(lit, reflect.New(t).Interface()); err != nil {
		c.add(v, field, "%v", err)
	}
}
