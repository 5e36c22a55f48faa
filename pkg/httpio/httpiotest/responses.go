// Package httpiotest provides responses that are broken, or unusual but valid, and a server
// that sends them byte for byte.
package httpiotest

import (
	"strconv"
	"strings"
)

// Response is the text of a response with the placeholders {fields}, {length} and {body}.
type Response string

// With returns the response with the given field lines, each ended by CRLF, and body.
func (r Response) With(fields, body string) string {
	chunked := "0\r\n"
	if body != "" {
		chunked = strconv.FormatInt(int64(len(body)), 16) + "\r\n" + body + "\r\n" + chunked
	}
	return strings.NewReplacer("{fields}", fields, "{length}", strconv.Itoa(len(body)), "{body}", body, "{chunked}", chunked).Replace(string(r))
}

const (
	okHead   = "HTTP/1.1 200 OK\r\n{fields}Content-Length: {length}\r\n"
	okAnswer = okHead + "\r\n{body}"
	// chunkedAnswer ends before the trailer.
	chunkedAnswer = "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n{chunked}"
)

// InvalidStatus holds responses whose status is not one of HTTP, also where only an interim
// response or empty lines come before.
var InvalidStatus = map[string]Response{
	"status 000":                     withStatus("000 OK"),
	"status 000 without phrase":      withStatus("000"),
	"status 000 after more spaces":   withStatus("  000 OK"),
	"status 001":                     withStatus("001 OK"),
	"status 099":                     withStatus("099 OK"),
	"status of one digit":            withStatus("2 OK"),
	"status of two digits":           withStatus("20 OK"),
	"status of four digits":          withStatus("2000 OK"),
	"status with a sign":             withStatus("+20 OK"),
	"status that is no number":       withStatus("2O0 OK"),
	"no status":                      withStatus(""),
	"status 000 after an empty line": "\r\n" + withStatus("000 OK"),
	"status 000 after empty lines":   "\r\n\r\n" + withStatus("000 OK"),
	"status 000 after bare LFs":      "\n\n" + withStatus("000 OK"),
	"status 000 after an interim":    "HTTP/1.1 100 Continue\r\n\r\n" + withStatus("000 OK"),
	"interim response of status 000": "HTTP/1.1 000 Continue\r\n\r\n" + okAnswer,
	"interim response of status 099": "HTTP/1.1 099 Continue\r\n\r\n" + okAnswer,
}

func withStatus(status string) Response {
	return Response(strings.Replace(okAnswer, "200 OK", status, 1))
}

// BrokenFraming holds responses that end early, or whose length does not follow from the head
// without doubt.
var BrokenFraming = map[string]Response{
	"short of its length":      "HTTP/1.1 200 OK\r\n{fields}Content-Length: 999\r\n\r\n{body}",
	"two lengths":              okHead + "Content-Length: 0\r\n\r\n{body}",
	"a length and chunks":      okHead + "Transfer-Encoding: chunked\r\n\r\n{chunked}\r\n",
	"length that is no number": "HTTP/1.1 200 OK\r\n{fields}Content-Length: {length}x\r\n\r\n{body}",
	"unknown coding":           "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: gzip\r\n\r\n{body}",
	"chunks without their end": chunkedAnswer,
	"chunks in HTTP/1.0":       "HTTP/1.0 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n{chunked}\r\n",
	"chunks in HTTP/2.0":       "HTTP/2.0 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n{chunked}\r\n",
	"head without its end":     okHead,
	"101 interim responses":    withInterims(101),
}

func withInterims(count int) Response {
	return Response(strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", count)) + okAnswer
}

// InvalidNames holds names of fields that are no tokens of RFC 9110.
var InvalidNames = []string{"", "X Fill", "X-Fill ", "X-Fill  ", "Content-Length ", "Content -Length", "Transfer-Encoding ", "X\tFill", "X-Fill\t",
	"\x00X-Fill", "X\x01Fill", "X-Fill\x7f", "X\x0bFill", "\x0cX-Fill", "X\rFill", "X-Fill\r", "\rX-Fill", "X\nFill", "X-Fill\n", "\nX-Fill", "\n\nX-Fill", "\n",
	"X-F\xe9ll", "X(Fill)", "X\"Fill\"", "X/Fill", "X@Fill", "X,Fill", "X[Fill]", "X{Fill}", "X=Fill", "X;Fill", "X?Fill", "X<Fill>", "X\\Fill"}

// InvalidFields returns responses with a field whose name is none of HTTP: in the head, in that
// of an interim response, or in the trailer.
func InvalidFields() map[string]Response {
	all := map[string]Response{
		"first line starts with a space": "HTTP/1.1 200 OK\r\n X-Fill: 3\r\n{fields}Content-Length: {length}\r\n\r\n{body}",
		"line without a colon":           okHead + "X-Fill\r\n\r\n{body}",
		"trailer without a colon":        chunkedAnswer + "X-Fill\r\n\r\n",
		"head that ends with LF LF":      okHead + "X-A: 1\n\n{body}\r\n\r\n",
		"head that ends with LF CR LF":   okHead + "X-A: 1\n\r\n{body}\r\n\r\n",
		"head that ends with CR LF LF":   okHead + "\n{body}\r\n\r\n",
		"trailer that ends with LF":      chunkedAnswer + "\nX-A: 1\r\n\r\n",
	}
	for _, name := range InvalidNames {
		line := Response(name + ": 2\r\n")
		quoted := strconv.Quote(name)
		all[quoted+" in the head"] = okHead + line + "\r\n{body}"
		all[quoted+" first in the head"] = "HTTP/1.1 200 OK\r\n" + line + "{fields}Content-Length: {length}\r\n\r\n{body}"
		all[quoted+" in a head without a length"] = "HTTP/1.1 200 OK\r\n{fields}" + line + "\r\n{body}"
		all[quoted+" in an interim response"] = "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n" + okAnswer
		all[quoted+" in the trailer"] = chunkedAnswer + line + "\r\n"
		all[quoted+" second in the trailer"] = chunkedAnswer + "X-Sum: 1\r\n" + line + "\r\n"
	}
	return all
}

// Valid holds responses with status 200 that are unusual but valid, or that recipients may
// accept because they can be read in one way only.
var Valid = map[string]Response{
	"usual":                         okAnswer,
	"no reason phrase":              withStatus("200"),
	"empty reason phrase":           withStatus("200 "),
	"other reason phrase":           withStatus("200 \"Fine\", 000: \xe9"),
	"empty lines before":            "\r\n\r\n" + okAnswer,
	"HTTP/1.0 until the end":        "HTTP/1.0 200 OK\r\n{fields}\r\n{body}",
	"until the end":                 "HTTP/1.1 200 OK\r\n{fields}\r\n{body}",
	"interim responses":             "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>; rel=preload\r\nlink: x\r\n\r\n" + okAnswer,
	"100 interim responses":         withInterims(100),
	"names in other case":           "HTTP/1.1 200 OK\r\n{fields}cONTENT-lENGTH: {length}\r\n\r\n{body}",
	"chunks":                        chunkedAnswer + "\r\n",
	"coding in other case":          "HTTP/1.1 200 OK\r\n{fields}transfer-encoding: Chunked\r\n\r\n{chunked}\r\n",
	"trailer":                       chunkedAnswer + "X-Sum: 1\r\nx-other:\r\n\r\n",
	"announced trailer":             "HTTP/1.1 200 OK\r\n{fields}Trailer: X-Sum\r\nTransfer-Encoding: chunked\r\n\r\n{chunked}X-Sum: 1\r\n\r\n",
	"length with zeros before":      "HTTP/1.1 200 OK\r\n{fields}Content-Length: 000{length}\r\n\r\n{body}",
	"no space before a value":       "HTTP/1.1 200 OK\r\n{fields}Content-Length:{length}\r\nX-A:b\r\n\r\n{body}",
	"spaces and tabs around values": "HTTP/1.1 200 OK\r\n{fields}Content-Length: \t {length} \t\r\nX-A:\t b c\t\r\n\r\n{body}",
	"empty values":                  okHead + "X-A:\r\nX-B: \r\n\r\n{body}",
	"value of other bytes":          okHead + "X-A: caf\xe9 \xff \"q\" a:b\tc\r\n\r\n{body}",
	"all bytes of a name":           okHead + "!#$%&'*+-.^_`|~09azAZ: x\r\n\r\n{body}",
	"repeated fields":               okHead + "X-A: 1\r\nX-A: 2\r\nx-a: 3\r\nSet-Cookie: a=b\r\nSet-Cookie: c=d\r\n\r\n{body}",
	"folded value":                  okHead + "X-A: 1,\r\n 2,\r\n\t3\r\nX-B: 4\r\n\r\n{body}",
	"lines that end with LF":        okHead + "X-A: 1\nX-B: 2\r\n\r\n{body}",
}
