package proxy

import (
	"math/rand/v2"
	"net/http"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// Names of headers in canonical form.
const (
	headerRequestID = "X-Request-Id"
	headerDeadline  = "X-Deadline-Ms"
	headerNotRun    = "X-Not-Run"
	headerDraining  = "X-Draining"
	headerReplayed  = "Idempotent-Replayed"
	headerKey       = "Idempotency-Key"
	// peerPrefix starts the headers that only entry hosts may set.
	peerPrefix = "X-Cove-"
)

// maxRequestID bounds the request id of a caller.
const maxRequestID = 96

// field is one header. It has several values, or one in value.
type field struct {
	name   string
	value  string
	values []string
}

// list returns all values.
func (f *field) list() []string {
	if f.values == nil {
		return []string{f.value}
	}
	return f.values
}

// hopByHop reports whether a header belongs to one connection only.
func hopByHop(name string) bool {
	switch name {
	case "Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Http2-Settings":
		return true
	}
	return false
}

// ownedByProxy reports whether the proxy sets this request header itself, so
// that a caller's value is never passed on.
func ownedByProxy(name string) bool {
	switch name {
	case "Host", "Content-Length", "Expect", headerRequestID, headerDeadline, "Traceparent", "Tracestate",
		"Forwarded", "X-Real-Ip", "X-Client-Ip", "True-Client-Ip", "Client-Ip":
		return true
	}
	return strings.HasPrefix(name, "X-Forwarded-") || strings.HasPrefix(name, peerPrefix)
}

// listed reports whether a Connection header names the header.
func listed(connection []string, name string) bool {
	for _, v := range connection {
		if httpguts.HeaderValuesContainsToken([]string{v}, name) {
			return true
		}
	}
	return false
}

// forwardable appends the caller's headers that may be passed on to dst.
func (p *Proxy) forwardable(dst []field, h http.Header) []field {
	connection := h["Connection"]
	for name, values := range h {
		if hopByHop(name) || ownedByProxy(name) || p.cfg.Dialect.owns(name) {
			continue
		}
		if len(connection) > 0 && listed(connection, name) {
			continue
		}
		dst = append(dst, field{name: name, values: values})
	}
	return dst
}

// copyAnswer copies the headers of an answer that callers may see.
func copyAnswer(dst, src http.Header, notRun string) {
	connection := src["Connection"]
	for name, values := range src {
		if hopByHop(name) || strings.HasPrefix(name, peerPrefix) {
			continue
		}
		if name == headerRequestID || name == notRun || name == headerDraining {
			continue
		}
		if len(connection) > 0 && listed(connection, name) {
			continue
		}
		dst[name] = values
	}
}

// forwardedFields returns what the backend server learns of the caller. It
// holds nothing that the caller claimed.
func forwardedFields(dst []field, c *caller, host string) []field {
	return append(dst,
		field{name: "X-Forwarded-For", value: c.text},
		field{name: "X-Forwarded-Proto", value: c.proto},
		field{name: "X-Forwarded-Host", value: host},
		field{name: "Forwarded", value: "for=" + c.node + ";proto=" + c.proto + ";host=\"" + host + "\""})
}

// requestIDs returns the id that the caller gets back and the one that backend
// servers see. The latter has a random part, so that the answer to another
// request is recognised even when a caller reuses its ids.
func (p *Proxy) requestIDs(h http.Header) (caller, upstream string) {
	unique := randomHex()
	v := h[headerRequestID]
	if len(v) == 1 && validToken(v[0], maxRequestID) {
		if p.cfg.Dialect.KeepRequestID {
			return v[0], v[0]
		}
		return v[0], v[0] + "." + unique
	}
	return unique, unique
}

func randomHex() string {
	var b [32]byte
	appendHex(appendHex(b[:0], rand.Uint64()), rand.Uint64())
	return string(b[:])
}

const hexDigit = "0123456789abcdef"

// appendHex appends 16 digits.
func appendHex(dst []byte, v uint64) []byte {
	for shift := 60; shift >= 0; shift -= 4 {
		dst = append(dst, hexDigit[v>>shift&15])
	}
	return dst
}

// validToken reports whether s has 1 to max visible ASCII characters.
func validToken(s string, max int) bool {
	if s == "" || len(s) > max {
		return false
	}
	for i := range len(s) {
		if s[i] <= ' ' || s[i] >= 0x7f {
			return false
		}
	}
	return true
}
