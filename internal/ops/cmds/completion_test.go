package cmds

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against a completion script that offers the words of another command.
func TestCompletion(t *testing.T) {
	bash, err := exec.LookPath("bash")
	if err != nil {
		t.Skip("no bash on this machine")
	}
	file := filepath.Join(t.TempDir(), "completion")
	out, err := os.Create(file)
	if err != nil {
		t.Fatal(err)
	}
	if code := Run(t.Context(), []string{"completion", "bash"}, out, os.Stderr); code != ExitOK {
		t.Fatalf("exit code %d", code)
	}
	if err := out.Close(); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ words, want string }{
		{"turmericcove ta", "table"},
		{"turmericcove table ap", "apply"},
		{"turmericcove key wi", "withdraw"},
		{"turmericcove events --fo", "--follow"},
	} {
		script := "source " + file + "; COMP_WORDS=(" + c.words + "); COMP_CWORD=$((${#COMP_WORDS[@]}-1)); _turmericcove; echo ${COMPREPLY[@]}"
		got, err := exec.CommandContext(t.Context(), bash, "-c", script).Output()
		if err != nil {
			t.Fatal(err)
		}
		if strings.TrimSpace(string(got)) != c.want {
			t.Errorf("%s: completed to %q, want %q", c.words, got, c.want)
		}
	}
}
