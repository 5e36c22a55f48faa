package peer

import (
	"bytes"
	"encoding/binary"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/result"
)

// Guards against frames from outside that crash the reader, reserve memory
// for bytes that never arrive, or are read with another length than stated.
func FuzzReadFrame(f *testing.F) {
	f.Add(appendFrame(byte(Ping), nil))
	f.Add(appendFrame(byte(Forward), []byte{0xa1, 0x61, 'r', 0xf6}))
	f.Add([]byte{1, 0xff, 0xff, 0xff, 0xff, 0})
	f.Add([]byte{1, 0, 0, 0, 9, 'x'})
	f.Fuzz(func(t *testing.T, data []byte) {
		kind, body, err := readFrame(bytes.NewReader(data))
		if err != nil {
			return
		}
		require.Equal(t, data[0], kind)
		require.Equal(t, binary.BigEndian.Uint32(data[1:]), uint32(len(body)))
		require.Equal(t, data[:headerBytes+len(body)], appendFrame(kind, body))
		require.LessOrEqual(t, cap(body), 4*len(data)+eagerBytes)
	})
}

// Guards against replies from outside that crash the sender or that carry an
// error which counts as success.
func FuzzReadReply(f *testing.F) {
	f.Add(byte(replyOK), []byte{0x61, 'x'})
	f.Add(byte(replyError), replyFrame(nil, result.New(result.QueueFull, "full"))[headerBytes:])
	f.Add(byte(replyError), []byte{0xa1, 0x61, 'c', 0x19, 0x03, 0xe8})
	f.Add(byte(9), []byte{})
	f.Fuzz(func(t *testing.T, kind byte, body []byte) {
		var reply any
		err := readReply(kind, body, &reply)
		if kind != replyOK {
			require.Error(t, err)
			require.NotEqual(t, result.OK, result.CodeOf(err))
		}
	})
}
