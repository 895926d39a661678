package sassafrasrail

import "github.com/pkg/errors"

// Sentinel errors of the interfaces. Callers test them with errors.Is.
var (
	// ErrNotSent means that no byte of the request left this process.
	ErrNotSent = errors.New("request was not sent")
	// ErrNotTaken means that the endpoint answered that it did not accept the request.
	ErrNotTaken = errors.New("endpoint did not take the request")
	// ErrConnectionLost means that the connection ended before the answer was complete.
	ErrConnectionLost = errors.New("connection ended before the answer")
	// ErrMalformed means that the bytes of a peer are not an answer in HTTP/1.1.
	ErrMalformed = errors.New("malformed answer")
	// ErrNoStream means that the endpoint does not have the stream to resume.
	ErrNoStream = errors.New("endpoint does not know the stream")
	// ErrUnreachable means that a peer or the platform did not answer.
	ErrUnreachable = errors.New("no answer")
	// ErrNotOwner means that the called instance does not own the pool.
	ErrNotOwner = errors.New("instance does not own the pool")
	// ErrNotIssuer means that the called instance did not issue the ticket.
	ErrNotIssuer = errors.New("instance did not issue the ticket")
	// ErrIssuerGone means that the ticket's issuer is gone, so that the submission
	// was not relayed. An earlier submission of the same ticket may have run.
	ErrIssuerGone = errors.New("the ticket's issuer is gone; this submission was not passed on")
	// ErrInvalid means that an input violates a rule; the message names the rule.
	ErrInvalid = errors.New("invalid")
	// ErrMissing means that the requested item does not exist.
	ErrMissing = errors.New("does not exist")
	// ErrConflict means that the ticket is already used for a different request.
	ErrConflict = errors.New("ticket is in use for another request")
	// ErrExpired means that a ticket or lease is past its lifetime.
	ErrExpired = errors.New("expired")
	// ErrLimited means that a workspace exceeds its own limit.
	ErrLimited = errors.New("workspace is over its limit")
	// ErrOverloaded means that no capacity becomes available in time.
	ErrOverloaded = errors.New("no capacity in time")
	// ErrHistoryLost means that the registry no longer has the requested changes.
	ErrHistoryLost = errors.New("history is no longer available")
	// ErrDraining means that the instance is shutting down and accepts no new work.
	ErrDraining = errors.New("instance is shutting down")
)
