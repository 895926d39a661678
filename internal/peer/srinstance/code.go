package srinstance

import (
	"context"
	"strings"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// Fault carries an error over the wire, since net/rpc passes only texts.
type Fault struct {
	Code string
	Text string
}

const (
	// codeUnreachable stands for a call that the peer did not finish in time.
	codeUnreachable = "unreachable"
	codeOther       = "other"
)

// sentinels maps the codes of the wire to errors.
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

// Err returns the error that the fault stands for, nil for none.
func (f Fault) Err() error {
	if f.Code == "" {
		return nil
	}
	sentinel, ok := sentinels[f.Code]
	if !ok {
		return errors.New(f.Text)
	}
	text := strings.TrimSuffix(f.Text, sentinel.Error())
	if text = strings.TrimSuffix(text, ": "); text == "" {
		return sentinel
	}
	return errors.WithMessage(sentinel, text)
}
