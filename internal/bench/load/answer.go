package load

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/core/verify"
)

// maxAnswer bounds what is read of one answer.
const maxAnswer = 4 << 20

// readAnswer completes a record from a response.
func readAnswer(resp *http.Response, rec *Record) {
	rec.Status = resp.StatusCode
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err == nil {
		err = verify.Response(resp)
	}
	rec.Broken = err != nil
	rec.Whole = err == nil
	if cerr := resp.Body.Close(); cerr != nil {
		rec.Broken = true
	}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "application/problem+json") {
		readProblem(body, rec)
		return
	}
	if rec.Status < http.StatusMultipleChoices && rec.Whole {
		checkBody(string(body), rec)
	}
}

// bodyLines is the number of lines in an answer of a backend server: request
// id, digest of the request's body, name of the server.
const bodyLines = 3

// checkBody compares the answer with the request. The first line starts with
// the request id, to which entry hosts add a part of their own. A repeat may
// get the answer to the first request.
func checkBody(body string, rec *Record) {
	lines := strings.Split(body, "\n")
	if len(lines) <= bodyLines {
		rec.Truncated = true
		return
	}
	id, _, _ := strings.Cut(lines[0], ".")
	rec.Crossed = strings.TrimSuffix(id, repeatSuffix) != strings.TrimSuffix(rec.ID, repeatSuffix)
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
