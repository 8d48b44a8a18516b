package quarantine

import "time"

// recentSet holds the keys of the last half to whole period, and fewer if there are many. Adding a key takes constant time however
// many there are.
type recentSet[K comparable] struct {
	period time.Duration
	// limit is the maximum number of keys in each of the two generations.
	limit             int
	current, previous map[K]struct{}
	since             time.Time
}

func newRecentSet[K comparable](period time.Duration, limit int) recentSet[K] {
	return recentSet[K]{period: period, limit: limit, current: map[K]struct{}{}}
}

func (s *recentSet[K]) add(k K, now time.Time) {
	s.expire(now)
	if len(s.current) >= s.limit {
		s.rotate(now)
	}
	s.current[k] = struct{}{}
}

func (s *recentSet[K]) has(k K, now time.Time) bool {
	s.expire(now)
	_, isCurrent := s.current[k]
	_, isPrevious := s.previous[k]
	return isCurrent || isPrevious
}

func (s *recentSet[K]) rotate(now time.Time) {
	s.previous, s.current, s.since = s.current, map[K]struct{}{}, now
}

func (s *recentSet[K]) expire(now time.Time) {
	age := now.Sub(s.since)
	if age < s.period/2 {
		return
	}
	s.rotate(now)
	if age >= s.period {
		s.previous = nil
	}
}
