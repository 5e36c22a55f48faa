// Command sequoia-instance is the process of one instance on the platform.
package main

import (
	"os"

	"github.com/sequoiacove/sequoiacove/pkg/instance"
	"github.com/sequoiacove/sequoiacove/platform"
)

// settingsVariable names the environment variable with the path of the
// settings file, which --settings replaces.
const settingsVariable = "SEQUOIACOVE_SETTINGS"

func main() {
	os.Exit(instance.Main(os.Args[1:], settingsVariable, platform.New()))
}
