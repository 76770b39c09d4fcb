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
	mu    sync.Mutex
	conns map[net.Conn]connState
}

type connState struct {
	state http.ConnState
	// since is when the connection got into the state.
	since time.Time
}

// observe implements the ConnState hook of an http.Server.
func (s *callerConns) observe(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	default:
		if s.conns == nil {
			s.conns = make(map[net.Conn]connState)
		}
		s.conns[c] = connState{state: state, since: time.Now()}
	}
}

// expireIdlest makes the HTTP/1 connection that has been idle for the longest time fail
// to read, so that the server closes it, and reports whether there was one.
func (s *callerConns) expireIdlest() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	var idlest *guardedConn
	var since time.Time
	for nc, st := range s.conns {
		c, ok := nc.(*guardedConn)
		if ok && st.state == http.StateIdle && !c.usesHTTP2.Load() && (idlest == nil || st.since.Before(since)) {
			idlest, since = c, st.since
		}
	}
	if idlest == nil {
		return false
	}
	// Not chosen again. An error means that the connection is closed.
	s.conns[idlest] = connState{state: http.StateNew, since: since}
	_ = idlest.SetReadDeadline(time.Unix(1, 0))
	return true
}

// active returns the number of connections with a request.
func (s *callerConns) active() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, st := range s.conns {
		if st.state == http.StateActive {
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
	for nc, st := range s.conns {
		c, ok := nc.(*guardedConn)
		if !ok || c.usesHTTP2.Load() {
			continue
		}
		open++
		if st.state == http.StateNew || st.state == http.StateIdle {
			// An error means that the connection is closed.
			_ = c.SetReadDeadline(time.Unix(1, 0))
		}
	}
	return open
}
