//go:build review3

package main

import (
	"fmt"
	"net/http"
	"time"
)

// droppedKey: a key is taken away from a connected client, which goes on to use it on a route that also
// allows requests without a key.
func droppedKey(w *world) (string, error) {
	const kept = "anfqasnmgkcuyj8pjbvk"
	put := func(version int, keys ...string) error {
		c := config(version, 3110070)
		c["routes"].([]map[string]any)[1]["allow_anonymous"] = true
		c["tenants"].([]map[string]any)[0]["api_keys"] = keys
		return w.put("op/config", c)
	}
	if err := put(7, key, kept); err != nil {
		return "", err
	}
	for i, service := range []string{"llm", "desk", "desk"} {
		if _, err := w.addWorker(fmt.Sprintf("i-%d", i), service, []string{"pos-a", "cgs-b"}[i%2], 6, 30*time.Millisecond, 5*time.Millisecond); err != nil {
			return "", err
		}
	}
	if err := w.addDaemons(3); err != nil {
		return "", err
	}
	time.Sleep(contactTime)
	var confirmed time.Time
	if w.trouble {
		if err := put(12, kept); err != nil {
			return "", err
		}
		confirmed = time.Now()
		w.note("the store confirms version 12, without the key %s", key)
	}
	broken, refused := 0, 0
	for end, n := time.Now().Add(6*time.Second), 0; time.Now().Before(end); n++ {
		sent := time.Now()
		a := w.send(w.daemons[n%3], "POST", "/reserve/2f", key, "", 2500*time.Millisecond, "order")
		if a.status == http.StatusUnauthorized {
			refused++
		}
		if w.trouble && sent.Sub(confirmed) > configBound && len(w.ranAt(a.id)) > 0 {
			broken++
			w.note("CONFIG: %s, sent %v after the confirmation, is run with the dropped key", a.id, sent.Sub(confirmed).Round(time.Millisecond))
		}
		time.Sleep(50 * time.Millisecond)
	}
	w.note("%d requests refused with 401", refused)
	if !w.trouble && refused > 0 {
		return fmt.Sprintf("DENIED: %d requests with a valid key were refused", refused), nil
	}
	if broken > 0 {
		return fmt.Sprintf("CONFIG: %d requests were run with a key that had been dropped more than config_ms before", broken), nil
	}
	return "", nil
}
