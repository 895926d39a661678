package srendpoint

import (
	"bufio"
	"bytes"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	sr "github.com/sassafrasrail/sassafrasrail"
)

func FuzzTokens(f *testing.F) {
	f.Add([]byte("{\"seq\":1,\"text\":\"a\"}\n{\"seq\":2,\"end\":true}\n"), 0)
	f.Add([]byte("{\"seq\":3,\"text\":\"a\"}\n{\"seq\":3}\n{\"seq\":5}\n"), 2)
	f.Add([]byte("{\"seq\":-1}\n"), 0)
	f.Add([]byte("{\"seq\":1"), 0)
	f.Add([]byte("[]\n"), 0)
	f.Fuzz(func(t *testing.T, data []byte, after int) {
		limits := DefaultLimits()
		r := &lineReader{r: bufio.NewReaderSize(bytes.NewReader(data), limits.Line), remaining: limits.Answer, lastSeq: after}
		last := after
		for {
			token, err := r.next()
			if err != nil {
				assert.Assert(t, errors.Is(err, sr.ErrConnectionLost), "got %v", err)
				return
			}
			assert.Equal(t, token.Seq, last+1)
			last = token.Seq
		}
	})
}
