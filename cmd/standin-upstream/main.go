// Command standin-upstream runs a stand-in upstream for tests and the demo. A control
// API on a separate address returns its report and accepts faults to inject.
package main

import (
	"fmt"
	"net/http"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/sequoiacove/sequoiacove/platform/platformtest"
)

func main() {
	var u platformtest.Upstream
	app := kingpin.New("standin-upstream", "Stand-in upstream for tests and the demo.")
	address := app.Flag("address", "Address on which the upstream listens.").Default("127.0.0.1:8010").String()
	control := app.Flag("control", "Address of the control API: GET /report, POST /faults.").Default("127.0.0.1:8011").String()
	app.Flag("id", "Id of the upstream.").Default("upstream").StringVar(&u.ID)
	app.Flag("service", "Service of the upstream.").Default("service").StringVar(&u.Service)
	app.Flag("domain", "Failure domain of the upstream.").Default("domain").StringVar(&u.Domain)
	app.Flag("slots", "Maximum number of concurrent executions.").Default("4").IntVar(&u.Slots)
	app.Flag("work", "Execution time of requests without work_ms.").Default("20ms").DurationVar(&u.DefaultWork)
	leaving := app.Flag("leaving", "Say in all responses that the upstream leaves.").Bool()
	retryAfter := app.Flag("refuse-for", "Refuse all requests and ask for none for so many seconds, such as 2.5.").String()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	faults := platformtest.UpstreamFaults{Leaving: *leaving}
	if *retryAfter != "" {
		faults.Mode, faults.RetryAfter = platformtest.Refuse, *retryAfter
	}
	u.SetFaults(faults)
	err := u.StartAt(*address)
	if err == nil {
		fmt.Println("listening on", u.Address())
		err = http.ListenAndServe(*control, &u)
	}
	fmt.Fprintln(os.Stderr, "standin-upstream:", err)
	os.Exit(1)
}
