// Command sequoia-demo runs the system under load with stand-ins for the platform
// store and the upstreams, and checks its invariants.
package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/alecthomas/kingpin/v2"

	"github.com/sequoiacove/sequoiacove/pkg/demo"
)

func main() {
	app := kingpin.New("sequoia-demo", "Runs the system with stand-ins under load and checks its invariants.")
	binaries := app.Flag("binaries", "Directory with the built binaries; default is the directory of this program.").String()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if *binaries == "" {
		executable, err := os.Executable()
		if err != nil {
			fail(err)
		}
		*binaries = filepath.Dir(executable)
	}
	if err := demo.Run(*binaries, os.Stdout); err != nil {
		fail(err)
	}
}

func fail(err error) {
	fmt.Fprintln(os.Stderr, "sequoia-demo:", err)
	os.Exit(1)
}
