package proxy

import (
	"net/http"
	"net/url"
	"strings"

	"golang.org/x/net/http/httpguts"

	"turmericcove.org/cove"
)

// Refusals of malformed requests.
var (
	errInvalidTarget = cove.Refuse(http.StatusBadRequest, cove.ReasonBadRequest, "request target is not a plain path")
	errInvalidPath   = cove.Refuse(http.StatusBadRequest, cove.ReasonBadRequest, "path has dot segments, empty segments or odd bytes")
	// An HTTP/1.0 caller cannot tell a truncated response from a complete one.
	errHTTPVersion       = cove.Refuse(http.StatusHTTPVersionNotSupported, cove.ReasonBadRequest, "HTTP/1.1 or HTTP/2 is needed")
	errUnsupportedMethod = cove.Refuse(http.StatusBadRequest, cove.ReasonBadRequest, "method not supported by this system")
	errInvalidHost       = cove.Refuse(http.StatusBadRequest, cove.ReasonBadRequest, "invalid host")
	errInvalidFraming    = cove.Refuse(http.StatusBadRequest, cove.ReasonBadRequest, "conflicting or unsupported message framing")
	errInvalidHeader     = cove.Refuse(http.StatusBadRequest, cove.ReasonBadRequest, "invalid header")
	errUpgrade           = cove.Refuse(http.StatusNotImplemented, cove.ReasonUpgrade, "protocol upgrades are not supported")
	errHeaderTooLarge    = cove.Refuse(http.StatusRequestHeaderFieldsTooLarge, cove.ReasonHeaderSize, "header too large")
	errBodyTooLarge      = cove.Refuse(http.StatusRequestEntityTooLarge, cove.ReasonBodySize, "body too large")
)

// checkShape refuses requests that this host and a backend server might
// interpret differently.
func (p *Proxy) checkShape(r *http.Request) *cove.Refusal {
	if r.Method == http.MethodConnect || r.Method == http.MethodTrace {
		return errUnsupportedMethod
	}
	if !r.ProtoAtLeast(1, 1) {
		return errHTTPVersion
	}
	if r.Header[headerViolation] != nil {
		return errInvalidFraming
	}
	if r.Header[headerNoMemory] != nil {
		return errHeadersFull
	}
	if ref := checkTarget(r.RequestURI, r.URL); ref != nil {
		return ref
	}
	if !validHost(r.Host) {
		return errInvalidHost
	}
	if ref := checkFraming(r); ref != nil {
		return ref
	}
	if r.Header["Upgrade"] != nil || listedInConnection(r.Header["Connection"], "upgrade") {
		return errUpgrade
	}
	if ref := p.checkFields(r); ref != nil {
		return ref
	}
	if r.ContentLength > p.cfg.MaxBodyBytes {
		return errBodyTooLarge
	}
	return nil
}

// checkTarget accepts request targets in origin form only.
func checkTarget(uri string, u *url.URL) *cove.Refusal {
	if uri == "" || uri[0] != '/' || u.Host != "" || u.Scheme != "" || u.Fragment != "" {
		return errInvalidTarget
	}
	for i := range len(uri) {
		if uri[i] <= ' ' || uri[i] >= 0x7f || uri[i] == '#' {
			return errInvalidTarget
		}
	}
	if !unambiguousPath(u.Path) {
		return errInvalidPath
	}
	return nil
}

// unambiguousPath reports whether every server interprets a decoded path alike:
// it has no empty segments, dot segments, backslashes or control characters.
func unambiguousPath(path string) bool {
	if strings.Contains(path, "//") || strings.Contains(path, "/./") || strings.Contains(path, "/../") {
		return false
	}
	if strings.HasSuffix(path, "/.") || strings.HasSuffix(path, "/..") {
		return false
	}
	for i := range len(path) {
		if path[i] < ' ' || path[i] == 0x7f || path[i] == '\\' {
			return false
		}
	}
	return true
}

// validHost accepts names, addresses and ports. It rejects quotes and
// separators, because the host is copied into the Forwarded header.
func validHost(host string) bool {
	if host == "" || len(host) > 255+6 {
		return false
	}
	for i := range len(host) {
		c := host[i]
		switch {
		case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
		case strings.IndexByte("-._:[]", c) >= 0:
		default:
			return false
		}
	}
	return true
}

// checkFraming allows no transfer coding except a single chunked one, and no
// Content-Length beside it. net/http refuses differing lengths itself.
func checkFraming(r *http.Request) *cove.Refusal {
	if len(r.TransferEncoding) > 1 {
		return errInvalidFraming
	}
	if len(r.TransferEncoding) == 1 && (r.TransferEncoding[0] != "chunked" || r.Header["Content-Length"] != nil) {
		return errInvalidFraming
	}
	if r.Header["Transfer-Encoding"] != nil || len(r.Header["Content-Length"]) > 1 {
		return errInvalidFraming
	}
	return nil
}

func (p *Proxy) checkFields(r *http.Request) *cove.Refusal {
	size := len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return errInvalidHeader
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return errInvalidHeader
			}
			size += len(name) + len(v) + len(": \r\n")
		}
	}
	if size > p.cfg.MaxHeaderBytes {
		return errHeaderTooLarge
	}
	for name := range r.Trailer {
		if hopByHop(name) || ownedByProxy(name) {
			return errInvalidHeader
		}
	}
	return nil
}
