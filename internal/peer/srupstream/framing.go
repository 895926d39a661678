package srupstream

import (
	"net/http"

	"github.com/sassafrasrail/sassafrasrail/internal/peer/srconn"
)

// Framing is the way in which the end of an answer's body is marked.
type Framing uint8

// Framings.
const (
	// FramingLength: the header states the length, or that there is no body.
	FramingLength Framing = iota + 1
	// FramingChunks: the last chunk marks the end.
	FramingChunks
	// FramingClose: the body ends with the connection. The end of a connection does not
	// prove that the body is complete.
	FramingClose
)

// String returns the name of the framing in logs, "" for none.
func (f Framing) String() string {
	names := []string{"", "length", "chunks", "close"}
	return names[f]
}

// framingOf returns the framing of a response.
func framingOf(resp *http.Response) Framing {
	switch {
	case srconn.EndsWithConnection(resp):
		return FramingClose
	case len(resp.TransferEncoding) > 0:
		return FramingChunks
	}
	return FramingLength
}
