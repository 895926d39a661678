package srmanifest

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	sr "github.com/sassafrasrail/sassafrasrail"
)

func TestStoreAcceptsOnlyGreaterVersions(t *testing.T) {
	s := New()
	_, ok := s.Current()
	assert.Assert(t, !ok)
	for _, step := range []struct {
		text   sr.ManifestText
		result Result
		err    error
		number uint64
	}{
		{text(5, ""), ResultAccepted, nil, 5},
		{text(5, ""), ResultSame, nil, 5},
		{text(4, ""), ResultOlder, nil, 5},
		{text(5, "leaving = yes\n"), ResultConflict, ErrDigestConflict, 5},
		{text(6, "leaving = perhaps\n"), ResultInvalid, sr.ErrInvalid, 5},
		{sr.ManifestText{Root: []byte("[")}, ResultInvalid, sr.ErrInvalid, 5},
		{text(6, "leaving = yes\n"), ResultAccepted, nil, 6},
		{text(5, ""), ResultOlder, nil, 6},
	} {
		result, err := s.Offer(step.text)
		assert.Equal(t, result, step.result)
		assert.Assert(t, step.err == nil && err == nil || errors.Is(err, step.err))
		m, ok := s.Current()
		assert.Assert(t, ok)
		assert.Equal(t, m.Version.Number, step.number)
	}
	m, _ := s.Current()
	assert.Assert(t, m.Endpoints["e1"].Leaving)
	assert.DeepEqual(t, s.Text(), text(6, "leaving = yes\n"))
	assert.DeepEqual(t, s.Counts(), Counts{Accepted: 2, Same: 1, Older: 2, Conflicts: 1, Invalid: 2})
}

func TestUnchangedPartsAreReused(t *testing.T) {
	s := New()
	parts := map[string][]byte{"fleet": []byte(fleet), "more": []byte("[domain b]\nregion = r\n")}
	_, err := s.Offer(Bundle(1, parts))
	assert.NilError(t, err)
	before := s.parts[Hash(parts["fleet"])]
	parts["more"] = []byte("[domain b]\nregion = r\nout = yes\n")
	_, err = s.Offer(Bundle(2, parts))
	assert.NilError(t, err)
	assert.Assert(t, s.parts[Hash(parts["fleet"])] == before)
	assert.Equal(t, len(s.parts), 2)
	m, _ := s.Current()
	assert.Assert(t, m.Domains["b"].Out)
}

func TestCaughtUp(t *testing.T) {
	s := New()
	assert.Assert(t, !s.CaughtUp(nil))
	_, err := s.Offer(text(5, ""))
	assert.NilError(t, err)
	assert.Assert(t, s.CaughtUp([]sr.Version{{Number: 4}, {Number: 5}}))
	assert.Assert(t, !s.CaughtUp([]sr.Version{{Number: 4}, {Number: 6}}))
}

func TestSubscriberSeesTheLatest(t *testing.T) {
	s := New()
	c, cancel := s.Subscribe()
	for v := range uint64(3) {
		_, err := s.Offer(text(v+1, ""))
		assert.NilError(t, err)
	}
	assert.Equal(t, (<-c).Version.Number, uint64(3))
	cancel()
	_, err := s.Offer(text(9, ""))
	assert.NilError(t, err)
	assert.Equal(t, len(c), 0)
	again, _ := s.Subscribe()
	assert.Equal(t, (<-again).Version.Number, uint64(9))
}

func TestConcurrentOffersNeverRevert(t *testing.T) {
	s := New()
	var wg sync.WaitGroup
	for g := range 4 {
		wg.Go(func() {
			r := rand.New(rand.NewPCG(uint64(g), 1))
			last := uint64(0)
			for range 50 {
				_, err := s.Offer(text(1+r.Uint64N(30), fmt.Sprintf("# %d\n", r.IntN(2))))
				assert.Check(t, err == nil || errors.Is(err, ErrDigestConflict))
				m, _ := s.Current()
				assert.Check(t, m.Version.Number >= last)
				last = m.Version.Number
			}
		})
	}
	wg.Wait()
}
