package transfer

import (
	"bytes"
	"crypto/sha256"
	"sync"

	"github.com/juju/errors"
	"github.com/klauspost/compress/zstd"
)

const (
	// diffWindowBytes is the compression window of a difference. It covers a state and its
	// predecessor, so that what both have in common is found. windowBytes is that of other
	// states.
	diffWindowBytes = 8 << 20
	windowBytes     = 1 << 20
	// maxStateBytes limits a state that Patch or Decompress restores.
	maxStateBytes = 16 << 20
	// baseID identifies the base in a compressed difference; any non-zero number serves.
	baseID = 1
)

// Diff returns target as a compressed difference to base.
func Diff(base, target []byte) ([]byte, error) {
	// The faster levels skip ahead in text that they can't compress and then miss what it has
	// in common with the base.
	e, err := newEncoder(zstd.SpeedBetterCompression, diffWindowBytes, zstd.WithEncoderDictRaw(baseID, base))
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer func() { _ = e.Close() }()
	return e.EncodeAll(target, nil), nil
}

// Patch restores the target of a Diff from its base. It returns an error unless the result
// has the given SHA-256 digest.
func Patch(base, diff, digest []byte) ([]byte, error) {
	d, err := newDecoder(zstd.WithDecoderDictRaw(baseID, base))
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer d.Close()
	target, err := d.DecodeAll(diff, nil)
	if err != nil {
		return nil, errors.Annotate(err, "difference does not fit its base")
	}
	if !bytes.Equal(Digest(target), digest) {
		return nil, errors.New("difference does not restore the stated version")
	}
	return target, nil
}

// DiffCache keeps the differences to one target, so that each is computed once however many
// peers ask for it. The zero value is empty.
type DiffCache struct {
	mu     sync.Mutex
	target string
	diffs  map[string][]byte
}

// Diff returns the difference between two states, which their names identify. It returns false
// if it is not smaller than the target.
func (c *DiffCache) Diff(baseName, targetName string, base, target []byte) (diff []byte, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.target != targetName || c.diffs == nil {
		c.target, c.diffs = targetName, make(map[string][]byte)
	}
	diff, known := c.diffs[baseName]
	if !known {
		// An error leaves the difference empty, which no difference is.
		diff, _ = Diff(base, target)
		c.diffs[baseName] = diff
	}
	return diff, len(diff) > 0 && len(diff) < len(target)
}

// Digest returns the SHA-256 digest of a state.
func Digest(state []byte) []byte {
	d := sha256.Sum256(state)
	return d[:]
}

// coder compresses and decompresses states that need no base. It is kept, because small states
// are compressed several times a second.
var coder = sync.OnceValues(func() (*zstd.Encoder, *zstd.Decoder) {
	e, encoderErr := newEncoder(zstd.SpeedFastest, windowBytes)
	d, decoderErr := newDecoder()
	if encoderErr != nil || decoderErr != nil {
		// The options are constants, so an error is a bug.
		panic(errors.Errorf("%v, %v", encoderErr, decoderErr))
	}
	return e, d
})

// Compress returns the compressed state.
func Compress(state []byte) []byte {
	e, _ := coder()
	return e.EncodeAll(state, nil)
}

// Decompress restores a state that Compress has compressed.
func Decompress(compressed []byte) ([]byte, error) {
	_, d := coder()
	state, err := d.DecodeAll(compressed, nil)
	return state, errors.Trace(err)
}

// IsCompressed reports whether a state begins as Compress begins it. No CBOR map begins so.
func IsCompressed(start []byte) bool {
	return bytes.HasPrefix(start, []byte{0x28, 0xb5, 0x2f, 0xfd})
}

func newEncoder(level zstd.EncoderLevel, window int, options ...zstd.EOption) (*zstd.Encoder, error) {
	return zstd.NewWriter(nil, append(options, zstd.WithEncoderLevel(level), zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(window), zstd.WithLowerEncoderMem(true))...)
}

func newDecoder(options ...zstd.DOption) (*zstd.Decoder, error) {
	return zstd.NewReader(nil, append(options, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxStateBytes), zstd.WithDecoderMaxWindow(diffWindowBytes))...)
}
