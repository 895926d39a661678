package srengine

import (
	"context"
	"io"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// stream is one connection that reads the answer of a job.
type stream struct {
	e *Engine
	j *job
	// after is the sequence number of the last token returned.
	after  int
	ready  chan struct{}
	broken bool
	closed bool
	ended  bool
}

// Next returns the next token, or io.EOF after the last one.
func (s *stream) Next(ctx context.Context) (sr.Token, error) {
	for {
		t, ok, err := s.poll()
		if ok || err != nil {
			return t, err
		}
		select {
		case <-ctx.Done():
			return sr.Token{}, errors.Wrap(ctx.Err(), "srengine: next token")
		case <-s.ready:
		}
	}
}

// Start identifies the engine process that accepted the request.
func (s *stream) Start() string { return s.j.start }

// Close closes the connection. The engine continues the request.
func (s *stream) Close() error {
	s.e.mu.Lock()
	defer s.e.mu.Unlock()
	s.closed = true
	delete(s.j.streams, s)
	s.wake()
	return nil
}

// poll returns the next token if there is one.
func (s *stream) poll() (t sr.Token, ok bool, err error) {
	s.e.mu.Lock()
	defer s.e.mu.Unlock()
	switch {
	case s.closed:
		return t, false, errors.New("srengine: stream is closed")
	case s.ended:
		return t, false, io.EOF
	case s.broken, s.j.lost:
		return t, false, errors.Wrapf(sr.ErrConnectionLost, "srengine: stream %s", s.j.d.Stream)
	case s.after < s.j.generated:
		s.after++
		return sr.Token{Seq: s.after, Text: word(s.j.digest, s.after-1)}, true, nil
	case s.j.ended:
		s.ended = true
		delete(s.j.streams, s)
		return sr.Token{Seq: s.after + 1, End: true, Cut: s.j.cut}, true, nil
	}
	return t, false, nil
}

// wake makes a waiting Next poll again. The caller holds the engine's lock.
func (s *stream) wake() {
	select {
	case s.ready <- struct{}{}:
	default:
	}
}
