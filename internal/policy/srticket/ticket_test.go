package srticket_test

import (
	"bytes"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srticket"
)

const lifetime = 10 * time.Minute

var (
	start = time.Unix(1000, 0)
	self  = sr.InstanceID{Address: "10.0.0.1:7300", Incarnation: 7}
)

func newIssuer(t *testing.T, id sr.InstanceID, key byte) *srticket.Issuer {
	t.Helper()
	i, err := srticket.New(id, lifetime, bytes.NewReader(bytes.Repeat([]byte{key}, 32)), start)
	assert.NilError(t, err)
	return i
}

func TestCheck(t *testing.T) {
	issuer := newIssuer(t, self, 1)
	text := issuer.Issue(start.Add(time.Second), "intake")
	forger := newIssuer(t, self, 2)
	restarted := newIssuer(t, sr.InstanceID{Address: self.Address, Incarnation: 8}, 3)

	tests := []struct {
		name      string
		issuer    *srticket.Issuer
		now       time.Time
		text      string
		workspace string
		want      error
	}{
		{"valid", issuer, start.Add(time.Minute), text, "intake", nil},
		{"another workspace", issuer, start, text, "desk", sr.ErrInvalid},
		{"expired", issuer, start.Add(lifetime + 2*time.Second), text, "intake", sr.ErrExpired},
		{"forged", issuer, start, forger.Issue(start, "intake"), "intake", sr.ErrInvalid},
		{"another incarnation", restarted, start, text, "intake", sr.ErrNotIssuer},
		{"truncated", issuer, start, text[:len(text)-4], "intake", sr.ErrInvalid},
		{"not base64", issuer, start, "%%%", "intake", sr.ErrInvalid},
		{"empty", issuer, start, "", "intake", sr.ErrInvalid},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			err := tt.issuer.Check(tt.now, tt.text, tt.workspace)
			assert.Assert(t, errors.Is(err, tt.want), "got %v", err)
		})
	}
}

func TestEveryChangedByteIsRefused(t *testing.T) {
	issuer := newIssuer(t, self, 1)
	text := issuer.Issue(start, "intake")
	for i := range len(text) {
		changed := []byte(text)
		changed[i] = 'A'
		if string(changed) == text {
			changed[i] = 'B'
		}
		assert.Assert(t, issuer.Check(start, string(changed), "intake") != nil, "byte %d", i)
	}
}

func TestReceiptRoundTrip(t *testing.T) {
	want := sr.Receipt{Endpoint: "r01", Stream: "0011"}
	got, err := srticket.ParseReceipt(srticket.EncodeReceipt(want))
	assert.NilError(t, err)
	assert.Equal(t, got, want)
	_, err = srticket.ParseReceipt("cjAx")
	assert.Assert(t, errors.Is(err, sr.ErrInvalid))
}

func FuzzParse(f *testing.F) {
	issuer, err := srticket.New(self, lifetime, bytes.NewReader(make([]byte, 32)), start)
	assert.NilError(f, err)
	f.Add(issuer.Issue(start, "intake"))
	f.Add("")
	f.Add("AAAA")
	f.Fuzz(func(t *testing.T, text string) {
		_, err := srticket.Parse(text)
		if err != nil {
			assert.Assert(t, errors.Is(err, sr.ErrInvalid))
			assert.Assert(t, issuer.Check(start, text, "intake") != nil)
		}
		if _, err := srticket.ParseReceipt(text); err != nil {
			assert.Assert(t, errors.Is(err, sr.ErrInvalid))
		}
	})
}
