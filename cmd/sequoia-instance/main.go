// Command sequoia-instance is the process of one instance on the platform.
package main

import (
	"os"

	"github.com/sequoiacove/sequoiacove/pkg/instance"
	"github.com/sequoiacove/sequoiacove/platform"
)

// settingsEnvVar names the environment variable with the path of the
// settings file, which --settings replaces.
const settingsEnvVar = "SEQUOIACOVE_SETTINGS"

func main() {
	os.Exit(instance.Main(os.Args[1:], settingsEnvVar, platform.New()))
}
