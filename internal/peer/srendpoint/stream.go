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

// stream reads an answer ahead of its reader by a bounded number of tokens.
type stream struct {
	start  string
	cancel context.CancelFunc
	closed chan struct{}
	tokens chan sr.Token
	// err is set before tokens is closed.
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
		r:    bufio.NewReaderSize(resp.Body, limits.Line),
		left: limits.Answer,
		last: after,
	}
	go s.run(r, resp.Body)
	return s
}

// Next implements sr.Stream. It returns io.EOF behind the last token.
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

// Close implements sr.Stream. It closes the connection and waits for the reader.
func (s *stream) Close() error {
	s.cancel()
	for range s.tokens {
		continue
	}
	<-s.closed
	return nil
}

func (s *stream) run(r *lineReader, body io.Closer) {
	defer close(s.closed)
	defer s.cancel()
	defer body.Close()
	s.err = s.copy(r)
	close(s.tokens)
}

func (s *stream) copy(r *lineReader) error {
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

// lineReader reads the tokens of an answer and checks their order.
type lineReader struct {
	r    *bufio.Reader
	left int64
	last int
}

// next returns the next token that was not seen before.
func (r *lineReader) next() (sr.Token, error) {
	for {
		t, err := r.read()
		if err != nil {
			return sr.Token{}, err
		}
		if t.Seq <= r.last {
			continue
		}
		if t.Seq > r.last+1 {
			return sr.Token{}, errors.Wrapf(sr.ErrConnectionLost, "srendpoint: token %d came after token %d", t.Seq, r.last)
		}
		r.last = t.Seq
		return t, nil
	}
}

func (r *lineReader) read() (sr.Token, error) {
	line, err := r.r.ReadSlice('\n')
	if err != nil {
		return sr.Token{}, errors.Wrapf(sr.ErrConnectionLost, "srendpoint: read: %v", err)
	}
	r.left -= int64(len(line))
	if r.left < 0 {
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
