package front

import (
	"testing"
	"time"
)

// Guards against a daemon that starts with an older configuration than its peers know, against one that
// refuses requests for long where they know none, and against one that lets requests through before it
// knows which ones crash endpoints.
func TestStartVersionIsConfirmedByPeers(t *testing.T) {
	start := time.Now()
	for name, c := range map[string]struct {
		own    int64
		others int
		heard  map[string]int64
		after  time.Duration
		want   bool
		// recordUnread is true if the store's record of crashes is not known.
		recordUnread bool
	}{
		"no configuration":                     {0, 0, nil, time.Hour, false, false},
		"alone":                                {3, 0, nil, 0, true, false},
		"peers not known yet":                  {3, -1, nil, 0, false, false},
		"peers not known for long":             {3, -1, nil, 2 * confirmTimeout, true, false},
		"no peer heard":                        {3, 6, nil, 0, false, false},
		"no peer heard for long":               {3, 6, nil, 2 * confirmTimeout, true, false},
		"a peer has the same version":          {3, 6, map[string]int64{"a": 3}, 0, true, false},
		"a peer has a newer version":           {3, 6, map[string]int64{"a": 4, "b": 3}, 2 * confirmTimeout, false, false},
		"one of six starts, too":               {3, 6, map[string]int64{"a": 0}, 0, false, false},
		"the whole fleet starts":               {3, 6, map[string]int64{"a": 0, "b": 0, "c": 0, "d": 0}, 0, true, false},
		"the only other daemon starts, too":    {3, 1, map[string]int64{"a": 0}, 0, true, false},
		"one starts, another has a newer one":  {3, 2, map[string]int64{"a": 0, "b": 5}, 0, false, false},
		"isolated requests not known":          {3, 1, map[string]int64{"a": 0}, 0, false, true},
		"isolated requests not known for long": {3, 1, map[string]int64{"a": 0}, 2 * confirmTimeout, true, true},
		"a peer knows the isolated requests":   {3, 1, map[string]int64{"a": 3}, 0, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			var s startVersion
			for peer, version := range c.heard {
				s.hear(peer, version)
			}
			s.usable(start, c.own, c.others, !c.recordUnread)
			if got := s.usable(start.Add(c.after), c.own, c.others, !c.recordUnread); got != c.want {
				t.Errorf("usable %v, want %v", got, c.want)
			}
		})
	}
}
