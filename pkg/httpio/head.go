package httpio

import (
	"bufio"
	"bytes"
	"strconv"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/net/http/httpguts"
)

// peekSection returns the next part of a message without consuming it. end returns the length
// of the part, 0 while it is incomplete.
func peekSection(b *bufio.Reader, end func(buffered []byte) int) ([]byte, error) {
	for n := 1; ; n = b.Buffered() + 1 {
		if n > b.Size() {
			return nil, errors.New("head or trailer exceeds the read buffer")
		}
		_, err := b.Peek(n)
		buffered, _ := b.Peek(b.Buffered())
		if length := end(buffered); length > 0 {
			return buffered[:length], nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// emptyLine returns the length of the empty line at the start of b, 0 if there is none.
func emptyLine(b []byte) int {
	switch {
	case bytes.HasPrefix(b, []byte("\r\n")):
		return 2
	case bytes.HasPrefix(b, []byte("\n")):
		return 1
	}
	return 0
}

// fieldsEnd returns the length of field lines including the empty line that ends them, 0 if
// they are incomplete.
func fieldsEnd(b []byte) int {
	for offset := 0; ; {
		if n := emptyLine(b[offset:]); n > 0 {
			return offset + n
		}
		lineEnd := bytes.IndexByte(b[offset:], '\n')
		if lineEnd < 0 {
			return 0
		}
		offset += lineEnd + 1
	}
}

// startLine returns the offsets of the first line that is not empty, which fasthttp takes for
// the start line, and of the field lines behind it; fields is 0 if the line is incomplete.
func startLine(b []byte) (start, fields int) {
	for n := emptyLine(b); n > 0; n = emptyLine(b[start:]) {
		start += n
	}
	if lineEnd := bytes.IndexByte(b[start:], '\n'); lineEnd >= 0 {
		fields = start + lineEnd + 1
	}
	return start, fields
}

// headEnd returns the length of a head including its empty line, 0 if it is incomplete.
func headEnd(b []byte) int {
	_, fields := startLine(b)
	if fields == 0 {
		return 0
	}
	end := fieldsEnd(b[fields:])
	if end == 0 {
		return 0
	}
	return fields + end
}

// peekTrailer returns a complete and valid trailer without consuming it.
func peekTrailer(b *bufio.Reader) ([]byte, error) {
	trailer, err := peekSection(b, fieldsEnd)
	if err != nil {
		return nil, err
	}
	return trailer, checkFields(trailer)
}

// CheckRequest returns a NotValid error of juju/errors if the head from which h was parsed has
// an invalid field name or end.
func CheckRequest(h *fasthttp.RequestHeader) error {
	fields := h.RawHeaders()
	if len(fields) == 0 {
		return nil
	}
	return checkFields(fields)
}

// checkResponseHead returns a NotValid error if the head is not that of a response, or if the
// length of the body does not follow from it without doubt.
func checkResponseHead(head []byte) error {
	start, fields := startLine(head)
	if err := checkStatus(head[start:fields]); err != nil {
		return err
	}
	if err := checkFields(head[fields:]); err != nil {
		return err
	}
	return checkFraming(head[fields:], bytes.HasPrefix(head[start:], []byte("HTTP/1.1 ")))
}

// checkFields returns a NotValid error if one of the field lines of a head or trailer has no
// valid name, or if they do not end with an empty line. fields includes that line.
//
// fasthttp accepts spaces inside a name, drops those behind it, so that "Content-Length " sets
// the length, and lets a line of a single LF end the fields, so that the rest of them becomes
// the start of the body. Lines that end with LF, and values on several lines, are accepted.
func checkFields(fields []byte) error {
	if !bytes.Equal(fields, []byte("\r\n")) && !bytes.HasSuffix(fields, []byte("\r\n\r\n")) {
		return errors.NotValidf("end of the fields")
	}
	afterField := false
	for line := range bytes.Lines(fields) {
		if emptyLine(line) > 0 {
			continue
		}
		if continues := line[0] == ' ' || line[0] == '\t'; continues && afterField {
			continue
		}
		afterField = true
		name, _, found := bytes.Cut(line, []byte(":"))
		if !found || !httpguts.ValidHeaderFieldName(string(name)) {
			return errors.NotValidf("field name in %.40q", line)
		}
	}
	return nil
}

// checkStatus rejects a status below 100. fasthttp reports 000 as 200 and takes the others for
// those of interim responses. A status above 599 is passed on; RFC 9110 has clients treat it
// as a server error.
func checkStatus(statusLine []byte) error {
	_, status, _ := bytes.Cut(statusLine, []byte(" "))
	status = bytes.TrimLeft(status, " ")
	if len(status) == 0 || status[0] < '1' || status[0] > '9' {
		return errors.NotValidf("status in %.40q", statusLine)
	}
	return nil
}

// checkFraming rejects fields from which the length of the body does not follow without doubt.
// fasthttp would use the last of several lengths, and a body cut there would pass for a
// complete one. It ignores the encoding in versions other than HTTP/1.1, and the sizes of the
// chunks would pass for content; RFC 9112 has such a response treated as faulty.
func checkFraming(fields []byte, isHTTP11 bool) error {
	lengths, encodings := 0, 0
	for line := range bytes.Lines(fields) {
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch value = bytes.TrimSpace(value); {
		case bytes.EqualFold(name, []byte("Content-Length")):
			lengths++
			if _, err := strconv.ParseUint(string(value), 10, 63); err != nil {
				return errors.NotValidf("content length %.40q", value)
			}
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			encodings++
		}
	}
	if encodings > 0 && !isHTTP11 {
		return errors.NotValidf("encoding of the body in a version other than HTTP/1.1")
	}
	if lengths+encodings > 1 {
		return errors.NotValidf("several lengths or encodings of the body")
	}
	return nil
}
