package proxy

import (
	"net/http"
	"net/url"
	"strings"

	"golang.org/x/net/http/httpguts"

	"turmericcove.org/cove"
)

// Shared refusals of malformed requests.
var (
	errTarget = cove.Refuse(http.StatusBadRequest, cove.ReasonBadRequest, "request target is not a plain path")
	errPath   = cove.Refuse(http.StatusBadRequest, cove.ReasonBadRequest, "path has dot segments, empty segments or odd bytes")
	// A caller with HTTP/1.0 cannot tell a broken answer from a complete one.
	errVersion = cove.Refuse(http.StatusHTTPVersionNotSupported, cove.ReasonBadRequest, "HTTP/1.1 or HTTP/2 is needed")
	errConnect = cove.Refuse(http.StatusBadRequest, cove.ReasonBadRequest, "method not supported by this system")
	errHost    = cove.Refuse(http.StatusBadRequest, cove.ReasonBadRequest, "invalid host")
	errFraming = cove.Refuse(http.StatusBadRequest, cove.ReasonBadRequest, "conflicting or unsupported message framing")
	errField   = cove.Refuse(http.StatusBadRequest, cove.ReasonBadRequest, "invalid header")
	errUpgrade = cove.Refuse(http.StatusNotImplemented, cove.ReasonUpgrade, "protocol upgrades are not supported")
	errHeader  = cove.Refuse(http.StatusRequestHeaderFieldsTooLarge, cove.ReasonHeaderSize, "header too large")
	errBody    = cove.Refuse(http.StatusRequestEntityTooLarge, cove.ReasonBodySize, "body too large")
)

// checkShape refuses requests whose meaning could differ between this host and
// a backend server.
func (p *Proxy) checkShape(r *http.Request) *cove.Refusal {
	if r.Method == http.MethodConnect || r.Method == http.MethodTrace {
		return errConnect
	}
	if !r.ProtoAtLeast(1, 1) {
		return errVersion
	}
	if r.Header[headerViolation] != nil {
		return errFraming
	}
	if ref := checkTarget(r.RequestURI, r.URL); ref != nil {
		return ref
	}
	if !validHost(r.Host) {
		return errHost
	}
	if ref := checkFraming(r); ref != nil {
		return ref
	}
	if r.Header["Upgrade"] != nil || listed(r.Header["Connection"], "upgrade") {
		return errUpgrade
	}
	if ref := p.checkFields(r); ref != nil {
		return ref
	}
	if r.ContentLength > p.cfg.MaxBodyBytes {
		return errBody
	}
	return nil
}

// checkTarget accepts the origin form only.
func checkTarget(uri string, u *url.URL) *cove.Refusal {
	if uri == "" || uri[0] != '/' || u.Host != "" || u.Scheme != "" || u.Fragment != "" {
		return errTarget
	}
	for i := range len(uri) {
		if uri[i] <= ' ' || uri[i] >= 0x7f || uri[i] == '#' {
			return errTarget
		}
	}
	if !plainPath(u.Path) {
		return errPath
	}
	return nil
}

// plainPath reports whether a decoded path means the same to every server.
func plainPath(path string) bool {
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

// validHost accepts names, addresses and ports; it keeps quotes and separators
// out of the Forwarded header.
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

// checkFraming allows no transfer coding but chunked alone. net/http refuses
// differing lengths itself.
func checkFraming(r *http.Request) *cove.Refusal {
	if len(r.TransferEncoding) > 1 {
		return errFraming
	}
	if len(r.TransferEncoding) == 1 && (r.TransferEncoding[0] != "chunked" || r.Header["Content-Length"] != nil) {
		return errFraming
	}
	if r.Header["Transfer-Encoding"] != nil || len(r.Header["Content-Length"]) > 1 {
		return errFraming
	}
	return nil
}

func (p *Proxy) checkFields(r *http.Request) *cove.Refusal {
	size := len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return errField
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return errField
			}
			size += len(name) + len(v) + len(": \r\n")
		}
	}
	if size > p.cfg.MaxHeaderBytes {
		return errHeader
	}
	for name := range r.Trailer {
		if hopByHop(name) || ownedByProxy(name) {
			return errField
		}
	}
	return nil
}
