// Package e2e holds the end-to-end tests. They run a fleet of real processes on
// loopback: a stand-in for the platform, stand-in engines, a plain service and
// daemons. The package contains only tests.
package e2e
