package cmds

import (
	"fmt"
	"io"
	"strings"

	"github.com/alecthomas/kong"
)

// completionCmd prints a completion script that is made from the grammar, so
// that it cannot differ from the commands.
type completionCmd struct {
	Shell string `arg:"" enum:"bash,zsh" help:"Shell: bash or zsh."`
}

// Run prints the script. Use: source <(turmericcove completion bash)
func (c *completionCmd) Run(e *env, k *kong.Context) error {
	if c.Shell == "zsh" {
		fmt.Fprintln(e.out, "autoload -U +X bashcompinit && bashcompinit")
	}
	fmt.Fprint(e.out, `_turmericcove() {
  local path="" word
  for word in "${COMP_WORDS[@]:1:COMP_CWORD-1}"; do
    [[ $word == -* ]] || path="$path $word"
  done
  case "${path# }" in
`)
	writeCases(e.out, k.Model.Node, nil)
	_, err := fmt.Fprint(e.out, `  esac
}
complete -o default -F _turmericcove turmericcove
`)
	return err
}

// writeCases writes what can follow each command. The longest command comes
// first, because the shell takes the first pattern that fits.
func writeCases(w io.Writer, n *kong.Node, path []string) {
	var words []string
	for _, child := range n.Children {
		if child.Type != kong.CommandNode {
			continue
		}
		words = append(words, child.Name)
		writeCases(w, child, append(path[:len(path):len(path)], child.Name))
	}
	for _, group := range n.AllFlags(true) {
		for _, f := range group {
			words = append(words, "--"+f.Name)
		}
	}
	fmt.Fprintf(w, "    %q*) COMPREPLY=($(compgen -W %q -- \"${COMP_WORDS[COMP_CWORD]}\")) ;;\n", strings.Join(path, " "), strings.Join(words, " "))
}
