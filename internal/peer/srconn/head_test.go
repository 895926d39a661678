package srconn

import (
	"bufio"
	"bytes"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// headSeeds are heads that are sound, malformed or incomplete, with the bytes that follow.
var headSeeds = []string{
	"", "\r\n", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200\n\n", "HTTP/1.0 200 OK\r\nA: b\r\n\r\nbody",
	"HTTP/1.1 000 X\r\n\r\n", "HTTP/1.1 099 X\r\n\r\n", "HTTP/1.1 +20 X\r\n\r\n", "HTTP/1.1 -00 X\r\n\r\n", "HTTP/1.1  200 OK\r\n\r\n", "HTTP/1.1 2000\r\n\r\n",
	"HTTP/1.1 101 X\r\n\r\n", "HTTP/2.0 200 OK\r\n\r\n", "HTTP/1.1 200 O\x00K\r\n\r\n", "HTTP/1.1 200 OK\r\r\n\r\n",
	"HTTP/1.1 100 X\r\n\r\nHTTP/1.1 103 X\r\nLink: <a>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx",
	"HTTP/1.1 103 X\r\nContent-Length: 19\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 103 X\r\nTransfer-Encoding: chunked\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
	"HTTP/1.1 103 X\r\nContent-Length: 1\r\n\r\nxHTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 103 X\r\nContent-Length: 0\r\n\r\nHTTP/1.1 204 X\r\n\r\n",
	"HTTP/1.1 103 X\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 204 X\r\nContent-Length: 05\r\n\r\n",
	"HTTP/1.1 200 OK\r\nA B: c\r\n\r\n", "HTTP/1.1 200 OK\r\nA : c\r\n\r\n", "HTTP/1.1 200 OK\r\n: c\r\n\r\n", "HTTP/1.1 200 OK\r\nA\r\n\r\n", "HTTP/1.1 200 OK\r\n A: c\r\n\r\n",
	"HTTP/1.1 200 OK\r\nA: b\r\n c: d\r\n\te\r\n \r\nF: g\r\n\r\n", "HTTP/1.1 200 OK\r\nA: \x00\r\n\r\n", "HTTP/1.1 200 OK\r\nA: b\rc\r\n\r\n", "HTTP/1.1 200 OK\r\nA\x80: b\xff\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\n", "HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n",
}

// token matches the names that fields may have.
var token = regexp.MustCompile("^[-!#$%&'*+.^_`|~0-9A-Za-z]+$")

// FuzzHead: a head that Head accepts is read by the parser to the same byte, and says there what
// it says on the wire. Pieces in which it arrives make no difference.
func FuzzHead(f *testing.F) {
	for _, seed := range headSeeds {
		f.Add([]byte(seed), byte(0))
	}
	f.Fuzz(func(t *testing.T, data []byte, size byte) {
		head, taken, err := addAll(data, len(data)+1)
		inPieces, takenInPieces, errInPieces := addAll(data, int(size)+1)
		assert.Equal(t, takenInPieces, taken)
		assert.Equal(t, errInPieces == nil, err == nil)
		assert.Equal(t, inPieces.state, head.state)
		if err != nil {
			return
		}
		source := bytes.NewReader(data)
		r := bufio.NewReaderSize(source, 16)
		for {
			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				return
			}
			for name := range resp.Header {
				assert.Assert(t, token.MatchString(name), "name %q", name)
			}
			assert.Assert(t, resp.StatusCode >= 100 && resp.StatusCode != http.StatusSwitchingProtocols && resp.ProtoMajor == 1)
			if resp.StatusCode < http.StatusOK {
				assert.Assert(t, len(resp.TransferEncoding) == 0 && strings.Trim(resp.Header.Get("Content-Length"), "0") == "")
				continue
			}
			end := len(data) - source.Len() - r.Buffered()
			before, _, _ := addAll(data[:end-1], end)
			until, _, _ := addAll(data[:end], end)
			assert.Assert(t, before.state != headDone && until.state == headDone)
			encoded := resp.StatusCode != http.StatusNoContent && bytes.Contains(lastHead(data[:end]), []byte("\ntransfer-encoding:"))
			assert.Equal(t, len(resp.TransferEncoding) > 0, encoded)
			return
		}
	})
}

// addAll adds data in pieces of some size, and returns how many bytes Add has taken.
func addAll(data []byte, size int) (h Head, taken int, err error) {
	h.Begin()
	for piece := range slices.Chunk(data, size) {
		n, err := h.Add(piece)
		taken += n
		if err != nil {
			return h, taken, err
		}
	}
	return h, taken, nil
}

// lastHead returns the last head of an answer and its interim ones, in lower case.
func lastHead(heads []byte) []byte {
	lower := bytes.ToLower(heads)
	return lower[max(bytes.LastIndex(lower, []byte("\nhttp/1.")), 0):]
}
