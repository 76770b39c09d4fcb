package health

import "time"

// Ejected reports whether the server is ejected. Unlike State it takes no lock,
// so that mayEject of other servers can call it.
func (s *Server) Ejected(now time.Time) bool {
	return s.ejectionEndNanos.Load() > now.UnixNano()
}

// MayEject reports whether one more of total servers may be ejected when
// ejected of them already are.
func MayEject(ejected, total int) bool {
	if total <= 1 {
		return false
	}
	return ejected == 0 || float64(ejected+1) <= maxEjectedShare*float64(total)
}
