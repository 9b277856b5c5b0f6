// Command review-kit-2 plays the cases of the second review: it starts the programs of the deploy
// file on loopback addresses, with stand-ins for consumers, servers and the platform.
package main

import (
	"fmt"
	"os"
)

// cases maps the names of the cases to their plays. A play reports whether the rule was broken.
var cases = map[string]func(rec *record, trouble bool) (bool, error){
	"departure": departure,
	"starved":   starved,
	"upload":    upload,
}

// Exit codes of a case.
const (
	held       = 0
	broken     = 1
	impossible = 2
)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-kit-2 CASE RECORD, from the root of the repository")
		return impossible
	}
	rec, err := newRecord(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return impossible
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.log("case %s, disruption: %v", args[0], trouble)
	isBroken, err := cases[args[0]](rec, trouble)
	switch {
	case err != nil:
		rec.log("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return impossible
	case isBroken:
		rec.log("rule broken")
		return broken
	}
	rec.log("rule held")
	return held
}
