package table

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// WriteText writes the changes for operators, one row a line: "+" for a new
// row, "-" for a removed one and "~" with the changed fields for others.
func (c *Changes) WriteText(w io.Writer) error {
	p := &textPrinter{w: w}
	printEdits(p, &domainKind, c.Domains)
	printEdits(p, &routeKind, c.Routes)
	printEdits(p, &poolKind, c.Pools)
	printEdits(p, &serverKind, c.Servers)
	printEdits(p, &teamKind, c.Teams)
	printEdits(p, &keyKind, c.Keys)
	printEdits(p, &linkKind, c.Links)
	printEdits(p, &siteKind, c.Sites)
	printEdits(p, &blockKind, c.Blocks)
	return errors.Wrap(p.err, "write changes")
}

// String returns what WriteText writes.
func (c *Changes) String() string {
	var b strings.Builder
	// A strings.Builder never fails.
	_ = c.WriteText(&b)
	return b.String()
}

// textPrinter keeps the first error of its writer.
type textPrinter struct {
	w   io.Writer
	err error
}

func (p *textPrinter) printf(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format, args...)
	}
}

func printEdits[T any](p *textPrinter, k *rowKind[T], edits []Edit[T]) {
	for _, e := range edits {
		switch {
		case e.Old == nil && e.New == nil:
		case e.Old == nil:
			p.printf("+ %s %s%s\n", k.kind, k.label(e.New), fieldText(nil, fieldsOf(e.New)))
		case e.New == nil:
			p.printf("- %s %s\n", k.kind, k.label(e.Old))
		default:
			p.printf("~ %s %s%s\n", k.kind, k.label(e.New), fieldText(fieldsOf(e.Old), fieldsOf(e.New)))
		}
	}
}

// fieldsOf returns the fields of a row in their JSON form.
func fieldsOf(row any) map[string]json.RawMessage {
	data, err := json.Marshal(row)
	if err != nil {
		return nil
	}
	fields := make(map[string]json.RawMessage)
	if err := json.Unmarshal(data, &fields); err != nil {
		return nil
	}
	return fields
}

// fieldText lists the fields that differ. Without old fields it lists all.
func fieldText(old, new map[string]json.RawMessage) string {
	names := maps.Clone(new)
	maps.Copy(names, old)
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(names)) {
		was, is := string(old[name]), string(new[name])
		switch {
		case was == is:
		case old == nil:
			fmt.Fprintf(&b, " %s=%s", name, is)
		default:
			fmt.Fprintf(&b, " %s: %s -> %s", name, orNone(was), orNone(is))
		}
	}
	return b.String()
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}
