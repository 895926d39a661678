package srendpoint

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/peer/srwire"
)

// stream receives an answer in the background and buffers a limited number of tokens
// ahead of Next.
type stream struct {
	start  string
	cancel context.CancelFunc
	// closed is closed when the connection has been released.
	closed chan struct{}
	tokens chan sr.Token
	// err is why the stream ended. It is set before tokens is closed.
	err error
}

func newStream(resp *http.Response, cancel context.CancelFunc, limits Limits, after int) *stream {
	s := &stream{
		start:  resp.Header.Get(srwire.HeaderStart),
		cancel: cancel,
		closed: make(chan struct{}),
		tokens: make(chan sr.Token, limits.Window),
	}
	r := &lineReader{
		r:         bufio.NewReaderSize(resp.Body, limits.Line),
		remaining: limits.Answer,
		lastSeq:   after,
	}
	go s.readAll(r, resp.Body)
	return s
}

// Next implements sr.Stream. It returns io.EOF after the last token.
func (s *stream) Next(ctx context.Context) (sr.Token, error) {
	select {
	case t, ok := <-s.tokens:
		if !ok {
			return sr.Token{}, s.err
		}
		return t, nil
	case <-ctx.Done():
		return sr.Token{}, errors.Wrap(ctx.Err(), "srendpoint: next token")
	}
}

// Start implements sr.Stream.
func (s *stream) Start() string { return s.start }

// Close implements sr.Stream. It closes the connection and waits for the goroutine that
// reads from it.
func (s *stream) Close() error {
	s.cancel()
	for range s.tokens {
		continue
	}
	<-s.closed
	return nil
}

// readAll reads the answer to its end and closes the body.
func (s *stream) readAll(r *lineReader, body io.Closer) {
	defer close(s.closed)
	defer s.cancel()
	defer body.Close()
	s.err = s.copyTokens(r)
	close(s.tokens)
}

// copyTokens passes tokens to Next. It returns io.EOF after the last one.
func (s *stream) copyTokens(r *lineReader) error {
	for {
		t, err := r.next()
		if err != nil {
			return err
		}
		s.tokens <- t
		if t.End {
			return io.EOF
		}
	}
}

// lineReader reads the tokens of an answer, one a line, and checks their sequence
// numbers.
type lineReader struct {
	r *bufio.Reader
	// remaining is the number of bytes that the answer may still have.
	remaining int64
	// lastSeq is the sequence number of the last token returned.
	lastSeq int
}

// next returns the next token and skips those already received. A gap in the sequence
// numbers is an error.
func (r *lineReader) next() (sr.Token, error) {
	for {
		t, err := r.readLine()
		if err != nil {
			return sr.Token{}, err
		}
		if t.Seq <= r.lastSeq {
			continue
		}
		if t.Seq > r.lastSeq+1 {
			return sr.Token{}, errors.Wrapf(sr.ErrConnectionLost, "srendpoint: token %d came after token %d", t.Seq, r.lastSeq)
		}
		r.lastSeq = t.Seq
		return t, nil
	}
}

// readLine reads one line, which is invalid if its sequence number is below 1.
func (r *lineReader) readLine() (sr.Token, error) {
	line, err := r.r.ReadSlice('\n')
	if err != nil {
		return sr.Token{}, errors.Wrapf(sr.ErrConnectionLost, "srendpoint: read: %v", err)
	}
	r.remaining -= int64(len(line))
	if r.remaining < 0 {
		return sr.Token{}, errors.Wrap(sr.ErrConnectionLost, "srendpoint: answer is too long")
	}
	var t srwire.Token
	if err := json.Unmarshal(line, &t); err != nil {
		return sr.Token{}, errors.Wrapf(sr.ErrConnectionLost, "srendpoint: line: %v", err)
	}
	if t.Seq < 1 {
		return sr.Token{}, errors.Wrapf(sr.ErrConnectionLost, "srendpoint: token %d", t.Seq)
	}
	return t.Token(), nil
}
