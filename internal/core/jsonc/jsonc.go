// Package jsonc decodes JSON with comments into structs and reports all errors
// of a file, each with its line and field.
package jsonc

import (
	"bytes"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
)

// Fault is one error in a file.
type Fault struct {
	File  string `json:"file"`
	Line  int    `json:"line"`
	Field string `json:"field"`
	Text  string `json:"text"`
	// Fix suggests how to correct the error.
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

// Faults is the error of a file with one or more faults.
type Faults []Fault

// Error returns all faults, one per line.
func (fs Faults) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// File is a parsed file with the positions of its fields.
type File struct {
	name   string
	src    []byte
	root   hujson.Value
	faults Faults
}

// Decode is like Unmarshal, but returns a File for further validation: Faultf
// adds a fault, and Err returns all faults, including those of decoding.
func Decode(name string, src []byte, v any) (*File, error) {
	root, err := hujson.Parse(src)
	if err != nil {
		return nil, errors.Wrapf(err, "%s", name)
	}
	f := &File{name: name, src: src, root: root}
	if f.faults, err = unmarshal(root.Clone(), src, v); err != nil {
		return nil, errors.Wrapf(err, "%s", name)
	}
	for i := range f.faults {
		f.faults[i].File = name
	}
	return f, nil
}

// Faultf adds a fault at a field, given as a JSON pointer such as
// "/peer/listen". For a field that is not in the file, it reports the line of
// the closest parent.
func (f *File) Faultf(pointer, fix, format string, args ...any) {
	f.faults = append(f.faults, Fault{
		File:  f.name,
		Line:  f.line(pointer),
		Field: fieldName(pointer),
		Text:  fmt.Sprintf(format, args...),
		Fix:   fix,
	})
}

// Err returns all faults sorted by line, or nil.
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
