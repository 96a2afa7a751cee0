// Package soak plays seeded days of faults against real daemons as separate
// processes on loopback, with a stand-in of the platform's store and endpoints
// behind fault-injecting proxies, and checks the promises from what callers and
// endpoints see. See docs/soak.md.
package soak
