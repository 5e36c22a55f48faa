// Command standin-upstream runs stand-in upstreams for tests and the demo. It
// prints one JSON line for each upstream with its id and address.
package main

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/sequoiacove/sequoiacove/pkg/standin"
)

type line struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Address string `json:"address"`
	Slots   int    `json:"slots"`
}

func main() {
	var config standin.UpstreamConfig
	app := kingpin.New("standin-upstream", "Stand-in upstreams for tests and the demo.")
	app.Flag("address", "Address to listen on; with --count, each upstream gets a port that the system chooses.").Default("127.0.0.1:0").StringVar(&config.Address)
	app.Flag("id", "Id of the upstream; with --count, a number is appended.").Default("upstream").StringVar(&config.ID)
	app.Flag("service", "Service of the upstream.").Default("service").StringVar(&config.Service)
	app.Flag("slots", "Concurrent executions.").Default("4").IntVar(&config.Slots)
	app.Flag("service-time", "Mean service time of requests without work_ms.").Default("20ms").DurationVar(&config.ServiceTime)
	app.Flag("cold", "Number of first executions that run slower.").Default("0").IntVar(&config.Cold)
	app.Flag("seed", "Seed of the service times.").Default("1").Uint64Var(&config.Seed)
	count := app.Flag("count", "Number of upstreams to run in this process.").Default("1").Int()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if err := run(config, *count); err != nil {
		fmt.Fprintln(os.Stderr, "standin-upstream:", err)
		os.Exit(1)
	}
}

func run(config standin.UpstreamConfig, count int) error {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	encoder := json.NewEncoder(os.Stdout)
	for i := range count {
		c := config
		if count > 1 {
			c.ID = fmt.Sprintf("%s-%d", config.ID, i+1)
			c.Seed += uint64(i)
			c.Address = anyPort(config.Address)
		}
		u, err := standin.StartUpstream(c)
		if err != nil {
			return err
		}
		defer u.Close()
		if err := encoder.Encode(line{ID: c.ID, Service: c.Service, Address: u.Address(), Slots: c.Slots}); err != nil {
			return err
		}
	}
	<-stop
	return nil
}

// anyPort replaces the port of address by one that the system chooses.
func anyPort(address string) string {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return address
	}
	return netip.AddrPortFrom(parsed.Addr(), 0).String()
}
