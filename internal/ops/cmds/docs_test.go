package cmds

import (
	"context"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/rogpeppe/go-internal/testscript"

	"turmericcove.org/cove/internal/bench/fleet"
)

const pages = "../../../docs/operate"

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"turmericcove": func() { os.Exit(Run(context.Background(), os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

func startRig(t *testing.T) *fleet.Fleet {
	t.Helper()
	dep, err := fleet.Load("hyllkant")
	if err != nil {
		t.Fatal(err)
	}
	dep.Restrict(2)
	r, err := fleet.Start(t.Context(), fleet.Config{
		Deployment: dep, Hosts: 2, Seed: 1, ServiceTime: time.Millisecond, Linger: 100 * time.Millisecond, Logger: logr.Discard(),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Stop)
	return r
}

var block = regexp.MustCompile("(?ms)^```(sh|json)( [a-z0-9.-]+)?\n(.*?)^```")

// pageScript turns the commands of a page into a script and collects its files.
func pageScript(t *testing.T, name string) (script string, files map[string]string) {
	t.Helper()
	src, err := os.ReadFile(filepath.Join(pages, name))
	if err != nil {
		t.Fatal(err)
	}
	files = make(map[string]string)
	for _, m := range block.FindAllStringSubmatch(string(src), -1) {
		if m[1] == "json" {
			files[strings.TrimSpace(m[2])] = m[3]
			continue
		}
		for line := range strings.SplitSeq(strings.TrimSpace(m[3]), "\n") {
			script += command(line) + "\n"
		}
	}
	return script, files
}

// command runs a line of a page. A host in the background is waited for, and
// commands that need something from outside the page get it.
func command(line string) string {
	switch {
	case strings.HasSuffix(line, "&"):
		return "exec " + line + "\nwaitready 127.0.0.1:18082"
	case strings.Contains(line, "table apply tables.json"):
		return "changetables\nexec " + line
	case strings.Contains(line, "host remove"):
		// The host of the page does not exist, which the command must say.
		return "! exec " + line
	case strings.Contains(line, "table repair"):
		return "wipestore\nchangetables\n! exec turmericcove table apply tables.json\nexec " + line +
			"\nexec turmericcove table apply tables.json"
	}
	return "exec " + line
}

// Guards against pages with commands that do not work.
func TestPages(t *testing.T) {
	entries, err := os.ReadDir(pages)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	files := make(map[string]map[string]string)
	for _, e := range entries {
		script, extra := pageScript(t, e.Name())
		if script == "" {
			continue
		}
		name := strings.TrimSuffix(e.Name(), ".md")
		files[name] = extra
		if err := os.WriteFile(filepath.Join(dir, name+".txtar"), []byte(script), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if len(files) < 7 {
		t.Fatalf("only %d pages have commands", len(files))
	}
	testscript.Run(t, testscript.Params{
		Dir:   dir,
		Setup: func(env *testscript.Env) error { return setup(t, env, files) },
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"waitready":    waitReady,
			"changetables": changeTables,
			"wipestore": func(ts *testscript.TestScript, _ bool, _ []string) {
				ts.Value(rigKey{}).(*fleet.Fleet).Platform.ClearTable()
			},
		},
	})
}

// rigKey finds the fleet of a script.
type rigKey struct{}

// setup starts a fleet for a page and writes its files.
func setup(t *testing.T, env *testscript.Env, files map[string]map[string]string) error {
	r := startRig(t)
	env.Values[rigKey{}] = r
	env.Setenv("TURMERICCOVE_ADMIN", r.Hosts[0].AdminAddr())
	page := strings.TrimPrefix(filepath.Base(env.WorkDir), "script-")
	for name, text := range files[page] {
		text = strings.ReplaceAll(text, "http://127.0.0.1:7000", r.PlatformURL())
		if err := os.WriteFile(filepath.Join(env.WorkDir, name), []byte(text), 0o600); err != nil {
			return err
		}
	}
	return writeTables(r, env.WorkDir)
}

func writeTables(r *fleet.Fleet, dir string) error {
	f, err := os.Create(filepath.Join(dir, "tables.json"))
	if err != nil {
		return err
	}
	defer f.Close()
	if code := Run(context.Background(), []string{"-admin", r.Hosts[0].AdminAddr(), "table", "get"}, f, os.Stderr); code != 0 {
		return fmt.Errorf("table get: exit code %d", code)
	}
	return nil
}

var rateField = regexp.MustCompile(`"rate": (\d+)`)

// changeTables raises each team's rate by one and leaves the version out, so
// that there is something to apply to the version in force.
func changeTables(ts *testscript.TestScript, _ bool, _ []string) {
	name := ts.MkAbs("tables.json")
	src, err := os.ReadFile(name)
	ts.Check(err)
	text := rateField.ReplaceAllStringFunc(string(src), func(s string) string {
		n, err := strconv.Atoi(rateField.FindStringSubmatch(s)[1])
		ts.Check(err)
		return fmt.Sprintf(`"rate": %d`, n+1)
	})
	text = regexp.MustCompile(`(?m)^  "version": \d+,\n`).ReplaceAllString(text, "")
	ts.Check(os.WriteFile(name, []byte(text), 0o600))
}

// waitReady waits until the host with that admin port is ready.
func waitReady(ts *testscript.TestScript, _ bool, args []string) {
	deadline := time.Now().Add(20 * time.Second)
	for !isReady("http://" + args[0] + "/readyz") {
		if time.Now().After(deadline) {
			ts.Fatalf("host at %s is not ready", args[0])
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func isReady(url string) bool {
	resp, err := http.Get(url)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Guards against a refusal reason or retry reason without an entry for
// operators.
func TestReasonsDocumented(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(pages, "refusals.md"))
	if err != nil {
		t.Fatal(err)
	}
	f, err := parser.ParseFile(token.NewFileSet(), "../../../refuse.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	found := 0
	ast.Inspect(f, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok || spec.Type == nil {
			return true
		}
		if id, ok := spec.Type.(*ast.Ident); !ok || !strings.HasSuffix(id.Name, "Reason") {
			return true
		}
		name, err := strconv.Unquote(spec.Values[0].(*ast.BasicLit).Value)
		if err != nil {
			t.Fatal(err)
		}
		found++
		if !strings.Contains(string(page), "`"+name+"`") {
			t.Errorf("reason %s is not in refusals.md", name)
		}
		return true
	})
	if found < 30 {
		t.Errorf("only %d reasons found", found)
	}
}
