package proxy

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// callerConns holds the HTTP/1 connections of callers with their states. The zero value
// is empty.
type callerConns struct {
	mu     sync.Mutex
	states map[*guardedConn]http.ConnState
}

// observe implements the ConnState hook of an http.Server.
func (s *callerConns) observe(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*guardedConn)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(s.states, c)
	default:
		if s.states == nil {
			s.states = make(map[*guardedConn]http.ConnState)
		}
		s.states[c] = state
	}
}

// expire makes the connections without a request fail to read, so that the server
// closes them, and returns how many are open. A request that has been read is served.
func (s *callerConns) expire() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	open := 0
	for c, state := range s.states {
		if c.usesHTTP2.Load() {
			continue
		}
		open++
		if state == http.StateNew || state == http.StateIdle {
			// An error means that the connection is closed.
			_ = c.SetReadDeadline(time.Unix(1, 0))
		}
	}
	return open
}
