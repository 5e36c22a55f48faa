package peer

import (
	"bytes"
	"encoding/binary"
	"io"

	"github.com/fxamacker/cbor/v2"

	"github.com/sequoiacove/sequoiacove/pkg/result"
)

// headerBytes is the size of a frame header: one kind byte and the length.
const headerBytes = 5

// eagerBytes is the largest body whose buffer is allocated before its content
// has arrived.
const eagerBytes = 64 << 10

// Kinds of reply frames.
const (
	replyOK    = 0
	replyError = 1
)

// errorReply is the body of a reply that carries a result code.
type errorReply struct {
	Code   result.Code `cbor:"c"`
	Detail string      `cbor:"d"`
}

// maxDetailBytes bounds the detail text of an error reply.
const maxDetailBytes = 4 << 10

var decoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		MaxNestedLevels:  16,
		MaxArrayElements: 1 << 17,
		MaxMapPairs:      1 << 16,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// Encode returns the CBOR form of a message body; nil gives an empty body.
func Encode(msg any) ([]byte, error) {
	if msg == nil {
		return nil, nil
	}
	body, err := cbor.Marshal(msg)
	if err != nil {
		return nil, result.New(result.Internal, "encoding %T: %v", msg, err)
	}
	if len(body) > MaxMessageBytes {
		return nil, result.New(result.PeerRefused, "message of %d bytes exceeds %d", len(body), MaxMessageBytes)
	}
	return body, nil
}

// Decode reads a message body into v and fails with PeerProtocol.
func Decode(body []byte, v any) error {
	if v == nil {
		return nil
	}
	if err := decoding.Unmarshal(body, v); err != nil {
		return result.New(result.PeerProtocol, "decoding %T: %v", v, err)
	}
	return nil
}

// appendFrame returns a whole frame, so that a small message is one write.
func appendFrame(kind byte, body []byte) []byte {
	frame := make([]byte, headerBytes, headerBytes+len(body))
	frame[0] = kind
	binary.BigEndian.PutUint32(frame[1:], uint32(len(body)))
	return append(frame, body...)
}

// readFrame reads one frame. The buffer grows with the bytes that arrive, so a
// false length reserves no memory.
func readFrame(r io.Reader) (kind byte, body []byte, err error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return 0, nil, err
	}
	size := binary.BigEndian.Uint32(header[1:])
	if size > MaxMessageBytes {
		return 0, nil, result.New(result.PeerProtocol, "frame of %d bytes exceeds %d", size, MaxMessageBytes)
	}
	var buf bytes.Buffer
	if size <= eagerBytes {
		buf.Grow(int(size))
	}
	n, err := io.Copy(&buf, io.LimitReader(r, int64(size)))
	if err != nil {
		return 0, nil, err
	}
	if n < int64(size) {
		return 0, nil, io.ErrUnexpectedEOF
	}
	return header[0], buf.Bytes(), nil
}

// replyFrame encodes the answer of a handler.
func replyFrame(reply any, err error) []byte {
	if err == nil {
		var body []byte
		if body, err = Encode(reply); err == nil {
			return appendFrame(replyOK, body)
		}
	}
	detail := result.Detail(err)
	if len(detail) > maxDetailBytes {
		detail = detail[:maxDetailBytes]
	}
	body, _ := cbor.Marshal(errorReply{Code: result.CodeOf(err), Detail: detail})
	return appendFrame(replyError, body)
}

// readReply decodes a reply frame into reply, or returns the receiver's error.
func readReply(kind byte, body []byte, reply any) error {
	switch kind {
	case replyOK:
		return Decode(body, reply)
	case replyError:
		var e errorReply
		if err := Decode(body, &e); err != nil {
			return err
		}
		if e.Code == result.OK {
			return result.New(result.PeerProtocol, "error reply with code ok")
		}
		return result.New(e.Code, "%s", e.Detail)
	default:
		return result.New(result.PeerProtocol, "unknown reply kind %d", kind)
	}
}
