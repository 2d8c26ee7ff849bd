//go:build review

package main

import (
	"fmt"
	"os"
)

// Exit codes of a scenario.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

var scenarios = map[string]func(f *fleet, trouble bool) (broken bool, err error){}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 2 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin SCENARIO")
		return notRun
	}
	f, err := newFleet()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer f.stopAll()
	broken, err := scenarios[os.Args[1]](f, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		f.log("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return notRun
	case broken:
		f.log("verdict: the rule was broken")
		return ruleBroken
	}
	f.log("verdict: the rule held")
	return ruleHeld
}
