// Package e2e tests a fleet of real processes on loopback: a platform stand-in,
// engines, a plain service and daemons. It has no code but its tests.
package e2e
