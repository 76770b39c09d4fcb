package proxy

import (
	"math/rand/v2"
	"net/http"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// Header names in canonical form.
const (
	headerRequestID      = "X-Request-Id"
	headerDeadline       = "X-Deadline-Ms"
	headerNotRun         = "X-Not-Run"
	headerDraining       = "X-Draining"
	headerReplayed       = "Idempotent-Replayed"
	headerIdempotencyKey = "Idempotency-Key"
	// peerPrefix is the prefix of headers that only entry hosts may set.
	peerPrefix = "X-Cove-"
)

// maxRequestID is the maximum length of a caller's request id in bytes.
const maxRequestID = 96

// field is a header. If values is nil, value is its only value, which saves an
// allocation.
type field struct {
	name   string
	value  string
	values []string
}

// all returns all values.
func (f *field) all() []string {
	if f.values == nil {
		return []string{f.value}
	}
	return f.values
}

// hopByHop reports whether a header applies to a single connection.
func hopByHop(name string) bool {
	switch name {
	case "Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Http2-Settings":
		return true
	}
	return false
}

// ownedByProxy reports whether only the proxy sets this request header. A
// caller's value is never forwarded.
func ownedByProxy(name string) bool {
	switch name {
	case "Host", "Content-Length", "Expect", headerRequestID, headerDeadline, "Traceparent", "Tracestate",
		"Forwarded", "X-Real-Ip", "X-Client-Ip", "True-Client-Ip", "Client-Ip":
		return true
	}
	return strings.HasPrefix(name, "X-Forwarded-") || strings.HasPrefix(name, peerPrefix)
}

// listedInConnection reports whether the Connection header lists name.
func listedInConnection(connection []string, name string) bool {
	for _, v := range connection {
		if httpguts.HeaderValuesContainsToken([]string{v}, name) {
			return true
		}
	}
	return false
}

// appendForwardable appends the caller's headers that may be forwarded to dst.
func (p *Proxy) appendForwardable(dst []field, h http.Header) []field {
	connection := h["Connection"]
	for name, values := range h {
		if hopByHop(name) || ownedByProxy(name) || p.cfg.Dialect.owns(name) {
			continue
		}
		if len(connection) > 0 && listedInConnection(connection, name) {
			continue
		}
		dst = append(dst, field{name: name, values: values})
	}
	return dst
}

// copyAnswerHeader copies the response headers that callers may see.
func copyAnswerHeader(dst, src http.Header, notRun string) {
	connection := src["Connection"]
	for name, values := range src {
		if hopByHop(name) || strings.HasPrefix(name, peerPrefix) {
			continue
		}
		if name == headerRequestID || name == notRun || name == headerDraining {
			continue
		}
		if len(connection) > 0 && listedInConnection(connection, name) {
			continue
		}
		dst[name] = values
	}
}

// appendForwarded appends the headers that describe the caller to the backend
// server. They contain nothing from the caller's headers except the host.
func appendForwarded(dst []field, c *caller, host string) []field {
	return append(dst,
		field{name: "X-Forwarded-For", value: c.ip},
		field{name: "X-Forwarded-Proto", value: c.proto},
		field{name: "X-Forwarded-Host", value: host},
		field{name: "Forwarded", value: "for=" + c.node + ";proto=" + c.proto + ";host=\"" + host + "\""})
}

// requestIDs returns the request id for the response to the caller and the one
// for backend servers. The latter has a random part, so that a response to
// another request is detected even if callers reuse their ids.
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

// appendHex appends v as 16 hexadecimal digits.
func appendHex(dst []byte, v uint64) []byte {
	for shift := 60; shift >= 0; shift -= 4 {
		dst = append(dst, hexDigit[v>>shift&15])
	}
	return dst
}

// validToken reports whether s consists of 1 to max visible ASCII characters.
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
