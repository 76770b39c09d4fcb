package config

import (
	"strings"
	"testing"

	"golang.org/x/tools/txtar"
)

// Guards against accepting settings with an unknown field, a wrong type or
// fields that contradict each other, and against errors with a wrong line
// number.
func TestInvalidSettings(t *testing.T) {
	ar, err := txtar.ParseFile("testdata/faults.txtar")
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i+1 < len(ar.Files); i += 2 {
		in, want := ar.Files[i], ar.Files[i+1]
		t.Run(in.Name, func(t *testing.T) {
			_, err := Parse(in.Name, in.Data)
			if err == nil {
				t.Fatal("no fault was found")
			}
			if got := strings.TrimSpace(err.Error()); got != strings.TrimSpace(string(want.Data)) {
				t.Errorf("got\n%s\nwant\n%s", got, want.Data)
			}
		})
	}
}

// Guards against a parser that panics on untrusted input.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"id": "a", "caller": {"listen": "127.0.0.1:1"}} // c`))
	f.Add([]byte(`{"distances": [{"a": 1}, null], "caller": []}`))
	f.Fuzz(func(t *testing.T, src []byte) {
		if s, err := Parse("f", src); err == nil && s.Caller.MaxConnections <= 0 {
			t.Fatal("accepted settings without a bound on connections")
		}
	})
}
