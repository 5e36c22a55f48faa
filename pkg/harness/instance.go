package harness

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

const (
	startTimeout = 15 * time.Second
	// maxSeeds limits the seed addresses in the settings of an instance.
	maxSeeds = 3
	// meshPort is the mesh port of all instances. It is below firstPort, so that no
	// other listener is assigned to it.
	meshPort = "6990"
)

// Instance is an instance process with its addresses.
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
	// AdvertisedMeshAddress is the mesh address that other instances use: the address
	// of the relays in front of MeshAddress, or MeshAddress if there are no relays.
	AdvertisedMeshAddress string
	SettingsFile          string
}

func (c *Cluster) createInstances() error {
	for d, domain := range c.Spec.Domains {
		for n := range domain.InstanceCount {
			i := &Instance{
				ID:     fmt.Sprintf("%s-%d", domain.Name, n+1),
				Region: domain.Region, Domain: domain.Name, IP: c.instanceIP(d, n),
			}
			if err := c.assignAddresses(i, c.relayIP(d, n)); err != nil {
				return err
			}
			c.Instances = append(c.Instances, i)
		}
	}
	for _, i := range c.Instances {
		if err := c.writeSettings(i); err != nil {
			return err
		}
		i.Process = c.newProcess(i.ID, "sequoia-instance", "--settings", i.SettingsFile)
	}
	return nil
}

// instanceIP returns the loopback address of an instance, given the index of its
// domain and its index in the domain. No two instances share an address.
func (c *Cluster) instanceIP(domainIndex, n int) string {
	return fmt.Sprintf("%s.%d.%d", c.loopbackPrefix, domainIndex+1, n+1)
}

// relayIP returns the loopback address of the relays in front of an instance's
// mesh address. Its third octet is that of the instance's address plus 100.
func (c *Cluster) relayIP(domainIndex, n int) string {
	return fmt.Sprintf("%s.%d.%d", c.loopbackPrefix, domainIndex+101, n+1)
}

// assignAddresses assigns the listen addresses of an instance. If the cluster uses
// relays, it also starts those in front of the instance's mesh address.
func (c *Cluster) assignAddresses(i *Instance, relayIP string) error {
	for _, field := range []*string{&i.CallerAddress, &i.ReadyAddress, &i.LookupAddress, &i.AdminAddress} {
		address, err := c.ports.allocate(i.IP)
		if err != nil {
			return err
		}
		*field = address
	}
	i.MeshAddress = net.JoinHostPort(i.IP, meshPort)
	i.AdvertisedMeshAddress = i.MeshAddress
	if !c.Spec.UseRelays {
		return nil
	}
	i.AdvertisedMeshAddress = net.JoinHostPort(relayIP, meshPort)
	return c.relays.startMesh(i.Domain, i.AdvertisedMeshAddress, i.MeshAddress)
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
		{"mesh", "advertised", i.AdvertisedMeshAddress}, {"mesh", "seeds", strings.Join(c.seeds(i), ", ")},
		{"store", "address", store},
		{"operators", "harness", OperatorToken},
		{"bounds", "repeat_ratio", "0.2"}, {"bounds", "repeat_slack", "60"}, {"bounds", "repeat_window", "10s"},
		{"bounds", "stop_time", c.Spec.GracePeriod.String()},
	}...)
	if c.Spec.MemoryMB > 0 {
		lines = append(lines, [3]string{"limits", "memory_mb", strconv.Itoa(c.Spec.MemoryMB)})
	}
	i.SettingsFile = filepath.Join(c.Dir, i.ID+".ini")
	return os.WriteFile(i.SettingsFile, []byte(formatINI(lines)), 0o644)
}

// seeds returns the advertised mesh addresses of up to maxSeeds other instances.
func (c *Cluster) seeds(i *Instance) []string {
	var list []string
	for _, other := range c.Instances {
		if other != i && len(list) < maxSeeds {
			list = append(list, other.AdvertisedMeshAddress)
		}
	}
	return list
}

// formatINI formats section, key and value triples as INI text. It groups them by
// section because a section may appear only once.
func formatINI(lines [][3]string) string {
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

// InstanceByCallerAddress returns the instance that listens for callers at an
// address, or nil.
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

// LookupAddresses returns the lookup addresses of all instances.
func (c *Cluster) LookupAddresses() []string {
	var list []string
	for _, i := range c.Instances {
		list = append(list, i.LookupAddress)
	}
	return list
}
