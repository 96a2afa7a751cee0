package soak

import (
	"fmt"
	"net/http"
	"time"
)

// slowWork is the work on a slow request, which outlasts a planned stop.
const slowWork = 12 * time.Second

// lateSends are the times after SIGTERM at which slow requests are sent on connections that
// were opened before it.
var lateSends = []time.Duration{
	time.Second, 2200 * time.Millisecond, 2600 * time.Millisecond, 2900 * time.Millisecond, 3300 * time.Millisecond, 5 * time.Second,
}

// sendDuringStop opens a connection to the daemon for each of lateSends and sends a slow
// request on it at that time. It returns once the connections are open.
func (s *scenario) sendDuringStop(dm *daemon) {
	s.stops++
	for i, after := range lateSends {
		client := &http.Client{Transport: &http.Transport{}, Timeout: slowWork + 2*time.Second}
		id := fmt.Sprintf("late-%d-%d", s.stops, i)
		s.tr.checkResult(sendRequest(client, dm, id+"-open", "look", accounts[0]))
		s.wg.Go(func() {
			defer client.CloseIdleConnections()
			time.Sleep(after)
			s.tr.checkResult(sendRequest(client, dm, id, "slow", accounts[0]))
		})
	}
}

// checkLateInStop checks a request to a daemon that is stopping: it is not sent on if it was
// sent later than stopAnnouncement after SIGTERM, and a slow one that was sent on is answered
// although the daemon exits before its end.
func (tr *traffic) checkLateInStop(r result) {
	d := r.daemon
	if tr.bed.runs.Get(r.id).Runs == 0 || tr.bed.stalledSince(r.startedAt) || d.disturbedSince(r.startedAt.Add(-stopAnnouncement)) {
		return
	}
	if d.stoppingBy(r.startedAt.Add(-stopAnnouncement)) {
		tr.bed.addViolation("%s (%s) was executed although it was sent to %s later than %v after SIGTERM", r.id, r.kind, d.name, stopAnnouncement)
	}
	if r.kind == "slow" && r.err != nil {
		tr.bed.addViolation("%s was executed, and %s closed its connection without an answer: %v", r.id, d.name, r.err)
	}
}
