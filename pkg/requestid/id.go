// Package requestid issues request identifiers and keeps the outcome of the
// requests that carry them, so that each runs at most once.
//
// An identifier names the service, the issuing instance and its incarnation, a
// serial and the issue time, and carries a hash keyed by the issuer. Only the
// issuing incarnation verifies it; other instances read the names to forward
// the request. The table of the issuer records an identifier before anything
// is sent. An identifier expires before its record does, so a record that is
// missing means that the request never started here.
package requestid

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/request"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

const (
	// Lifetime is how long an identifier is accepted after its issue.
	Lifetime = 10 * time.Minute
	// MaxTextBytes bounds the text of an identifier.
	MaxTextBytes = 512

	maxInstanceBytes = 255
	macBytes         = 16
	formatVersion    = 1
	// fixedBytes counts the version, two name lengths, the incarnation, the
	// serial, the issue time and the hash.
	fixedBytes = 1 + 1 + 1 + 8 + 8 + 8 + macBytes
)

var encoding = base64.RawURLEncoding.Strict()

// ID is a decoded identifier.
type ID struct {
	Service     string
	Instance    string
	Incarnation uint64
	Serial      uint64
	// Issued is the time of issue since the start of the incarnation.
	Issued time.Duration

	mac [macBytes]byte
}

// Parse decodes the text of an identifier without verifying its hash.
func Parse(text string) (ID, error) {
	if len(text) > MaxTextBytes {
		return ID{}, malformed("longer than %d bytes", MaxTextBytes)
	}
	raw, err := encoding.DecodeString(text)
	if err != nil || len(raw) < fixedBytes || raw[0] != formatVersion {
		return ID{}, malformed("not an identifier of this system")
	}
	var id ID
	rest := raw[1:]
	if id.Service, rest, err = readName(rest, request.MaxServiceBytes); err != nil {
		return ID{}, err
	}
	if id.Instance, rest, err = readName(rest, maxInstanceBytes); err != nil {
		return ID{}, err
	}
	if len(rest) != 3*8+macBytes {
		return ID{}, malformed("wrong length")
	}
	id.Incarnation = binary.BigEndian.Uint64(rest)
	id.Serial = binary.BigEndian.Uint64(rest[8:])
	id.Issued = time.Duration(binary.BigEndian.Uint64(rest[16:]))
	copy(id.mac[:], rest[24:])
	return id, nil
}

func readName(raw []byte, limit int) (name string, rest []byte, err error) {
	if len(raw) == 0 || int(raw[0]) > limit || len(raw) < 1+int(raw[0]) || raw[0] == 0 {
		return "", nil, malformed("bad name")
	}
	n := int(raw[0])
	return string(raw[1 : 1+n]), raw[1+n:], nil
}

func malformed(format string, args ...any) error {
	return result.New(result.RequestIDMalformed, format, args...)
}

// payload returns the bytes of the identifier that the hash covers.
func (id ID) payload() []byte {
	raw := make([]byte, 0, fixedBytes+len(id.Service)+len(id.Instance))
	raw = append(raw, formatVersion, byte(len(id.Service)))
	raw = append(raw, id.Service...)
	raw = append(raw, byte(len(id.Instance)))
	raw = append(raw, id.Instance...)
	raw = binary.BigEndian.AppendUint64(raw, id.Incarnation)
	raw = binary.BigEndian.AppendUint64(raw, id.Serial)
	return binary.BigEndian.AppendUint64(raw, uint64(id.Issued))
}

// String returns the text form, which is safe in headers, URLs and JSON.
func (id ID) String() string {
	return encoding.EncodeToString(append(id.payload(), id.mac[:]...))
}

func sign(key, payload []byte) [macBytes]byte {
	h := hmac.New(sha256.New, key)
	h.Write(payload)
	var mac [macBytes]byte
	copy(mac[:], h.Sum(nil))
	return mac
}
