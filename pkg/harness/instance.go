package harness

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/platform"
)

const startLimit = 15 * time.Second

// Instance is an entry instance: an entry and an agent with one settings file.
type Instance struct {
	ID     string
	Region string
	Domain string
	IP     string

	CallerAddress     string
	EntryPeerAddress  string
	EntryAdminAddress string
	AgentPeerAddress  string
	OperatorAddress   string
	AgentAdminAddress string
	// EntryAdvertised and AgentAdvertised are the addresses of relays in front
	// of the peer addresses, or the peer addresses themselves.
	EntryAdvertised string
	AgentAdvertised string
	SettingsFile    string

	Entry *Process
	Agent *Process
}

func (c *Cluster) makeInstances() error {
	for d, domain := range c.Spec.Domains {
		for n := range domain.Instances {
			i := &Instance{
				ID:     fmt.Sprintf("%s-%d", domain.Name, n+1),
				Region: domain.Region, Domain: domain.Name, IP: domainIP(d),
			}
			if err := c.address(i); err != nil {
				return err
			}
			c.Instances = append(c.Instances, i)
		}
	}
	for _, i := range c.Instances {
		if err := c.writeSettings(i); err != nil {
			return err
		}
		i.Entry = c.process(i.ID+"-entry", "sequoia-entry", "--settings", i.SettingsFile)
		i.Agent = c.process(i.ID+"-agent", "sequoia-agent", "--settings", i.SettingsFile)
	}
	return nil
}

// domainIP gives each failure domain its own loopback address.
func domainIP(index int) string { return fmt.Sprintf("127.0.%d.1", index+1) }

func (c *Cluster) address(i *Instance) error {
	for _, field := range []*string{&i.CallerAddress, &i.EntryPeerAddress, &i.EntryAdminAddress,
		&i.AgentPeerAddress, &i.OperatorAddress, &i.AgentAdminAddress} {
		free, err := c.ports.free(i.IP)
		if err != nil {
			return err
		}
		*field = free
	}
	i.EntryAdvertised, i.AgentAdvertised = i.EntryPeerAddress, i.AgentPeerAddress
	if !c.Spec.Relays {
		return nil
	}
	var err error
	if i.EntryAdvertised, err = c.relays.peer(i.Domain, i.EntryPeerAddress); err != nil {
		return err
	}
	i.AgentAdvertised, err = c.relays.peer(i.Domain, i.AgentPeerAddress)
	return err
}

func (c *Cluster) writeSettings(i *Instance) error {
	keys, err := c.authority.WritePEM(c.Dir, i.ID, net.ParseIP(i.IP))
	if err != nil {
		return err
	}
	store, err := c.platformAddress(i.Domain)
	if err != nil {
		return err
	}
	var seeds []string
	for _, other := range c.Instances {
		if other != i {
			seeds = append(seeds, other.AgentAdvertised)
		}
	}
	lines := [][3]string{
		{"instance", "id", i.ID}, {"instance", "region", i.Region}, {"instance", "domain", i.Domain},
		{"tls", "certificate_file", keys.CertificateFile}, {"tls", "key_file", keys.KeyFile},
		{"tls", "authority_file", keys.AuthorityFile},
		{"entry", "caller_address", i.CallerAddress}, {"entry", "peer_address", i.EntryPeerAddress},
		{"entry", "advertised_address", i.EntryAdvertised}, {"entry", "admin_address", i.EntryAdminAddress},
		{"agent", "peer_address", i.AgentPeerAddress}, {"agent", "advertised_address", i.AgentAdvertised},
		{"agent", "operator_address", i.OperatorAddress}, {"agent", "admin_address", i.AgentAdminAddress},
		{"agent", "operator_tls", "no"}, {"agent", "operator_requests_per_second", "1000"},
		{"platform", "table_address", store}, {"platform", "objects_address", store}, {"platform", "list_address", store},
		{"membership", "seeds", strings.Join(seeds, ", ")},
		{"operators", "harness", OperatorToken},
	}
	i.SettingsFile = filepath.Join(c.Dir, i.ID+".ini")
	return os.WriteFile(i.SettingsFile, []byte(iniText(append(lines, c.Spec.Settings...))), 0o644)
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

// Start starts both processes of the instance.
func (i *Instance) Start() error {
	if err := i.Agent.Start(); err != nil {
		return err
	}
	return i.Entry.Start()
}

// record is the instance as the platform's list shows it.
func (i *Instance) record(state cluster.State) platform.Instance {
	return platform.Instance{
		ID: i.ID, Role: platform.RoleEntry, Region: i.Region, Domain: i.Domain,
		Address: i.CallerAddress, AgentAddress: i.AgentAdvertised, State: state,
	}
}

// Instance returns the instance with an id, or nil.
func (c *Cluster) Instance(id string) *Instance {
	for _, i := range c.Instances {
		if i.ID == id {
			return i
		}
	}
	return nil
}

// InDomain returns the instances of a failure domain.
func (c *Cluster) InDomain(domain string) []*Instance {
	var list []*Instance
	for _, i := range c.Instances {
		if i.Domain == domain {
			list = append(list, i)
		}
	}
	return list
}

// CallerAddresses returns the caller addresses of all instances.
func (c *Cluster) CallerAddresses() []string {
	var list []string
	for _, i := range c.Instances {
		list = append(list, i.CallerAddress)
	}
	return list
}
