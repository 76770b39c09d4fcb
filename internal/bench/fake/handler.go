package fake

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"github.com/cespare/xxhash/v2"

	"turmericcove.org/cove"
)

// MaxBodyBytes is the maximum size of a request body. A snapshot of the tables
// with 480,000 client blocks fits into it.
const MaxBodyBytes = 64 << 20

// defaultListLimit is the number of rows returned by a list request without a
// limit.
const defaultListLimit = 1000

// CommitRequest is the request body of a commit.
type CommitRequest struct {
	Token  string       `json:"token"`
	Writes []cove.Write `json:"writes"`
}

// CommitResponse is the response to a commit without conflicts and to the lookup
// of a token.
type CommitResponse struct {
	Applied bool `json:"applied"`
}

// RowsResponse lists rows.
type RowsResponse struct {
	Rows []cove.Row `json:"rows"`
}

// NamesResponse lists objects.
type NamesResponse struct {
	Names []string `json:"names"`
}

// HostsResponse lists hosts.
type HostsResponse struct {
	// Digest identifies the content of the list, for conditional requests.
	Digest string            `json:"digest"`
	Hosts  []cove.ListedHost `json:"hosts"`
}

// Handler returns an HTTP handler that serves the protocol described at the
// package.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/row", p.serveRow)
	mux.HandleFunc("GET /v1/rows", p.serveRows)
	mux.HandleFunc("POST /v1/commit", p.serveCommit)
	mux.HandleFunc("GET /v1/commit", p.serveToken)
	mux.HandleFunc("GET /v1/object", p.serveObject)
	mux.HandleFunc("PUT /v1/object", p.servePutObject)
	mux.HandleFunc("DELETE /v1/object", p.serveDeleteObject)
	mux.HandleFunc("GET /v1/objects", p.serveObjects)
	mux.HandleFunc("GET /v1/hosts", p.serveHosts)
	mux.HandleFunc("PUT /v1/hosts", p.servePutHost)
	mux.HandleFunc("DELETE /v1/hosts", p.serveDeleteHost)
	mux.HandleFunc("GET /v1/faults", p.serveFaults)
	mux.HandleFunc("PUT /v1/faults", p.servePutFaults)
	mux.HandleFunc("GET /v1/counts", p.serveCounts)
	return mux
}

// digestOf returns a hash of the list.
func digestOf(hosts []cove.ListedHost) string {
	h := xxhash.New()
	for _, x := range hosts {
		// Writing to a hash returns no error.
		_, _ = fmt.Fprintf(h, "%q %q %v %v %t\n", x.ID, x.Domain, x.Peer, x.Caller, x.Leaving)
	}
	return strconv.FormatUint(h.Sum64(), 16)
}

func (p *Platform) serveRow(w http.ResponseWriter, r *http.Request) {
	row, err := p.Get(r.Context(), r.FormValue("key"))
	if err == nil && r.FormValue("ifNot") == strconv.FormatUint(row.Revision, 10) {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	writeResult(w, row, err)
}

func (p *Platform) serveRows(w http.ResponseWriter, r *http.Request) {
	limit := defaultListLimit
	if s := r.FormValue("limit"); s != "" {
		n, err := strconv.Atoi(s)
		if err != nil || n < 0 {
			http.Error(w, "bad limit", http.StatusBadRequest)
			return
		}
		limit = n
	}
	rows, err := p.List(r.Context(), r.FormValue("prefix"), r.FormValue("after"), limit)
	writeResult(w, RowsResponse{Rows: rows}, err)
}

func (p *Platform) serveCommit(w http.ResponseWriter, r *http.Request) {
	var req CommitRequest
	if !decode(w, r, &req) {
		return
	}
	if req.Token == "" {
		http.Error(w, "no token", http.StatusBadRequest)
		return
	}
	applied, err := p.commit(r.Context(), req.Token, req.Writes)
	writeResult(w, CommitResponse{Applied: applied}, err)
}

func (p *Platform) serveToken(w http.ResponseWriter, r *http.Request) {
	applied, used, err := p.lookUpToken(r.Context(), r.FormValue("token"))
	if err == nil && !used {
		err = cove.ErrNotFound
	}
	writeResult(w, CommitResponse{Applied: applied}, err)
}

func (p *Platform) serveObject(w http.ResponseWriter, r *http.Request) {
	data, err := p.GetObject(r.Context(), r.FormValue("name"))
	if err != nil {
		writeResult(w, nil, err)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(data) // after an error the client sees a truncated body
}

func (p *Platform) servePutObject(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeResult(w, nil, p.PutObject(r.Context(), r.URL.Query().Get("name"), data))
}

func (p *Platform) serveDeleteObject(w http.ResponseWriter, r *http.Request) {
	writeResult(w, nil, p.DeleteObject(r.Context(), r.FormValue("name")))
}

func (p *Platform) serveObjects(w http.ResponseWriter, r *http.Request) {
	names, err := p.ListObjects(r.Context(), r.FormValue("prefix"))
	writeResult(w, NamesResponse{Names: names}, err)
}

func (p *Platform) serveHosts(w http.ResponseWriter, r *http.Request) {
	hosts, err := p.Hosts(r.Context())
	digest := digestOf(hosts)
	if err == nil && r.FormValue("ifNot") == digest {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	writeResult(w, HostsResponse{Digest: digest, Hosts: hosts}, err)
}

func (p *Platform) servePutHost(w http.ResponseWriter, r *http.Request) {
	var h cove.ListedHost
	if !decode(w, r, &h) {
		return
	}
	if p.Faults().Outage {
		writeResult(w, nil, unavailable("outage"))
		return
	}
	p.PutHost(h)
	writeResult(w, nil, nil)
}

func (p *Platform) serveDeleteHost(w http.ResponseWriter, r *http.Request) {
	if p.Faults().Outage {
		writeResult(w, nil, unavailable("outage"))
		return
	}
	p.DeleteHost(cove.HostID(r.FormValue("id")))
	writeResult(w, nil, nil)
}

func (p *Platform) serveFaults(w http.ResponseWriter, _ *http.Request) {
	writeResult(w, p.Faults(), nil)
}

func (p *Platform) servePutFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !decode(w, r, &f) {
		return
	}
	p.SetFaults(f)
	writeResult(w, nil, nil)
}

func (p *Platform) serveCounts(w http.ResponseWriter, _ *http.Request) {
	writeResult(w, p.Counts(), nil)
}

func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxBodyBytes)).Decode(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeResult(w http.ResponseWriter, v any, err error) {
	var conflict *cove.ConflictError
	switch {
	case err == nil && v == nil:
		w.WriteHeader(http.StatusNoContent)
	case err == nil:
		writeJSON(w, http.StatusOK, v)
	case errors.As(err, &conflict):
		writeJSON(w, http.StatusConflict, RowsResponse{Rows: conflict.Rows})
	case errors.Is(err, cove.ErrNotFound):
		http.Error(w, "not found", http.StatusNotFound)
	case err == errAnswerLost:
		// Closes the connection without a response.
		panic(http.ErrAbortHandler)
	case err == errRateExceeded:
		http.Error(w, err.Error(), http.StatusTooManyRequests)
	case err == errExists:
		http.Error(w, err.Error(), http.StatusConflict)
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // after an error the client sees a truncated body
}
