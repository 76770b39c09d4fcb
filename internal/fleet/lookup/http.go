package lookup

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"strconv"

	"github.com/pkg/errors"

	"turmericcove.org/cove"
)

const (
	// Path is the URL path of lookups.
	Path = "/.cove/lookup"

	defaultHosts  = 4
	maxHosts      = 16
	maxQueryBytes = 256
)

// Handler serves lookups over HTTP.
type Handler struct {
	Directory cove.Directory
	// Trusted holds the callers that may look up hosts for another address.
	Trusted  []netip.Prefix
	Counters cove.Counters
}

// answer is the body of a successful response.
type answer struct {
	Hosts    []netip.AddrPort `json:"hosts"`
	Site     cove.Site        `json:"site,omitempty"`
	Lifetime cove.Duration    `json:"lifetime"`
}

// query holds the parameters of a lookup.
type query struct {
	addr netip.Addr
	max  int
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		w.Header().Set("Allow", "GET, HEAD")
		h.refuse(w, cove.Refuse(http.StatusMethodNotAllowed, cove.ReasonMethod, "lookups use GET"))
		return
	}
	caller, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		h.refuse(w, cove.Refuse(http.StatusBadRequest, cove.ReasonBadRequest, "no caller address"))
		return
	}
	q, err := parseQuery(r.URL.RawQuery)
	if err != nil {
		h.refuse(w, cove.Refuse(http.StatusBadRequest, cove.ReasonBadRequest, err.Error()))
		return
	}
	addr := caller.Addr().Unmap()
	if q.addr.IsValid() {
		if !h.isTrusted(addr) {
			h.refuse(w, cove.Refuse(http.StatusForbidden, cove.ReasonBadRequest, "addr is not allowed"))
			return
		}
		addr = q.addr
	}
	h.respond(w, addr, q.max)
}

func (h *Handler) isTrusted(a netip.Addr) bool {
	return slices.ContainsFunc(h.Trusted, func(p netip.Prefix) bool { return p.Contains(a) })
}

func (h *Handler) respond(w http.ResponseWriter, addr netip.Addr, limit int) {
	var buf [maxHosts]netip.AddrPort
	found := h.Directory.Lookup(buf[:0], addr, limit)
	if len(found.Hosts) == 0 {
		h.refuse(w, cove.Refuse(http.StatusServiceUnavailable, cove.ReasonNoServer, "no entry host is known"))
		return
	}
	h.Counters.Add("lookup.answered", 1)
	// The answer depends on the caller's address, so shared caches must not keep it.
	age := fmt.Sprintf("private, max-age=%d", int(found.Lifetime.Seconds()))
	w.Header().Set("Cache-Control", age)
	writeJSON(w, "application/json", http.StatusOK, answer{
		Hosts:    found.Hosts,
		Site:     found.Site,
		Lifetime: cove.Duration(found.Lifetime),
	})
}

// problem is the body of a refusal.
type problem struct {
	Type    string       `json:"type"`
	Title   string       `json:"title"`
	Status  int          `json:"status"`
	Reason  cove.Reason  `json:"reason"`
	Outcome cove.Outcome `json:"outcome"`
}

func (h *Handler) refuse(w http.ResponseWriter, r *cove.Refusal) {
	h.Counters.Add("refusal."+string(r.Reason), 1)
	w.Header().Set("Cache-Control", "no-store")
	writeJSON(w, "application/problem+json", r.Status, problem{
		Type:    "about:blank",
		Title:   r.Detail,
		Status:  r.Status,
		Reason:  r.Reason,
		Outcome: r.Outcome,
	})
}

func writeJSON(w http.ResponseWriter, contentType string, status int, body any) {
	b, err := json.Marshal(body)
	if err != nil {
		http.Error(w, "encode response", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", contentType)
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	// A write error means that the caller has disconnected.
	_, _ = w.Write(b)
}

// parseQuery parses the query of a lookup. Unknown parameters are ignored.
func parseQuery(raw string) (query, error) {
	q := query{max: defaultHosts}
	if len(raw) > maxQueryBytes {
		return q, errors.Errorf("query longer than %d bytes", maxQueryBytes)
	}
	values, err := url.ParseQuery(raw)
	if err != nil {
		return q, errors.New("malformed query")
	}
	for _, name := range []string{"addr", "max"} {
		if len(values[name]) > 1 {
			return q, errors.Errorf("%s is given more than once", name)
		}
	}
	if values.Has("addr") {
		a, err := netip.ParseAddr(values.Get("addr"))
		if err != nil || a.Zone() != "" {
			return q, errors.New("addr is not an address")
		}
		q.addr = a.Unmap()
	}
	if values.Has("max") {
		n, err := strconv.Atoi(values.Get("max"))
		if err != nil || n < 1 || n > maxHosts {
			return q, errors.Errorf("max is not between 1 and %d", maxHosts)
		}
		q.max = n
	}
	return q, nil
}
