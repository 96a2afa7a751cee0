package front

import (
	"testing"
	"time"
)

// Guards against a daemon that starts with an older configuration than its peers know, and
// against one that refuses requests for long where they know none.
func TestStartVersionIsConfirmedByPeers(t *testing.T) {
	start := time.Now()
	for name, c := range map[string]struct {
		own    int64
		others int
		heard  map[string]int64
		after  time.Duration
		want   bool
	}{
		"no configuration":                    {0, 0, nil, time.Hour, false},
		"alone":                               {3, 0, nil, 0, true},
		"peers not known yet":                 {3, -1, nil, 0, false},
		"peers not known for long":            {3, -1, nil, 2 * confirmTimeout, true},
		"no peer heard":                       {3, 6, nil, 0, false},
		"no peer heard for long":              {3, 6, nil, 2 * confirmTimeout, true},
		"a peer has the same version":         {3, 6, map[string]int64{"a": 3}, 0, true},
		"a peer has a newer version":          {3, 6, map[string]int64{"a": 4, "b": 3}, 2 * confirmTimeout, false},
		"one of six starts, too":              {3, 6, map[string]int64{"a": 0}, 0, false},
		"the whole fleet starts":              {3, 6, map[string]int64{"a": 0, "b": 0, "c": 0, "d": 0}, 0, true},
		"the only other daemon starts, too":   {3, 1, map[string]int64{"a": 0}, 0, true},
		"one starts, another has a newer one": {3, 2, map[string]int64{"a": 0, "b": 5}, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			var s startVersion
			for peer, version := range c.heard {
				s.hear(peer, version)
			}
			s.usable(start, c.own, c.others)
			if got := s.usable(start.Add(c.after), c.own, c.others); got != c.want {
				t.Errorf("usable %v, want %v", got, c.want)
			}
		})
	}
}
