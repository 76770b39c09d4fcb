package beacon

import "time"

// SetIsolated sets whether this host reaches no backend server. It then sends
// callers to other hosts.
func (s *Service) SetIsolated(isolated bool) {
	s.mu.Lock()
	changed := s.isolated != isolated
	s.isolated = isolated
	s.mu.Unlock()
	if changed {
		s.sendHeartbeats()
	}
}

// acceptsNoCallers reports whether callers should use other hosts; s.mu is held.
func (s *Service) acceptsNoCallers() bool { return s.leaving || !s.accepting || s.isolated }

// Substitutes returns the hosts that may take over the requests of this one while
// it is isolated, in groups, nearest first.
func (s *Service) Substitutes() [][]Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.substitutes(s.Clock.Now())
}

// substitutes returns the hosts that accept callers in place of this one, in
// groups: those of its failure domain, those of its region, and all others. The
// first two form one group if the failure domain has more hosts that accept no
// callers than hosts that do, so that these are not overloaded.
func (v *view) substitutes(now time.Time) [][]Host {
	var domain, region, others []Host
	replaced := 0
	for _, h := range v.sorted {
		switch {
		case h.ID == v.self.ID:
			replaced++
		case !v.acceptsCallers(h, now):
			if h.Domain == v.self.Domain && v.alive(h, now) {
				replaced++
			}
		case h.Domain == v.self.Domain:
			domain = append(domain, h.Host)
		case h.Region == v.self.Region:
			region = append(region, h.Host)
		default:
			others = append(others, h.Host)
		}
	}
	if len(domain) < replaced {
		domain, region = append(domain, region...), nil
	}
	var out [][]Host
	for _, group := range [][]Host{domain, region, others} {
		if len(group) > 0 {
			out = append(out, group)
		}
	}
	return out
}
