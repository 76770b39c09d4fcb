package proxy

import (
	"math/rand/v2"
	"net/http"
)

const (
	traceIDLen     = 32
	spanIDLen      = 16
	traceparentLen = 2 + 1 + traceIDLen + 1 + spanIDLen + 1 + 2
	maxTracestate  = 512
	zeroTraceID    = "00000000000000000000000000000000"
	zeroSpanID     = "0000000000000000"
)

// appendTrace appends headers that continue the caller's trace (W3C Trace
// Context), or start a new one if the caller sent none or an invalid one.
func appendTrace(dst []field, h http.Header) []field {
	var buf [traceparentLen]byte
	parent := append(buf[:0], "00-"...)
	v := h["Traceparent"]
	known := len(v) == 1 && validTraceparent(v[0])
	if known {
		parent = append(parent, v[0][3:3+traceIDLen]...)
	} else {
		parent = appendHex(appendHex(parent, rand.Uint64()|1), rand.Uint64())
	}
	parent = append(parent, '-')
	parent = appendHex(parent, rand.Uint64()|1)
	if !known {
		return append(dst, field{name: "Traceparent", value: string(append(parent, "-00"...))})
	}
	parent = append(parent, v[0][traceparentLen-3:traceparentLen]...)
	dst = append(dst, field{name: "Traceparent", value: string(parent)})
	if s := h["Tracestate"]; len(s) == 1 && len(s[0]) <= maxTracestate {
		dst = append(dst, field{name: "Tracestate", values: s})
	}
	return dst
}

// validTraceparent accepts version 00, and later versions that start with the
// same fields.
func validTraceparent(s string) bool {
	if len(s) < traceparentLen || s[2] != '-' || s[3+traceIDLen] != '-' || s[traceparentLen-3] != '-' {
		return false
	}
	version, id := s[:2], s[3:3+traceIDLen]
	span, flags := s[4+traceIDLen:traceparentLen-3], s[traceparentLen-2:traceparentLen]
	if !lowerHex(version) || !lowerHex(id) || !lowerHex(span) || !lowerHex(flags) {
		return false
	}
	if version == "ff" || id == zeroTraceID || span == zeroSpanID {
		return false
	}
	if len(s) == traceparentLen {
		return true
	}
	return version != "00" && s[traceparentLen] == '-'
}

func lowerHex(s string) bool {
	for i := range len(s) {
		c := s[i]
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return true
}
