// Command standin plays one review case: it starts the processes of a small deployment, stands in
// for its clients, servers and platform, and checks one rule.
package main

import (
	"flag"
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// plays are the cases by name.
var plays = map[string]func(*deployment, *record, bool) (broken bool, err error){
	"big-body":     playBigBody,
	"late-order":   playLateOrder,
	"lost-leave":   playLostLeave,
	"other-writer": playOtherWriter,
}

func main() {
	os.Exit(play())
}

func play() int {
	recordPath := flag.String("record", "record.txt", "where to write what was sent, answered and run")
	name := flag.String("case", "", "the case to play")
	flag.Parse()
	playCase, known := plays[*name]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown case")
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer os.RemoveAll(dir)
	r, err := newRecord(*recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	d, err := newDeployment(dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer d.stop()
	broken, err := playCase(d, r, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.summaryf("the case could not run: %v", err)
		return exitNotRun
	case broken:
		r.summaryf("the rule was broken")
		return exitBroken
	default:
		r.summaryf("the rule held")
		return exitHeld
	}
}
