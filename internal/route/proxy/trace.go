package proxy

import (
	"encoding/hex"
	"math/rand/v2"
	"net/http"
)

const (
	traceIDLen  = 32
	spanIDLen   = 16
	traceLen    = 2 + 1 + traceIDLen + 1 + spanIDLen + 1 + 2
	maxTracing  = 512
	zeroTraceID = "00000000000000000000000000000000"
	zeroSpanID  = "0000000000000000"
)

// traceFields continues the caller's trace (W3C Trace Context), or starts one
// when the caller sent none or an invalid one.
func traceFields(dst []field, h http.Header) []field {
	var span [8]byte
	putUint64(span[:], rand.Uint64()|1)
	next := hex.EncodeToString(span[:])
	v := h["Traceparent"]
	if len(v) != 1 || !validTraceparent(v[0]) {
		return append(dst, field{"Traceparent", []string{"00-" + randomHex() + "-" + next + "-00"}})
	}
	parent := "00-" + v[0][3:3+traceIDLen] + "-" + next + v[0][traceLen-3:traceLen]
	dst = append(dst, field{"Traceparent", []string{parent}})
	if s := h["Tracestate"]; len(s) == 1 && len(s[0]) <= maxTracing {
		dst = append(dst, field{"Tracestate", s})
	}
	return dst
}

// validTraceparent accepts version 00 and later versions with the same start.
func validTraceparent(s string) bool {
	if len(s) < traceLen || s[2] != '-' || s[3+traceIDLen] != '-' || s[traceLen-3] != '-' {
		return false
	}
	version, id := s[:2], s[3:3+traceIDLen]
	span, flags := s[4+traceIDLen:traceLen-3], s[traceLen-2:traceLen]
	if !lowerHex(version) || !lowerHex(id) || !lowerHex(span) || !lowerHex(flags) {
		return false
	}
	if version == "ff" || id == zeroTraceID || span == zeroSpanID {
		return false
	}
	if len(s) == traceLen {
		return true
	}
	return version != "00" && s[traceLen] == '-'
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
