//go:build review

// Command stand2 plays the scripts of the review of issue 44: stand-ins, clients and the check.
package main

import (
	"fmt"
	"os"
)

// Exit statuses of a script.
const (
	held     = 0
	broken   = 1
	notReady = 2
)

func main() {
	cases := map[string]func(folder string, trouble bool) int{"silence": silence, "spelling": spelling}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE FOLDER")
		os.Exit(notReady)
	}
	os.Exit(cases[os.Args[1]](os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func couldNotRun(err error) int {
	fmt.Fprintln(os.Stderr, "the case could not run:", err)
	return notReady
}
