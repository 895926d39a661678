package srforward

import (
	"github.com/pkg/errors"

	"github.com/sassafrasrail/sassafrasrail/internal/state/srmemory"
)

// isUnheld reports whether an answer was given up because it could not be held.
func isUnheld(err error) bool {
	return errors.Is(err, srmemory.ErrTooLarge) || errors.Is(err, srmemory.ErrShare) || errors.Is(err, srmemory.ErrUsedUp)
}

// observeUnheld counts an answer that could not be held, and does not blame its endpoint if
// it was small.
func (q *request) observeUnheld(t *attempt, err error) {
	switch {
	case errors.Is(err, srmemory.ErrUsedUp):
		q.stats.count("answer.memory")
		t.result.Failed, t.result.Unknown = false, true
	case isUnheld(err):
		q.stats.count("answer.too-large")
	}
}
