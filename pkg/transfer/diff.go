package transfer

import (
	"bytes"
	"crypto/sha256"

	"github.com/juju/errors"
	"github.com/klauspost/compress/zstd"
)

const (
	// windowBytes is the compression window. It covers a state and its predecessor, so that
	// what both have in common is found.
	windowBytes = 8 << 20
	// maxStateBytes limits a state that Patch or Decompress restores.
	maxStateBytes = 32 << 20
	// baseID identifies the base in a compressed difference; any non-zero number serves.
	baseID = 1
)

// Diff returns target as a compressed difference to base.
func Diff(base, target []byte) ([]byte, error) {
	// The faster levels skip ahead in text that they can't compress and then miss what it has
	// in common with the base.
	return compress(target, zstd.SpeedBetterCompression, zstd.WithEncoderDictRaw(baseID, base))
}

// Patch restores the target of a Diff from its base. It returns an error unless the result
// has the given SHA-256 digest.
func Patch(base, diff, digest []byte) ([]byte, error) {
	target, err := decompress(diff, zstd.WithDecoderDictRaw(baseID, base))
	if err != nil {
		return nil, errors.Annotate(err, "difference does not fit its base")
	}
	if !bytes.Equal(Digest(target), digest) {
		return nil, errors.New("difference does not restore the stated version")
	}
	return target, nil
}

// Digest returns the SHA-256 digest of a state.
func Digest(state []byte) []byte {
	d := sha256.Sum256(state)
	return d[:]
}

// Compress returns the compressed state.
func Compress(state []byte) ([]byte, error) { return compress(state, zstd.SpeedFastest) }

// Decompress restores a state that Compress has compressed.
func Decompress(compressed []byte) ([]byte, error) { return decompress(compressed) }

// IsCompressed reports whether a state begins as Compress begins it. No CBOR map begins so.
func IsCompressed(start []byte) bool {
	return bytes.HasPrefix(start, []byte{0x28, 0xb5, 0x2f, 0xfd})
}

func compress(state []byte, level zstd.EncoderLevel, options ...zstd.EOption) ([]byte, error) {
	options = append(options, zstd.WithEncoderLevel(level), zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(windowBytes), zstd.WithLowerEncoderMem(true))
	e, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer func() { _ = e.Close() }()
	return e.EncodeAll(state, nil), nil
}

func decompress(compressed []byte, options ...zstd.DOption) ([]byte, error) {
	options = append(options, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxStateBytes), zstd.WithDecoderMaxWindow(windowBytes))
	d, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer d.Close()
	state, err := d.DecodeAll(compressed, nil)
	return state, errors.Trace(err)
}
