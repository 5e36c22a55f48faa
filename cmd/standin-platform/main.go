// Command standin-platform runs an in-memory stand-in for the platform store. A
// control API on a separate address returns statistics and accepts faults to inject.
package main

import (
	"fmt"
	"net/http"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/sequoiacove/sequoiacove/platform/platformtest"
)

func main() {
	app := kingpin.New("standin-platform", "In-memory stand-in for the platform store.")
	address := app.Flag("address", "Address on which the store listens.").Default("127.0.0.1:8000").String()
	control := app.Flag("control", "Address of the control API: GET /stats, POST /faults, POST /copy, POST /restore, POST /interrupt, POST /old-listings.").Default("127.0.0.1:8001").String()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	store, err := platformtest.NewStoreAt(*address)
	if err == nil {
		fmt.Println("listening on", store.Address())
		err = http.ListenAndServe(*control, store.Control())
	}
	fmt.Fprintln(os.Stderr, "standin-platform:", err)
	os.Exit(1)
}
