// Command standin-platform runs the stand-in for the platform's table, object
// store and instance list.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/sequoiacove/sequoiacove/pkg/standin"
)

func main() {
	app := kingpin.New("standin-platform", "Stand-in for the platform's stores and instance list; keeps everything in memory.")
	address := app.Flag("address", "Address to listen on.").Default("127.0.0.1:8000").String()
	lag := app.Flag("list-lag", "How far the instance list lags behind.").Default("0s").Duration()
	kingpin.MustParse(app.Parse(os.Args[1:]))

	server := standin.NewPlatform(time.Now)
	server.SetListLag(*lag)
	if err := server.Start(*address); err != nil {
		fmt.Fprintln(os.Stderr, "standin-platform:", err)
		os.Exit(1)
	}
	fmt.Println("listening on", server.Address())
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	<-stop
	server.Close()
}
