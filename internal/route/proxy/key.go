package proxy

import (
	"net/http"
	"net/url"
	"strings"

	"turmericcove.org/cove"
)

const (
	headerAuthorization = "Authorization"
	// minSearchedKey is the length from which a key is searched for in other
	// parts of the request; a shorter one could match by chance.
	minSearchedKey = 8
)

// Refusals of requests without a usable API key.
var (
	errNoKey          = cove.Refuse(http.StatusUnauthorized, cove.ReasonNoKey, "no key")
	errTwoKeys        = cove.Refuse(http.StatusBadRequest, cove.ReasonBadRequest, "more than one key")
	errInvalidKey     = cove.Refuse(http.StatusUnauthorized, cove.ReasonBadKey, "key is not valid")
	errTeamNotOnRoute = cove.Refuse(http.StatusForbidden, cove.ReasonTeamRoute, "team may not use this route")
	errStaleKeys      = cove.Refuse(http.StatusServiceUnavailable, cove.ReasonStaleKeys, "key data is out of date on this host")
	errKeyInURI       = cove.Refuse(http.StatusBadRequest, cove.ReasonBadRequest, "key in the path")
)

// keyPlaces holds the names of all headers and query parameters in which any
// route accepts a key. They are removed from requests on every route.
type keyPlaces struct {
	headers map[string]bool
	queries map[string]bool
}

func collectKeyPlaces(routes []cove.Route) keyPlaces {
	p := keyPlaces{headers: map[string]bool{headerAuthorization: true}, queries: map[string]bool{}}
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

// findKey returns the API key of a request, or "" if it has none.
func findKey(place cove.KeyPlace, scheme string, r *http.Request) (string, *cove.Refusal) {
	name := headerAuthorization
	if place.Header != "" {
		name = http.CanonicalHeaderKey(place.Header)
	}
	values := r.Header[name]
	if len(values) > 1 {
		return "", errTwoKeys
	}
	if len(values) == 1 {
		return trimScheme(name, scheme, values[0]), nil
	}
	if place.Query == "" || r.URL.RawQuery == "" {
		return "", nil
	}
	return queryKey(place.Query, r.URL.RawQuery)
}

// trimScheme removes the authentication scheme if name is Authorization.
func trimScheme(name, scheme, value string) string {
	if name != headerAuthorization {
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

// unescape decodes s, or returns it unchanged if it is malformed.
func unescape(s string) string {
	out, err := url.QueryUnescape(s)
	if err != nil {
		return s
	}
	return out
}

// keyFilter removes API keys from what is sent to a backend server.
type keyFilter struct {
	places keyPlaces
	// key is the caller's key, or "" if the request has none.
	key string
}

// containsKey reports whether v contains the caller's key, literally or
// escaped.
func (k keyFilter) containsKey(v string) bool {
	if len(k.key) < minSearchedKey || len(v) < len(k.key) {
		return false
	}
	if strings.Contains(v, k.key) {
		return true
	}
	return strings.IndexByte(v, '%') >= 0 && strings.Contains(unescape(v), k.key)
}

// fields removes headers that carry keys by name or contain the caller's key.
func (k keyFilter) fields(fields []field) []field {
	kept := fields[:0]
	for _, f := range fields {
		if k.places.headers[f.name] {
			continue
		}
		if f.name == "Cookie" {
			if f.values = k.cookies(f.values); len(f.values) > 0 {
				kept = append(kept, f)
			}
			continue
		}
		if !k.anyContainsKey(f.values) {
			kept = append(kept, f)
		}
	}
	return kept
}

func (k keyFilter) anyContainsKey(values []string) bool {
	for _, v := range values {
		if k.containsKey(v) {
			return true
		}
	}
	return false
}

// cookies removes each cookie that has the name of a key field or contains the
// caller's key.
func (k keyFilter) cookies(values []string) []string {
	var out []string
	for _, v := range values {
		var kept []string
		for part := range strings.SplitSeq(v, ";") {
			part = strings.TrimSpace(part)
			name, _, _ := strings.Cut(part, "=")
			if part == "" || k.isKeyName(name) || k.containsKey(part) {
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

func (k keyFilter) isKeyName(name string) bool {
	return k.places.queries[name] || k.places.headers[http.CanonicalHeaderKey(name)]
}

// uri returns the request target without keys in the query. A key in the path
// is refused.
func (k keyFilter) uri(u *url.URL) (string, *cove.Refusal) {
	path := u.EscapedPath()
	if k.containsKey(path) || k.containsKey(u.Path) {
		return "", errKeyInURI
	}
	query := k.query(u.RawQuery)
	if query == "" {
		return path, nil
	}
	return path + "?" + query, nil
}

func (k keyFilter) query(raw string) string {
	if raw == "" || !k.mayContainKey(raw) {
		return raw
	}
	var kept []string
	for param := range strings.SplitSeq(raw, "&") {
		name, value := decodeParam(param)
		if k.isKeyName(name) || k.containsKey(value) || k.containsKey(param) {
			continue
		}
		kept = append(kept, param)
	}
	return strings.Join(kept, "&")
}

// mayContainKey reports whether a query must be parsed to remove keys. Any
// escape counts, because it could hide the name of a parameter.
func (k keyFilter) mayContainKey(raw string) bool {
	if strings.IndexByte(raw, '%') >= 0 || k.containsKey(raw) {
		return true
	}
	for param := range strings.SplitSeq(raw, "&") {
		name, _, _ := strings.Cut(param, "=")
		if k.isKeyName(name) {
			return true
		}
	}
	return false
}
