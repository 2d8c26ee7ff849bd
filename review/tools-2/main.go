//go:build review

// Command tools-2 starts a small deployment on loopback addresses with stand-ins of its
// clients, leafs, operator and platform, and plays one case of the second review.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitCouldNot = 2
)

// cases by name. Each reports whether the rule was broken.
var cases = map[string]func(r *record, trouble bool) (broken bool, err error){
	"bad":     playBadVersion,
	"foreign": playForeign,
	"poison":  playPoison,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: tools-2 CASE FOLDER")
		return exitCouldNot
	}
	r, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCouldNot
	}
	defer r.close()
	broken, err := cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.say("the case could not run: %s", err)
		return exitCouldNot
	case broken:
		r.say("BROKEN")
		return exitBroken
	}
	r.say("held")
	return exitHeld
}
