package cmds

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"turmericcove.org/cove/internal/core/audit"
)

// storyCmd tells what the logs of all hosts say of one request.
type storyCmd struct {
	ID    string   `arg:"" help:"Request id."`
	Files []string `arg:"" optional:"" help:"Log files; none reads standard input."`
	// Around also prints what the hosts of the request learned at that time.
	Around time.Duration `help:"Also print changes of state of the same hosts within this time before the request ended." default:"0s"`
}

// maxLogLine bounds a line of a log.
const maxLogLine = 1 << 20

// event is a change of state as the log has it.
type event struct {
	time time.Time
	host string
	text string
}

func (c *storyCmd) Run(e *env) error {
	var records []audit.Record
	var events []event
	add := func(r io.Reader) error { return readLog(r, c.ID, &records, &events) }
	if len(c.Files) == 0 {
		if err := add(os.Stdin); err != nil {
			return err
		}
	}
	for _, name := range c.Files {
		f, err := os.Open(name)
		if err != nil {
			return errors.Wrap(err, "read log")
		}
		err = add(f)
		if cerr := f.Close(); err == nil {
			err = cerr
		}
		if err != nil {
			return err
		}
	}
	if len(records) == 0 {
		return errors.Errorf("no line about request %s; served requests are sampled, and each reason has a rate (counters audit.leftOut)", c.ID)
	}
	slices.SortStableFunc(records, func(a, b audit.Record) int { return a.Time.Compare(b.Time) })
	fmt.Fprintln(e.out, "Times are of each host's own clock; hosts may differ.")
	for i := range records {
		printRecord(e.out, &records[i])
		c.printAround(e.out, &records[i], events)
	}
	return nil
}

// readLog collects the lines about a request, and all changes of state. Lines
// may have a prefix, as collectors of logs add one.
func readLog(r io.Reader, id string, records *[]audit.Record, events *[]event) error {
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLogLine)
	for sc.Scan() {
		start := bytes.IndexByte(sc.Bytes(), '{')
		if start < 0 {
			continue
		}
		line := sc.Bytes()[start:]
		var head struct {
			Time time.Time `json:"time"`
			Msg  string    `json:"msg"`
			ID   string    `json:"id"`
			Host string    `json:"host"`
		}
		if err := json.Unmarshal(line, &head); err != nil {
			continue
		}
		if head.Msg != audit.Msg {
			*events = append(*events, event{head.Time, head.Host, string(line)})
			continue
		}
		if head.ID != id {
			continue
		}
		var rec audit.Record
		if err := json.Unmarshal(line, &rec); err != nil {
			return errors.Wrap(err, "read log line")
		}
		*records = append(*records, rec)
	}
	return errors.Wrap(sc.Err(), "read log")
}

func printRecord(w io.Writer, r *audit.Record) {
	fmt.Fprintf(w, "%s %s: request %s, route %s, team %s, tables %d\n",
		r.Time.Format(time.RFC3339Nano), r.Host, r.ID, r.Route, r.Team, r.Tables)
	for _, s := range r.Steps {
		fmt.Fprintf(w, "  +%s %s", time.Duration(s.After).Round(100*time.Microsecond), s.Decision)
		if s.Server != "" {
			fmt.Fprintf(w, " at %s (%s): load %.1f, reported %s ago; answer expected in %s of %s left",
				s.Server, s.Why, s.Load, round(s.LoadAge), round(s.Finish), round(s.Left))
		} else {
			fmt.Fprintf(w, " (%s)", s.Why)
		}
		if s.Result != "" {
			fmt.Fprintf(w, ": %s", s.Result)
		}
		fmt.Fprintln(w)
	}
	fmt.Fprintf(w, "  +%s answered %d", round(r.Took), r.Status)
	if r.Reason != "" {
		fmt.Fprintf(w, " (%s): %s", r.Reason, r.Detail)
	}
	fmt.Fprintln(w)
}

func round[T ~int64](d T) time.Duration {
	return time.Duration(d).Round(time.Millisecond)
}

func (c *storyCmd) printAround(w io.Writer, r *audit.Record, events []event) {
	if c.Around <= 0 {
		return
	}
	servers := make(map[string]bool)
	for _, s := range r.Steps {
		servers[string(s.Server)] = true
	}
	for _, ev := range events {
		if ev.time.After(r.Time) || r.Time.Sub(ev.time) > c.Around || ev.host != "" && ev.host != string(r.Host) {
			continue
		}
		if strings.Contains(ev.text, `"msg":"counters"`) || !mentions(ev.text, servers) {
			continue
		}
		fmt.Fprintln(w, "  before:", ev.text)
	}
}

// mentions reports whether a line is about one of the servers or about none.
func mentions(line string, servers map[string]bool) bool {
	_, rest, found := strings.Cut(line, `"server":"`)
	if !found {
		return true
	}
	name, _, _ := strings.Cut(rest, `"`)
	return servers[name]
}
