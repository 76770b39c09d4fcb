package table

import (
	"fmt"
	"slices"
	"strings"

	"golang.org/x/net/http/httpguts"

	"turmericcove.org/cove"
)

// Values of Route.StaleKeys.
const (
	StaleKeysRefuse = "refuse"
	StaleKeysServe  = "serve"
)

// reservedHeaders cannot carry a key, because the protocol uses them.
var reservedHeaders = []string{
	"host", "content-length", "transfer-encoding", "connection", "te", "trailer", "upgrade",
	"keep-alive", "proxy-connection", "idempotency-key", "x-request-id",
}

func (v *validator) checkRoutes(rows []cove.Route) {
	names := make(map[cove.RouteName]bool)
	for i := range rows {
		r := &rows[i]
		v.setRow(KindRoute, string(r.Name))
		v.checkName("name", string(r.Name))
		if names[r.Name] {
			v.add("name", "is used twice")
		}
		names[r.Name] = true
		v.checkMatch(r)
		v.checkRoutePools(r)
		v.checkRouteTeams(r)
		v.checkRouteLimits(r)
		v.checkKeyHeader(r)
	}
	v.checkTies(rows)
}

func (v *validator) checkMatch(r *cove.Route) {
	if !strings.HasPrefix(r.PathPrefix, "/") {
		v.add("pathPrefix", "must start with a slash, is %q", r.PathPrefix)
	}
	if strings.ContainsAny(r.PathPrefix, "?#") {
		v.add("pathPrefix", "must not contain '?' or '#'")
	}
	if r.Host != "" && !httpguts.ValidHostHeader(r.Host) {
		v.add("host", "is not a host name: %q", r.Host)
	}
	for i, m := range r.Methods {
		if !httpguts.ValidHeaderFieldName(m) || m != strings.ToUpper(m) {
			v.add(fmt.Sprintf("methods[%d]", i), "is not a method in upper case: %q", m)
		}
	}
	for _, m := range duplicates(r.Methods) {
		v.add("methods", "%s is listed twice", m)
	}
}

func (v *validator) checkRoutePools(r *cove.Route) {
	if len(r.Pools) == 0 {
		v.add("pools", "is empty")
		return
	}
	sum := 0
	seen := make(map[cove.PoolName]bool)
	for i, p := range r.Pools {
		field := fmt.Sprintf("pools[%d]", i)
		if !v.pools[p.Pool] {
			v.add(field+".pool", "unknown pool %q", p.Pool)
		}
		if seen[p.Pool] {
			v.add(field+".pool", "pool %q is listed twice", p.Pool)
		}
		seen[p.Pool] = true
		v.checkNonNegative(field+".weight", p.Weight)
		sum += max(0, p.Weight)
	}
	if sum == 0 {
		v.add("pools", "have no weight above 0")
	}
}

func (v *validator) checkRouteTeams(r *cove.Route) {
	if r.Open && len(r.Teams) > 0 {
		v.add("teams", "are listed on an open route")
	}
	if !r.Open && len(r.Teams) == 0 {
		v.add("teams", "is empty on a route that is not open")
	}
	for i, m := range r.Teams {
		if !v.teams[m] {
			v.add(fmt.Sprintf("teams[%d]", i), "unknown team %q", m)
		}
	}
	for _, m := range duplicates(r.Teams) {
		v.add("teams", "%s is listed twice", m)
	}
}

func (v *validator) checkRouteLimits(r *cove.Route) {
	if r.Deadline < 0 {
		v.add("deadline", "is negative")
	}
	if r.Retry.Attempts < 0 || r.Retry.Attempts > maxAttempts {
		v.add("retry.attempts", "must be between 0 and %d, is %d", maxAttempts, r.Retry.Attempts)
	}
	if r.Retry.Hedge && !r.Idempotent {
		v.add("retry.hedge", "is set on a route that is not idempotent")
	}
	if r.StaleKeys != "" && r.StaleKeys != StaleKeysRefuse && r.StaleKeys != StaleKeysServe {
		v.add("staleKeys", "must be %q or %q, is %q", StaleKeysRefuse, StaleKeysServe, r.StaleKeys)
	}
	v.checkNonNegative("cost", r.Cost)
}

func (v *validator) checkKeyHeader(r *cove.Route) {
	h := r.Key.Header
	if h == "" {
		return
	}
	if !httpguts.ValidHeaderFieldName(h) {
		v.add("key.header", "is not a header name: %q", h)
	}
	if slices.Contains(reservedHeaders, strings.ToLower(h)) {
		v.add("key.header", "%s cannot carry a key", h)
	}
}

// checkTies finds routes that match the same request with equal precedence:
// the same host and path prefix with a common method.
func (v *validator) checkTies(rows []cove.Route) {
	type matchKey struct{ host, path string }
	byMatch := make(map[matchKey][]*cove.Route)
	for i := range rows {
		r := &rows[i]
		at := matchKey{strings.ToLower(r.Host), r.PathPrefix}
		for _, other := range byMatch[at] {
			if method, common := commonMethod(r, other); common {
				v.setRow(KindRoute, string(r.Name))
				v.add("pathPrefix", "matches the same requests (%s) as route %q with equal precedence", method, other.Name)
			}
		}
		byMatch[at] = append(byMatch[at], r)
	}
}

func commonMethod(a, b *cove.Route) (string, bool) {
	if len(a.Methods) == 0 && len(b.Methods) == 0 {
		return "all methods", true
	}
	if len(a.Methods) == 0 {
		return b.Methods[0], true
	}
	if len(b.Methods) == 0 {
		return a.Methods[0], true
	}
	for _, m := range a.Methods {
		if slices.Contains(b.Methods, m) {
			return m, true
		}
	}
	return "", false
}
