package config

import (
	"flag"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"reflect"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "write the settings reference")

const referenceFile = "../../../docs/operate/settings.md"

// Guards against a settings reference that differs from the types. Run
// go test ./internal/core/config -update to regenerate it.
func TestReference(t *testing.T) {
	want := reference(t)
	if *update {
		if err := os.WriteFile(referenceFile, []byte(want), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(referenceFile)
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != want {
		t.Errorf("%s does not match the settings; run this test with -update", referenceFile)
	}
}

// reference returns the settings reference: a Markdown table of all fields with
// their doc comments.
func reference(t *testing.T) string {
	f, err := parser.ParseFile(token.NewFileSet(), "config.go", nil, parser.ParseComments)
	if err != nil {
		t.Fatal(err)
	}
	docs := make(map[string]string)
	ast.Inspect(f, func(n ast.Node) bool {
		ts, ok := n.(*ast.TypeSpec)
		if !ok {
			return true
		}
		st, ok := ts.Type.(*ast.StructType)
		if !ok {
			return true
		}
		for _, field := range st.Fields.List {
			for _, name := range field.Names {
				docs[ts.Name.Name+"."+name.Name] = strings.Join(strings.Fields(field.Doc.Text()), " ")
			}
		}
		return true
	})
	var sb strings.Builder
	sb.WriteString("# Settings\n\nJSON with comments. Written from the types by `go test ./internal/core/config -update`.\n\n")
	sb.WriteString("| field | type | required | meaning |\n|---|---|---|---|\n")
	writeFields(&sb, docs, reflect.TypeFor[Settings](), "")
	return sb.String()
}

func writeFields(sb *strings.Builder, docs map[string]string, t reflect.Type, prefix string) {
	for i := range t.NumField() {
		f := t.Field(i)
		name, opts, _ := strings.Cut(f.Tag.Get("json"), ",")
		path := prefix + name
		elem := f.Type
		if elem.Kind() == reflect.Slice {
			elem = elem.Elem()
			path += "[]"
		}
		if elem.Kind() == reflect.Struct && strings.HasSuffix(elem.PkgPath(), "core/config") {
			writeFields(sb, docs, elem, path+".")
			continue
		}
		required := "yes"
		if opts != "" || strings.Contains(path, "[]") {
			required = "no"
		}
		fmt.Fprintf(sb, "| `%s` | %s | %s | %s |\n", path, typeName(elem), required, docs[t.Name()+"."+f.Name])
	}
}

func typeName(t reflect.Type) string {
	switch t.Name() {
	case "AddrPort":
		return "address with port"
	case "Prefix":
		return "address prefix"
	case "Duration":
		return "time, such as `1.5s`"
	}
	switch t.Kind() {
	case reflect.String:
		return "text"
	case reflect.Int, reflect.Int64:
		return "number"
	default:
		return t.Name()
	}
}
