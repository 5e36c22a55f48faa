package examples

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/description"
	"github.com/sequoiacove/sequoiacove/pkg/platform"
	"github.com/sequoiacove/sequoiacove/pkg/settings"
)

// deployment is what a folder must hold by the table in the design.
type deployment struct {
	folder        string
	mbitPerSecond float64
	// slots and upstreams are by service.
	slots     map[string]int
	upstreams map[string]int
}

var deployments = []deployment{
	{"casetas-norte", 280, map[string]int{"reservas": 4, "cobros": 3}, map[string]int{"reservas": 30, "cobros": 12}},
	{"cascadia", 4000, map[string]int{"switchboard": 4, "ledger-line": 3}, map[string]int{"switchboard": 30, "ledger-line": 12}},
}

func readDescription(t *testing.T, d deployment) *description.Description {
	body, err := os.ReadFile(filepath.Join(d.folder, "description.json"))
	require.NoError(t, err)
	parsed, err := description.Parse(body)
	require.NoError(t, err)
	return parsed
}

func readSettings(t *testing.T, d deployment) map[string]*settings.Instance {
	files, err := filepath.Glob(filepath.Join(d.folder, "instances", "*.ini"))
	require.NoError(t, err)
	all := make(map[string]*settings.Instance)
	for _, file := range files {
		s, err := settings.LoadInstance(file)
		require.NoError(t, err, file)
		require.Equal(t, s.ID+".ini", filepath.Base(file))
		all[s.ID] = s
	}
	return all
}

func readList(t *testing.T, d deployment) []platform.Instance {
	body, err := os.ReadFile(filepath.Join(d.folder, "instances.json"))
	require.NoError(t, err)
	var list struct{ Instances []platform.Instance }
	require.NoError(t, json.Unmarshal(body, &list))
	return list.Instances
}

// Guards against an example description that the system refuses or that does
// not fit the user's regions and links.
func TestDescriptions(t *testing.T) {
	for _, d := range deployments {
		parsed := readDescription(t, d)
		require.Len(t, parsed.Regions, 3)
		require.Len(t, parsed.Links, 3)
		for _, link := range parsed.Links {
			require.Equal(t, d.mbitPerSecond, link.MbitPerSecond)
		}
		require.Len(t, parsed.Services, 2)
		for name, service := range parsed.Services {
			require.Contains(t, d.upstreams, name)
			require.Len(t, service.DomainShares(), 6)
			require.Positive(t, service.Caps.RegionSharePerSecond)
			require.False(t, service.Idempotent("POST"))
		}
	}
}

// Guards against settings files that a process refuses or that disagree with
// the description or the platform's list.
func TestSettings(t *testing.T) {
	for _, d := range deployments {
		parsed, all := readDescription(t, d), readSettings(t, d)
		require.Len(t, all, 12)
		agents := make(map[string]bool)
		for _, s := range all {
			require.Equal(t, s.Region, parsed.RegionOf(s.Domain), s.ID)
			require.True(t, strings.HasPrefix(s.Entry.AdminAddress, "127."), "%s: the admin address must not be reachable from outside", s.ID)
			require.False(t, agents[s.Agent.PeerAddress], "two instances use %s", s.Agent.PeerAddress)
			agents[s.Agent.PeerAddress] = true
		}
		for _, s := range all {
			require.NotEmpty(t, s.Membership.Seeds)
			for _, seed := range s.Membership.Seeds {
				require.True(t, agents[seed], "%s: seed %s is no agent", s.ID, seed)
				require.NotEqual(t, s.Agent.PeerAddress, seed)
			}
		}
	}
}

// Guards against upstreams that are missing, in an unknown domain or above the
// region's limit.
func TestInstanceLists(t *testing.T) {
	for _, d := range deployments {
		parsed, all := readDescription(t, d), readSettings(t, d)
		upstreams, entries := make(map[string]int), 0
		regionSlots := make(map[string]int)
		for _, i := range readList(t, d) {
			require.Equal(t, i.Region, parsed.RegionOf(i.Domain), i.ID)
			if i.Role == platform.RoleEntry {
				entries++
				require.Equal(t, all[i.ID].Entry.CallerAddress, i.Address)
				require.Equal(t, all[i.ID].Agent.PeerAddress, i.AgentAddress)
				continue
			}
			upstreams[i.Service]++
			require.Equal(t, d.slots[i.Service], i.Slots)
			regionSlots[i.Service+"/"+i.Region] += i.Slots
		}
		require.Equal(t, 12, entries)
		require.Equal(t, d.upstreams, upstreams)
		for name, service := range parsed.Services {
			for region, placement := range service.Regions {
				require.LessOrEqual(t, placement.MaxConcurrent, regionSlots[name+"/"+region])
			}
		}
	}
}
