package configsync

import (
	jsonpatch "github.com/evanphx/json-patch/v5"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/description"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

// update is a version in the two forms in which it is pushed.
type update struct {
	full Push
	// delta is nil when the version has no usable difference to the one before.
	delta *Push
}

// newUpdate prepares v for pushing. The delta is tried here, because a
// receiver that cannot apply it costs a further round trip.
func newUpdate(v cluster.Version) update {
	u := update{full: Push{Version: v}}
	if len(v.PreviousBody) == 0 {
		return u
	}
	patch, err := jsonpatch.CreateMergePatch(v.PreviousBody, v.Body)
	if err != nil || len(patch) >= len(v.Body) {
		return u
	}
	base := description.Hash(v.PreviousBody)
	if _, err := applyDelta(cluster.Version{Hash: base, Body: v.PreviousBody}, v, base, patch); err != nil {
		return u
	}
	short := v
	short.Body, short.PreviousBody = nil, nil
	u.delta = &Push{Version: short, Delta: patch, BaseHash: base}
	return u
}

// applyDelta returns v with the body that the delta makes of the current one.
func applyDelta(current, v cluster.Version, base string, delta []byte) (cluster.Version, error) {
	if current.Hash != base {
		return cluster.Version{}, result.New(result.VersionConflict, "the delta is for another version than %d", current.Number)
	}
	_, body, err := description.Apply(current.Body, description.MergePatch, delta)
	if err != nil {
		return cluster.Version{}, err
	}
	if description.Hash(body) != v.Hash {
		return cluster.Version{}, result.New(result.VersionConflict, "the delta does not lead to the hash of version %d", v.Number)
	}
	v.Body, v.PreviousBody = body, current.Body
	return v, nil
}

// receive puts a pushed version into force. It reports false when the push is
// a delta that does not fit and the whole body is needed.
func (s *Syncer) receive(push Push) (fits bool, err error) {
	current := s.Current()
	if push.Version.Number <= current.Number {
		return true, nil
	}
	if len(push.Delta) == 0 {
		if err := s.check(push.Version); err != nil {
			return false, err
		}
		s.adopt(push.Version)
		return true, nil
	}
	v, err := applyDelta(current, push.Version, push.BaseHash, push.Delta)
	if err != nil {
		s.meters.deltaMissed.Inc(1)
		return false, nil
	}
	s.adopt(v)
	return true, nil
}
