// Command drive plays the script cases of the review: it starts the project's processes with
// small stand-ins for the store, the endpoints and the clients, makes the disruption and checks
// the rule. Its exit status is 1 if the rule was broken, 0 if it held, and 2 if the case could
// not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// cases maps the names of the cases to their functions, which report whether the rule was broken.
var cases = map[string]func(d *deployment, trouble bool) (broken bool, err error){
	"foreign-entry": foreignEntry,
	"late-write":    lateWrite,
}

// maxDuration ends a case that hangs.
const maxDuration = 100 * time.Second

func main() {
	name := flag.String("case", "", "name of the case")
	trouble := flag.Bool("trouble", true, "make the disruption")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	root := flag.String("root", ".", "root of the repository")
	flag.Parse()
	os.Exit(play(*name, *trouble, *record, *root))
}

func play(name string, trouble bool, record, root string) int {
	run := cases[name]
	if run == nil {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return 2
	}
	out, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = out.Close() }()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	root, _ = filepath.Abs(root)
	d := &deployment{rec: &recorder{out: out, start: time.Now()}, dir: dir, root: root}
	defer d.stop()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		select {
		case <-interrupted:
		case <-time.After(maxDuration):
		}
		d.stop()
		os.Exit(2)
	}()
	if d.store, err = newStore(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	broken, err := run(d, trouble)
	switch {
	case err != nil:
		d.rec.printf("could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case broken:
		d.rec.printf("verdict: the rule was broken")
		fmt.Println("the rule was broken")
		return 1
	}
	d.rec.printf("verdict: the rule held")
	fmt.Println("the rule held")
	return 0
}
