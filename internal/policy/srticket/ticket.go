// Package srticket issues and verifies the tickets that make a submission
// idempotent.
//
// A ticket names its issuer, the issuer's incarnation, a number and the time
// of issue, bound to one workspace by a MAC. The MAC key is drawn when the
// process starts and never leaves it. So only the issuer can verify a ticket, and a
// restarted process at the same address rejects the tickets of its predecessor.
//
// # Usage
//
//	issuer, err := srticket.New(self, lifetime, rand.Reader, time.Now())
//	text := issuer.Issue(now, "intake")
//	err = issuer.Check(now, text, "intake") // ErrInvalid, ErrNotIssuer, ErrExpired
package srticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"io"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
)

const (
	keyBytes = 32
	macBytes = 16
	// maxAddressBytes is the longest "ip:port" text.
	maxAddressBytes = 64
	// headerBytes is the size of the fields before the address: incarnation, number,
	// time of issue and workspace.
	headerBytes = 8 + 8 + 8 + 8
	// maxTextBytes is the size of the longest ticket text.
	maxTextBytes = (headerBytes+maxAddressBytes+macBytes)*4/3 + 4
)

// Ticket holds the fields of a ticket without its MAC.
type Ticket struct {
	Issuer sr.InstanceID
	// Number counts the tickets of the issuer.
	Number uint64
	// Issued is the time of issue, counted from the start of the issuer.
	Issued time.Duration
	// Workspace is the hash of the workspace name.
	Workspace uint64
}

// Issuer issues the tickets of one incarnation. It is safe for concurrent use.
type Issuer struct {
	self     sr.InstanceID
	lifetime time.Duration
	start    time.Time
	key      []byte
	number   atomic.Uint64
}

// New returns an Issuer whose MAC key is read from random.
func New(self sr.InstanceID, lifetime time.Duration, random io.Reader, now time.Time) (*Issuer, error) {
	key := make([]byte, keyBytes)
	if _, err := io.ReadFull(random, key); err != nil {
		return nil, errors.Wrap(err, "srticket: read key")
	}
	return &Issuer{self: self, lifetime: lifetime, start: now, key: key}, nil
}

// Issue returns a fresh ticket for a workspace.
func (i *Issuer) Issue(now time.Time, workspace string) string {
	t := Ticket{
		Issuer:    i.self,
		Number:    i.number.Add(1),
		Issued:    now.Sub(i.start),
		Workspace: xxhash.Sum64String(workspace),
	}
	body := t.encode()
	return base64.RawURLEncoding.EncodeToString(append(body, i.mac(body)...))
}

// Check returns nil if text is a valid ticket of this issuer for a workspace. It
// returns ErrInvalid for a malformed or forged ticket and for one of another
// workspace, ErrNotIssuer for a ticket of another instance or incarnation, and
// ErrExpired for one past its lifetime.
func (i *Issuer) Check(now time.Time, text, workspace string) error {
	t, body, mac, err := decode(text)
	if err != nil {
		return err
	}
	if t.Issuer != i.self {
		return errors.Wrapf(sr.ErrNotIssuer, "srticket: issued by %s", t.Issuer.Address)
	}
	if !hmac.Equal(mac, i.mac(body)) {
		return errors.Wrap(sr.ErrInvalid, "srticket: ticket was not issued here")
	}
	if t.Workspace != xxhash.Sum64String(workspace) {
		return errors.Wrap(sr.ErrInvalid, "srticket: ticket belongs to another workspace")
	}
	if i.Expires(t).Before(now) {
		return errors.Wrapf(sr.ErrExpired, "srticket: ticket is older than %s", i.lifetime)
	}
	return nil
}

// Expires returns the time at which a ticket of this issuer expires.
func (i *Issuer) Expires(t Ticket) time.Time {
	return i.start.Add(t.Issued + i.lifetime)
}

// Lifetime returns how long a ticket is valid.
func (i *Issuer) Lifetime() time.Duration { return i.lifetime }

// Parse decodes a ticket without verifying its MAC. It returns ErrInvalid for a
// malformed text.
func Parse(text string) (Ticket, error) {
	t, _, _, err := decode(text)
	return t, err
}

func (i *Issuer) mac(body []byte) []byte {
	h := hmac.New(sha256.New, i.key)
	h.Write(body)
	return h.Sum(nil)[:macBytes]
}

func (t Ticket) encode() []byte {
	b := make([]byte, 0, headerBytes+maxAddressBytes+macBytes)
	b = binary.BigEndian.AppendUint64(b, t.Issuer.Incarnation)
	b = binary.BigEndian.AppendUint64(b, t.Number)
	b = binary.BigEndian.AppendUint64(b, uint64(t.Issued))
	b = binary.BigEndian.AppendUint64(b, t.Workspace)
	return append(b, t.Issuer.Address...)
}

func decode(text string) (t Ticket, body, mac []byte, err error) {
	if len(text) > maxTextBytes {
		return t, nil, nil, errors.Wrap(sr.ErrInvalid, "srticket: ticket is too long")
	}
	raw, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil {
		return t, nil, nil, errors.Wrap(sr.ErrInvalid, "srticket: ticket is not base64url")
	}
	if len(raw) <= headerBytes+macBytes || len(raw) > headerBytes+maxAddressBytes+macBytes {
		return t, nil, nil, errors.Wrap(sr.ErrInvalid, "srticket: ticket has a wrong length")
	}
	body, mac = raw[:len(raw)-macBytes], raw[len(raw)-macBytes:]
	t.Issuer.Incarnation = binary.BigEndian.Uint64(body)
	t.Number = binary.BigEndian.Uint64(body[8:])
	t.Issued = time.Duration(binary.BigEndian.Uint64(body[16:]))
	t.Workspace = binary.BigEndian.Uint64(body[24:])
	t.Issuer.Address = string(body[headerBytes:])
	return t, body, mac, nil
}
