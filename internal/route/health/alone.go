package health

import "time"

// NewServer returns the state of a server that is judged by answers only.
// mayEject reports whether one more server of its pool may be ejected; it must
// not call methods of the server.
func NewServer(mayEject func(now time.Time) bool) *Server {
	return &Server{mayEject: mayEject, trust: 1}
}

// Ejected reports whether the server is ejected. Unlike State it takes no lock,
// so that mayEject of other servers can call it.
func (s *Server) Ejected(now time.Time) bool {
	return s.ejectedUntil.Load() > now.UnixNano()
}

// MayEject reports whether one more of total servers may be ejected when out of
// them are.
func MayEject(out, total int) bool {
	if total <= 1 {
		return false
	}
	return out == 0 || float64(out+1) <= ejectShare*float64(total)
}
