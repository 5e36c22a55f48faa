package instance

import (
	"bytes"
	"context"
	"os"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/event"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

// settingsPollInterval is the time between checks of the settings file, which
// may change without a signal.
const settingsPollInterval = 2 * time.Second

// watchSettings reloads the settings file until ctx ends: immediately on each of
// hangups, even if it has not changed, and on each poll if its content differs from
// lastContent, the content read before.
func (i *Instance) watchSettings(ctx context.Context, hangups <-chan os.Signal, file string, lastContent []byte) {
	t := time.NewTicker(settingsPollInterval)
	defer t.Stop()
	for {
		signalled := false
		select {
		case <-hangups:
			signalled = true
		case <-t.C:
		case <-ctx.Done():
			return
		}
		content, err := os.ReadFile(file)
		switch {
		case err != nil && signalled:
			event.Log(i.logger, event.SettingsInvalid, "file", file, "errors", err.Error())
		case err == nil && (signalled || !bytes.Equal(content, lastContent)):
			i.reload(file, content)
			lastContent = content
		}
	}
}

// reload applies the bounds, the seeds and the operators of the settings; all other
// settings need a restart. A token that was withdrawn is refused from then on. Invalid settings are logged and change nothing.
func (i *Instance) reload(file string, content []byte) {
	s, err := ParseSettings(content)
	if err != nil {
		event.Log(i.logger, event.SettingsInvalid, "file", file, "errors", result.Detail(err))
		return
	}
	i.bounds.Store(&s.Bounds)
	i.balancer.SetGlobalLimits(s.Bounds)
	i.catalog.SetDrainTimeout(s.Bounds.DrainTimeout)
	i.mesh.AddAddresses(s.Seeds)
	i.operator.SetOperators(s.Operators)
	event.Log(i.logger, event.SettingsReloaded, "file", file, "bounds", s.Bounds)
}
