// Package hostile has the tests that let untrusted clients connect to every listener of real router processes. A process must stay alive,
// within its memory and its descriptors, and answer ordinary requests.
package hostile
