package load

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"

	"turmericcove.org/cove"
)

// maxAnswer bounds what is read of one answer.
const maxAnswer = 4 << 20

// readAnswer completes a record from a response.
func readAnswer(resp *http.Response, rec *Record) {
	rec.Status = resp.StatusCode
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	rec.Broken = err != nil
	rec.Whole = err == nil
	if cerr := resp.Body.Close(); cerr != nil {
		rec.Broken = true
	}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "application/problem+json") {
		readProblem(body, rec)
		return
	}
	if rec.Status < http.StatusMultipleChoices {
		rec.Crossed = isCrossed(resp, rec)
	}
}

func readProblem(body []byte, rec *Record) {
	var p struct {
		Reason  cove.Reason  `json:"reason"`
		Outcome cove.Outcome `json:"outcome"`
	}
	if err := json.Unmarshal(body, &p); err != nil {
		rec.Broken = true
		return
	}
	rec.Reason = p.Reason
	rec.Outcome = p.Outcome
}

// isCrossed compares the id that the backend server processed with the one that
// was sent. A replayed answer carries the id of the first request.
func isCrossed(resp *http.Response, rec *Record) bool {
	got := resp.Header.Get("X-Run-Id")
	if got == "" {
		return false
	}
	return strings.TrimSuffix(got, "-again") != strings.TrimSuffix(rec.ID, "-again")
}

type recorder struct {
	mu      sync.Mutex
	records []Record
}

func (r *recorder) add(rec Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records = append(r.records, rec)
}

func (run *run) collect() []Record {
	run.records.mu.Lock()
	defer run.records.mu.Unlock()
	return run.records.records
}
