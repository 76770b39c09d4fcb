package proxy

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// callerConns holds the connections of callers with their states. The zero value is
// empty.
type callerConns struct {
	mu     sync.Mutex
	states map[net.Conn]http.ConnState
}

// observe implements the ConnState hook of an http.Server.
func (s *callerConns) observe(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(s.states, c)
	default:
		if s.states == nil {
			s.states = make(map[net.Conn]http.ConnState)
		}
		s.states[c] = state
	}
}

// active returns the number of connections with a request.
func (s *callerConns) active() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, state := range s.states {
		if state == http.StateActive {
			n++
		}
	}
	return n
}

// expire makes the HTTP/1 connections without a request fail to read, so that the server
// closes them, and returns how many are open. A request that has been read is served.
func (s *callerConns) expire() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	open := 0
	for nc, state := range s.states {
		c, ok := nc.(*guardedConn)
		if !ok || c.usesHTTP2.Load() {
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
