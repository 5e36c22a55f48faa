// Package revision orders the states of the platform's store.
//
// The store counts its transactions. When it comes back from an older copy of itself, it has
// lost the last of them, gives their numbers out again and states the next era. The order of
// its states is therefore that of the era first and of the number second. Numbers of two eras
// are not comparable: the same number may stand for other content.
package revision

import (
	"cmp"
	"fmt"
	"math"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
)

// Revision is a state of the store, or the state in which a row was last written. The zero
// value comes before all others.
type Revision struct {
	// Era is the number of times that the store has come back from an older copy, 0 if the
	// store does not state it.
	Era int64 `json:"era"`
	// Number is the store's count of transactions.
	Number int64 `json:"number"`
}

// Compare returns -1, 0 or 1 if r comes before o, is equal to it or comes after it.
func (r Revision) Compare(o Revision) int {
	return cmp.Or(cmp.Compare(r.Era, o.Era), cmp.Compare(r.Number, o.Number))
}

// Before reports whether r comes before o.
func (r Revision) Before(o Revision) bool { return r.Compare(o) < 0 }

// After reports whether r comes after o.
func (r Revision) After(o Revision) bool { return r.Compare(o) > 0 }

// IsZero reports whether r is the zero value.
func (r Revision) IsZero() bool { return r == Revision{} }

// String implements fmt.Stringer. The era is left out if it is 0.
func (r Revision) String() string {
	if r.Era == 0 {
		return fmt.Sprint(r.Number)
	}
	return fmt.Sprintf("%d.%d", r.Era, r.Number)
}

// eraTag plus the era is the CBOR tag of the number of a revision with an era. Decoders that
// don't know the tag, as those of releases without eras, pass over it and read the number.
const eraTag = 0x5ea00000

// MarshalCBOR implements cbor.Marshaler. A revision without an era is encoded as its number.
func (r Revision) MarshalCBOR() ([]byte, error) {
	if r.Era <= 0 {
		return cbor.Marshal(r.Number)
	}
	return cbor.Marshal(cbor.Tag{Number: eraTag + uint64(r.Era), Content: r.Number})
}

// UnmarshalCBOR implements cbor.Unmarshaler.
func (r *Revision) UnmarshalCBOR(data []byte) error {
	var tag cbor.RawTag
	if cbor.Unmarshal(data, &tag) != nil {
		tag = cbor.RawTag{Number: eraTag, Content: data}
	}
	if tag.Number < eraTag || tag.Number-eraTag > math.MaxInt64 {
		return errors.Errorf("CBOR tag %d is not one of an era", tag.Number)
	}
	var number int64
	if err := cbor.Unmarshal(tag.Content, &number); err != nil {
		return err
	}
	*r = Revision{Era: int64(tag.Number - eraTag), Number: number}
	return nil
}
