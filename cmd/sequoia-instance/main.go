// Command sequoia-instance is the process of one instance on the platform.
package main

import (
	"context"
	"net"
	"os"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/catalog"
	"github.com/sequoiacove/sequoiacove/pkg/configstore"
	"github.com/sequoiacove/sequoiacove/pkg/exchange"
	"github.com/sequoiacove/sequoiacove/pkg/instance"
	"github.com/sequoiacove/sequoiacove/platform"
)

// settingsVariable names the environment variable with the path of the
// settings file, which --settings replaces.
const settingsVariable = "SEQUOIACOVE_SETTINGS"

func main() {
	os.Exit(instance.Main(os.Args[1:], settingsVariable, instance.Platform{
		Headers:      platform.Headers(),
		Paths:        platform.Paths(),
		Decoder:      catalog.Decoder{Directive: platform.DecodeDirective, Upstream: platform.DecodeUpstream},
		LookupAnswer: platform.LookupAnswer,
		NewStore:     newStore,
	}))
}

// newStore returns a client of the platform's store at address.
func newStore(address string) instance.Store {
	client := platform.NewClient(address, func(a string) (net.Conn, error) {
		return exchange.Dial(context.Background(), a, platform.DialTimeout, 0)
	})
	versions := platform.NewVersions(client)
	return instance.Store{Tables: client, Versions: configstore.New(versions, versions.Objects(), time.Now)}
}
