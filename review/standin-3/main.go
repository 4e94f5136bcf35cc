// Command standin3 plays the cases of the third review: it starts the project's routers as processes on loopback addresses, stands in for
// the platform's store, the servers and the consumers, and checks one rule.
package main

import (
	"errors"
	"fmt"
	"os"
)

// cases are the cases by name.
var cases = map[string]func(rec *record, trouble bool) (broken bool, err error){
	"refused": playRefused,
}

// Exit statuses of a case.
const (
	held    = 0
	broken  = 1
	notRun  = 2
	argsLen = 3
)

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != argsLen || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE RECORD, in the repository's root")
		return notRun
	}
	rec, done, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer done()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.line("case %s, trouble %t", os.Args[1], trouble)
	isBroken, err := cases[os.Args[1]](rec, trouble)
	switch {
	case err != nil:
		if !errors.Is(err, errCannotRun) {
			err = fmt.Errorf("%w: %w", errCannotRun, err)
		}
		rec.verdict("%v", err)
		return notRun
	case isBroken:
		return broken
	}
	return held
}
