package harness

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"
)

const (
	startLimit = 15 * time.Second
	// maxSeeds is the number of other instances that the settings name.
	maxSeeds = 3
	// meshPort is that of the meshes of all instances; it is below firstPort.
	meshPort = "6990"
)

// Instance is one instance of the system.
type Instance struct {
	*Process
	ID     string
	Region string
	Domain string
	IP     string

	CallerAddress string
	ReadyAddress  string
	LookupAddress string
	AdminAddress  string
	MeshAddress   string
	// MeshAdvertised is the address of the relay in front of the mesh address,
	// or the mesh address itself.
	MeshAdvertised string
	SettingsFile   string
}

func (c *Cluster) makeInstances() error {
	for d, domain := range c.Spec.Domains {
		for n := range domain.Instances {
			i := &Instance{
				ID:     fmt.Sprintf("%s-%d", domain.Name, n+1),
				Region: domain.Region, Domain: domain.Name, IP: c.instanceIP(d, n),
			}
			if err := c.address(i, c.relayIP(d, n)); err != nil {
				return err
			}
			c.Instances = append(c.Instances, i)
		}
	}
	for _, i := range c.Instances {
		if err := c.writeSettings(i); err != nil {
			return err
		}
		i.Process = c.process(i.ID, "sequoia-instance", "--settings", i.SettingsFile)
	}
	return nil
}

// instanceIP gives each instance its own loopback address; those of relays are
// in the upper half of the range.
func (c *Cluster) instanceIP(domain, n int) string {
	return fmt.Sprintf("%s.%d.%d", c.network, domain+1, n+1)
}

func (c *Cluster) relayIP(domain, n int) string {
	return fmt.Sprintf("%s.%d.%d", c.network, domain+101, n+1)
}

func (c *Cluster) address(i *Instance, relayIP string) error {
	for _, field := range []*string{&i.CallerAddress, &i.ReadyAddress, &i.LookupAddress, &i.AdminAddress} {
		free, err := c.ports.free(i.IP)
		if err != nil {
			return err
		}
		*field = free
	}
	i.MeshAddress = net.JoinHostPort(i.IP, meshPort)
	i.MeshAdvertised = i.MeshAddress
	if !c.Spec.Relays {
		return nil
	}
	i.MeshAdvertised = net.JoinHostPort(relayIP, meshPort)
	return c.relays.mesh(i.Domain, i.MeshAdvertised, i.MeshAddress)
}

func (c *Cluster) writeSettings(i *Instance) error {
	store, err := c.storeAddress(i.Domain)
	if err != nil {
		return err
	}
	lines := [][3]string{{"instance", "id", i.ID}, {"instance", "region", i.Region}, {"instance", "domain", i.Domain}}
	for _, d := range c.Spec.Domains {
		lines = append(lines, [3]string{"regions", d.Name, d.Region})
	}
	lines = append(lines, [][3]string{
		{"listen", "callers", i.CallerAddress}, {"listen", "readiness", i.ReadyAddress}, {"listen", "lookup", i.LookupAddress},
		{"listen", "admin", i.AdminAddress}, {"listen", "mesh", i.MeshAddress},
		{"mesh", "advertised", i.MeshAdvertised}, {"mesh", "seeds", strings.Join(c.seeds(i), ", ")},
		{"store", "address", store},
		{"operators", "harness", OperatorToken},
		{"bounds", "repeat_ratio", "0.2"}, {"bounds", "repeat_slack", "60"}, {"bounds", "repeat_window", "10s"},
		{"bounds", "stop_time", c.Spec.GracePeriod.String()},
	}...)
	i.SettingsFile = filepath.Join(c.Dir, i.ID+".ini")
	return os.WriteFile(i.SettingsFile, []byte(iniText(lines)), 0o644)
}

// seeds returns addresses of some other instances.
func (c *Cluster) seeds(i *Instance) []string {
	var list []string
	for _, other := range c.Instances {
		if other != i && len(list) < maxSeeds {
			list = append(list, other.MeshAdvertised)
		}
	}
	return list
}

// iniText groups lines by section, because a section may appear only once.
func iniText(lines [][3]string) string {
	var order []string
	sections := make(map[string][]string)
	for _, l := range lines {
		if _, ok := sections[l[0]]; !ok {
			order = append(order, l[0])
		}
		sections[l[0]] = append(sections[l[0]], l[1]+" = "+l[2])
	}
	var b strings.Builder
	for _, name := range order {
		fmt.Fprintf(&b, "[%s]\n%s\n", name, strings.Join(sections[name], "\n"))
	}
	return b.String()
}

// InstanceByCallerAddress returns the instance that serves callers at an address, or nil.
func (c *Cluster) InstanceByCallerAddress(address string) *Instance {
	for _, i := range c.Instances {
		if i.CallerAddress == address {
			return i
		}
	}
	return nil
}

// InstancesInDomain returns the instances of a failure domain.
func (c *Cluster) InstancesInDomain(domain string) []*Instance {
	var list []*Instance
	for _, i := range c.Instances {
		if i.Domain == domain {
			list = append(list, i)
		}
	}
	return list
}

// LookupAddresses returns the addresses at which all instances answer look-ups.
func (c *Cluster) LookupAddresses() []string {
	var list []string
	for _, i := range c.Instances {
		list = append(list, i.LookupAddress)
	}
	return list
}
