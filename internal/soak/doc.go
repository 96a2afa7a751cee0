// Package soak runs seeded fault-injection scenarios against real daemons, which run
// as separate processes on loopback, with a stand-in of the platform's store and
// endpoints behind fault-injecting proxies. It checks the daemons' guarantees against
// what callers and endpoints observe. See docs/soak.md.
package soak
