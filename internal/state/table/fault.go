package table

import (
	"fmt"
	"strings"
)

// Fault is one thing that is wrong with a table or a table file.
type Fault struct {
	// Line of the file, counted from 1; 0 when the table has no file.
	Line int `json:"line,omitempty"`
	// Row names the row, such as `route "orders"`.
	Row string `json:"row,omitempty"`
	// Field is the path inside the row, such as "pools[1].weight".
	Field   string `json:"field,omitempty"`
	Problem string `json:"problem"`
}

// String returns the fault as one line of text.
func (f Fault) String() string {
	var b strings.Builder
	if f.Line > 0 {
		fmt.Fprintf(&b, "line %d: ", f.Line)
	}
	if f.Row != "" {
		b.WriteString(f.Row + ": ")
	}
	if f.Field != "" {
		b.WriteString(f.Field + ": ")
	}
	b.WriteString(f.Problem)
	return b.String()
}

// Faults lists everything that is wrong. As an error it is never empty.
type Faults []Fault

// Error implements error with one line for each fault.
func (fs Faults) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// err returns nil when there are no faults.
func (fs Faults) err() error {
	if len(fs) == 0 {
		return nil
	}
	return fs
}

// faultList collects faults of one row at a time.
type faultList struct {
	faults Faults
	row    string
}

func (l *faultList) setRow(kind Kind, name string) {
	l.row = fmt.Sprintf("%s %q", kind, name)
}

func (l *faultList) add(field, format string, args ...any) {
	l.faults = append(l.faults, Fault{Row: l.row, Field: field, Problem: fmt.Sprintf(format, args...)})
}
