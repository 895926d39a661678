package srinstance

import (
	"context"
	"strings"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// Fault is the wire form of an error. net/rpc transfers errors only as text; Code
// lets the caller restore the sentinel error.
type Fault struct {
	Code string
	Text string
}

const (
	// codeUnreachable is also the code of a call that the peer did not finish in time.
	codeUnreachable = "unreachable"
	// codeOther is the code of an error that wraps none of the sentinels.
	codeOther = "other"
)

// sentinels maps the codes of faults to sentinel errors.
var sentinels = map[string]error{
	"not-owner":     sr.ErrNotOwner,
	"not-issuer":    sr.ErrNotIssuer,
	"invalid":       sr.ErrInvalid,
	"missing":       sr.ErrMissing,
	"conflict":      sr.ErrConflict,
	"expired":       sr.ErrExpired,
	"limited":       sr.ErrLimited,
	"overloaded":    sr.ErrOverloaded,
	"draining":      sr.ErrDraining,
	"history-lost":  sr.ErrHistoryLost,
	codeUnreachable: sr.ErrUnreachable,
}

// newFault converts an error to a fault; a nil error becomes the zero Fault.
func newFault(err error) Fault {
	if err == nil {
		return Fault{}
	}
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return Fault{Code: codeUnreachable, Text: err.Error()}
	}
	for code, sentinel := range sentinels {
		if errors.Is(err, sentinel) {
			return Fault{Code: code, Text: err.Error()}
		}
	}
	return Fault{Code: codeOther, Text: err.Error()}
}

// Err returns the error that the fault represents, or nil when the call succeeded.
// The error wraps the sentinel of the fault's code.
func (f Fault) Err() error {
	if f.Code == "" {
		return nil
	}
	sentinel, ok := sentinels[f.Code]
	if !ok {
		return errors.New(f.Text)
	}
	// The text ends with that of the sentinel, which WithMessage appends again.
	text := strings.TrimSuffix(f.Text, sentinel.Error())
	if text = strings.TrimSuffix(text, ": "); text == "" {
		return sentinel
	}
	return errors.WithMessage(sentinel, text)
}
