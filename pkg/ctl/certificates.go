package ctl

import (
	"fmt"
	"net"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/sequoiacove/sequoiacove/pkg/peer/peertest"
)

func (c *command) registerCertificates(app *kingpin.Application) {
	cmd := app.Command("certificates", "Make peer certificates, and an authority if the directory has none.\n\n"+
		"Example: sequoiactl certificates --dir keys --ip 127.0.0.1 north-a-1 north-a-2")
	dir := cmd.Flag("dir", "Directory for the files.").Required().String()
	lifetime := cmd.Flag("lifetime", "Lifetime of certificates.").Default(peertest.DefaultLifetime.String()).Duration()
	ips := cmd.Flag("ip", "IP address that operators use to reach the instances over HTTPS; repeatable.").IPList()
	names := cmd.Arg("name", "Names of the instances.").Required().Strings()
	cmd.Action(func(*kingpin.ParseContext) error {
		if err := os.MkdirAll(*dir, 0o700); err != nil {
			return err
		}
		authority, err := peertest.OpenAuthority(*dir, *lifetime)
		if err != nil {
			return err
		}
		return c.certificates(authority, *dir, *names, *ips)
	})
}

func (c *command) certificates(authority *peertest.Authority, dir string, names []string, ips []net.IP) error {
	for _, name := range names {
		files, err := authority.WritePEM(dir, name, ips...)
		if err != nil {
			return err
		}
		fmt.Fprintln(c.stdout, files.CertificateFile, files.KeyFile, files.AuthorityFile)
	}
	return nil
}
