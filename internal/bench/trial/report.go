package trial

import (
	"fmt"
	"io"
	"reflect"
	"strconv"
	"strings"
	"text/tabwriter"
)

// Report is the result of a run. All fields are always written.
type Report struct {
	Case       string `json:"case"`
	Deployment string `json:"deployment"`
	Seed       uint64 `json:"seed"`
	Policy     string `json:"policy"`
	Requests   int    `json:"requests"`
	OK         int    `json:"ok"`
	// Latencies in milliseconds of requests that were answered.
	P50Ms float64 `json:"p50Ms"`
	P99Ms float64 `json:"p99Ms"`
	// The same requests straight to the backend servers in the same run.
	BaseP50Ms float64 `json:"baseP50Ms"`
	BaseP99Ms float64 `json:"baseP99Ms"`
	// OverRate is the largest excess of a team over rate and burst, in requests.
	OverRate         float64 `json:"overRate"`
	DoubleRuns       int     `json:"doubleRuns"`
	FalseNotRun      int     `json:"falseNotRun"`
	CrossedAnswers   int     `json:"crossedAnswers"`
	TruncatedAnswers int     `json:"truncatedAnswers"`
	KeysSeen         int     `json:"keysSeen"`
	// WorkAfterDrain counts runs that started later than 2 s after the first
	// sign that a backend server leaves.
	WorkAfterDrain int `json:"workAfterDrain"`
	// CutRequests were broken by a planned stop.
	CutRequests   int `json:"cutRequests"`
	ConfigReverts int `json:"configReverts"`
	// RegionOverload counts runs above the slots of a backend server.
	RegionOverload int `json:"regionOverload"`
	// CapExceeded is the largest excess of a second over a shift cap.
	CapExceeded         float64 `json:"capExceeded"`
	WronglyRefusedShare float64 `json:"wronglyRefusedShare"`
	// WorstTeamShare is the lowest goodput of a team over its fair share.
	WorstTeamShare            float64          `json:"worstTeamShare"`
	DrainMs                   float64          `json:"drainMs"`
	WithdrawMs                float64          `json:"withdrawMs"`
	ConfigMs                  float64          `json:"configMs"`
	ExtraWorkShare            float64          `json:"extraWorkShare"`
	HeadroomShare             float64          `json:"headroomShare"`
	StoreReads                int64            `json:"storeReads"`
	StoreWrites               int64            `json:"storeWrites"`
	ControlBytesPerHostSecond float64          `json:"controlBytesPerHostSecond"`
	Refusals                  map[string]int64 `json:"refusals"`
	Retries                   map[string]int64 `json:"retries"`

	// details name the requests that broke a guarantee.
	details []string
}

// maxDetails bounds what is kept of requests that broke a guarantee.
const maxDetails = 20

func (r *Report) detail(format string, args ...any) {
	if len(r.details) < maxDetails {
		r.details = append(r.details, fmt.Sprintf(format, args...))
	}
}

// Details names requests that broke a guarantee, the first ones only.
func (r *Report) Details() []string { return r.details }

// Broken lists the guarantees that the run broke.
func (r *Report) Broken() []string {
	var out []string
	for _, c := range []struct {
		name string
		v    float64
	}{
		{"overRate", r.OverRate},
		{"doubleRuns", float64(r.DoubleRuns)},
		{"falseNotRun", float64(r.FalseNotRun)},
		{"crossedAnswers", float64(r.CrossedAnswers)},
		{"truncatedAnswers", float64(r.TruncatedAnswers)},
		{"keysSeen", float64(r.KeysSeen)},
		{"workAfterDrain", float64(r.WorkAfterDrain)},
		{"cutRequests", float64(r.CutRequests)},
		{"configReverts", float64(r.ConfigReverts)},
		{"regionOverload", float64(r.RegionOverload)},
		{"capExceeded", r.CapExceeded},
	} {
		if c.v > 0 {
			out = append(out, fmt.Sprintf("%s = %v", c.name, c.v))
		}
	}
	return out
}

// WriteText writes one field a line.
func (r *Report) WriteText(w io.Writer) error {
	return writeColumns(w, r)
}

// Compare writes reports side by side.
func Compare(w io.Writer, reports ...*Report) error {
	return writeColumns(w, reports...)
}

func writeColumns(w io.Writer, reports ...*Report) error {
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	t := reflect.TypeFor[Report]()
	for i := range t.NumField() {
		name := t.Field(i).Tag.Get("json")
		if name == "" {
			continue
		}
		cells := make([]string, len(reports))
		for j, r := range reports {
			cells[j] = cell(reflect.ValueOf(r).Elem().Field(i))
		}
		fmt.Fprintf(tw, "%s\t%s\n", name, strings.Join(cells, "\t"))
	}
	return tw.Flush()
}

func cell(v reflect.Value) string {
	switch v.Kind() {
	case reflect.Float64:
		return strconv.FormatFloat(v.Float(), 'f', 4, 64)
	case reflect.Map:
		return strings.TrimPrefix(fmt.Sprint(v.Interface()), "map")
	default:
		return fmt.Sprint(v.Interface())
	}
}
