package configsync

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/description"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

// Push is the body of peer.PushVersion.
type Push struct {
	Version cluster.Version `cbor:"v"`
	// Relay asks the receiver to push the version to the agents of its domain.
	Relay bool `cbor:"r"`
	// Delta is a merge patch that makes the body out of the one with BaseHash;
	// Version has no bodies then.
	Delta    []byte `cbor:"d,omitempty"`
	BaseHash string `cbor:"b,omitempty"`
}

// Ack answers a Push with the version that the receiver now holds.
type Ack struct {
	Number uint64 `cbor:"n"`
	Hash   string `cbor:"h"`
	// Missed counts the agents of the receiver's domain that a relay did not
	// reach; heartbeats repair them.
	Missed int `cbor:"m"`
	// NeedBody asks for the whole version because the delta did not fit.
	NeedBody bool `cbor:"f,omitempty"`
}

// Fetch is the body of peer.FetchVersion; the answer is a cluster.Version.
type Fetch struct {
	// AtLeast is the lowest version number that is of use to the sender.
	AtLeast uint64 `cbor:"n"`
}

const (
	// maxPushBytes holds two descriptions and their record.
	maxPushBytes  = 2*description.MaxBytes + 4096
	maxFieldBytes = 256
	// maxNesting and maxElements are above those of any message here; the
	// bodies are byte strings and count as one element.
	maxNesting  = 8
	maxElements = 64
)

var decoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxNestedLevels:  maxNesting,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

func decodePush(body []byte) (Push, error) {
	var push Push
	if len(body) > maxPushBytes {
		return push, result.New(result.PeerRefused, "push of %d bytes exceeds %d", len(body), maxPushBytes)
	}
	if err := decoding.Unmarshal(body, &push); err != nil {
		return push, result.New(result.PeerRefused, "push: %v", err)
	}
	return push, checkRecord(push.Version)
}

func decodeFetch(body []byte) (Fetch, error) {
	var fetch Fetch
	if len(body) > maxFieldBytes {
		return fetch, result.New(result.PeerRefused, "fetch of %d bytes exceeds %d", len(body), maxFieldBytes)
	}
	if err := decoding.Unmarshal(body, &fetch); err != nil {
		return fetch, result.New(result.PeerRefused, "fetch: %v", err)
	}
	return fetch, nil
}

// checkRecord refuses a version without a number or with an oversized field.
func checkRecord(v cluster.Version) error {
	if v.Number == 0 {
		return result.New(result.PeerRefused, "version 0 is not distributed")
	}
	if len(v.PatchID) > maxFieldBytes || len(v.Operator) > maxFieldBytes {
		return result.New(result.PeerRefused, "version %d: patch id or operator exceeds %d bytes", v.Number, maxFieldBytes)
	}
	return nil
}

// Check tells whether a version from outside is whole and valid: its body has
// its hash, and both bodies are valid descriptions.
func Check(v cluster.Version) error {
	if err := checkRecord(v); err != nil {
		return err
	}
	if description.Hash(v.Body) != v.Hash {
		return result.New(result.PeerRefused, "version %d: the body does not have the hash", v.Number)
	}
	if len(v.PreviousBody) > 0 {
		if _, err := description.Parse(v.PreviousBody); err != nil {
			return err
		}
	}
	_, err := description.Parse(v.Body)
	return err
}
