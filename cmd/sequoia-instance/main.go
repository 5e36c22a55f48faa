// Command sequoia-instance runs one instance on the platform.
package main

import (
	"os"

	"github.com/sequoiacove/sequoiacove/pkg/instance"
	"github.com/sequoiacove/sequoiacove/platform"
)

// settingsEnvVar is the name of the environment variable that holds the path of the
// settings file; --settings overrides it.
const settingsEnvVar = "SEQUOIACOVE_SETTINGS"

func main() {
	os.Exit(instance.Main(os.Args[1:], settingsEnvVar, platform.New()))
}
