// Command kit runs one case of the review on loopback addresses. Exit code 1 means that the
// rule was broken, 0 that it held and 2 that the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// cases are the scripts by name.
var cases = map[string]func(rec *recorder, trouble bool) (broken bool, err error){
	"forgotten-drain": forgottenDrain,
	"lost-rollout":    lostRollout,
	"foreign-byte":    foreignByte,
	"first-start":     firstStart,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: kit CASE FOLDER")
		os.Exit(2)
	}
	rec, err := newRecorder(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.log("case %s, trouble: %v", os.Args[1], trouble)
	broken, err := cases[os.Args[1]](rec, trouble)
	switch {
	case err != nil:
		rec.log("could not run: %v", err)
		fmt.Println("could not run:", err)
		os.Exit(2)
	case broken:
		rec.log("verdict: the rule was broken")
		fmt.Println("the rule was broken")
		os.Exit(1)
	}
	rec.log("verdict: the rule held")
	fmt.Println("the rule held")
}
