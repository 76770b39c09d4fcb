package proxy

import (
	"net/http"
	"net/url"
	"strings"

	"turmericcove.org/cove"
)

const (
	authorization = "Authorization"
	// minKeyMatch is the least length of a key that is searched for in other
	// places; a shorter one would match by chance.
	minKeyMatch = 8
)

// Shared refusals of requests without a usable key.
var (
	errNoKey    = cove.Refuse(http.StatusUnauthorized, cove.ReasonNoKey, "no key")
	errTwoKeys  = cove.Refuse(http.StatusBadRequest, cove.ReasonBadRequest, "more than one key")
	errRevoked  = cove.Refuse(http.StatusUnauthorized, cove.ReasonBadKey, "key is not valid")
	errTeam     = cove.Refuse(http.StatusForbidden, cove.ReasonTeamRoute, "team may not use this route")
	errStale    = cove.Refuse(http.StatusServiceUnavailable, cove.ReasonStaleKeys, "key data is out of date on this host")
	errKeyInURI = cove.Refuse(http.StatusBadRequest, cove.ReasonBadRequest, "key in the path")
)

// keyPlaces names every place in which some route accepts a key. All of them
// are emptied on all routes.
type keyPlaces struct {
	headers map[string]bool
	queries map[string]bool
}

func compilePlaces(routes []cove.Route) keyPlaces {
	p := keyPlaces{headers: map[string]bool{authorization: true}, queries: map[string]bool{}}
	for i := range routes {
		if h := routes[i].Key.Header; h != "" {
			p.headers[http.CanonicalHeaderKey(h)] = true
		}
		if q := routes[i].Key.Query; q != "" {
			p.queries[q] = true
		}
	}
	return p
}

// findKey returns the key of a request, or "" when it has none.
func findKey(place cove.KeyPlace, scheme string, r *http.Request) (string, *cove.Refusal) {
	name := authorization
	if place.Header != "" {
		name = http.CanonicalHeaderKey(place.Header)
	}
	values := r.Header[name]
	if len(values) > 1 {
		return "", errTwoKeys
	}
	if len(values) == 1 {
		return bareKey(name, scheme, values[0]), nil
	}
	if place.Query == "" || r.URL.RawQuery == "" {
		return "", nil
	}
	return queryKey(place.Query, r.URL.RawQuery)
}

// bareKey removes the scheme of an Authorization header.
func bareKey(name, scheme, value string) string {
	if name != authorization {
		return strings.TrimSpace(value)
	}
	given, key, _ := strings.Cut(value, " ")
	if !strings.EqualFold(given, scheme) {
		return ""
	}
	return strings.TrimSpace(key)
}

func queryKey(name, rawQuery string) (string, *cove.Refusal) {
	key, found := "", false
	for rawQuery != "" {
		var param string
		param, rawQuery, _ = strings.Cut(rawQuery, "&")
		k, v := decodeParam(param)
		if k != name {
			continue
		}
		if found {
			return "", errTwoKeys
		}
		key, found = v, true
	}
	return key, nil
}

func decodeParam(param string) (name, value string) {
	k, v, _ := strings.Cut(param, "=")
	return unescape(k), unescape(v)
}

// unescape returns s itself when it is not well formed.
func unescape(s string) string {
	out, err := url.QueryUnescape(s)
	if err != nil {
		return s
	}
	return out
}

// keyFilter removes keys from what is passed on to a backend server.
type keyFilter struct {
	places keyPlaces
	// key is the caller's key, when the request carried one.
	key string
}

// holds reports whether s contains the caller's key, plainly or escaped.
func (s keyFilter) holds(v string) bool {
	if len(s.key) < minKeyMatch || len(v) < len(s.key) {
		return false
	}
	if strings.Contains(v, s.key) {
		return true
	}
	return strings.IndexByte(v, '%') >= 0 && strings.Contains(unescape(v), s.key)
}

// fields removes headers that are places of keys or hold the key.
func (s keyFilter) fields(fields []field) []field {
	kept := fields[:0]
	for _, f := range fields {
		if s.places.headers[f.name] {
			continue
		}
		if f.name == "Cookie" {
			if f.values = s.cookies(f.values); len(f.values) > 0 {
				kept = append(kept, f)
			}
			continue
		}
		if !s.anyHolds(f.values) {
			kept = append(kept, f)
		}
	}
	return kept
}

func (s keyFilter) anyHolds(values []string) bool {
	for _, v := range values {
		if s.holds(v) {
			return true
		}
	}
	return false
}

// cookies drops each cookie whose name is a place of keys or whose value holds
// the key.
func (s keyFilter) cookies(values []string) []string {
	var out []string
	for _, v := range values {
		var kept []string
		for part := range strings.SplitSeq(v, ";") {
			part = strings.TrimSpace(part)
			name, _, _ := strings.Cut(part, "=")
			if part == "" || s.placeName(name) || s.holds(part) {
				continue
			}
			kept = append(kept, part)
		}
		if len(kept) > 0 {
			out = append(out, strings.Join(kept, "; "))
		}
	}
	return out
}

func (s keyFilter) placeName(name string) bool {
	return s.places.queries[name] || s.places.headers[http.CanonicalHeaderKey(name)]
}

// uri returns the request target without key parameters.
func (s keyFilter) uri(u *url.URL) (string, *cove.Refusal) {
	path := u.EscapedPath()
	if s.holds(path) || s.holds(u.Path) {
		return "", errKeyInURI
	}
	query := s.query(u.RawQuery)
	if query == "" {
		return path, nil
	}
	return path + "?" + query, nil
}

func (s keyFilter) query(raw string) string {
	if raw == "" || !s.suspect(raw) {
		return raw
	}
	var kept []string
	for param := range strings.SplitSeq(raw, "&") {
		name, value := decodeParam(param)
		if s.placeName(name) || s.holds(value) || s.holds(param) {
			continue
		}
		kept = append(kept, param)
	}
	return strings.Join(kept, "&")
}

// suspect reports whether a query needs to be taken apart. Escapes could hide a
// name, so any of them counts.
func (s keyFilter) suspect(raw string) bool {
	if strings.IndexByte(raw, '%') >= 0 || s.holds(raw) {
		return true
	}
	for param := range strings.SplitSeq(raw, "&") {
		name, _, _ := strings.Cut(param, "=")
		if s.placeName(name) {
			return true
		}
	}
	return false
}
