// Package e2e holds tests that run the real binaries as separate processes against the stand-ins, kill and stop them
// with signals, and judge the answers that callers got and the counts that engines and services kept.
package e2e
