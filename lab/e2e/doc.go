// Package e2e contains end-to-end tests. They run the real binaries as separate processes against the stand-ins, kill and stop
// them with signals, and check the answers that callers received and the counters of engines and services.
package e2e
