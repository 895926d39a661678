package sassafrasrail

import "github.com/pkg/errors"

// Sentinel errors of the interfaces. Callers test them with errors.Is.
var (
	// ErrNotSent means that no byte of the request left this process.
	ErrNotSent = errors.New("request was not sent")
	// ErrNotTaken means that the endpoint itself answered that it did not take the request.
	ErrNotTaken = errors.New("endpoint did not take the request")
	// ErrBroken means that the connection ended before the answer did.
	ErrBroken = errors.New("connection ended before the answer")
	// ErrNoStream means that the endpoint does not know the stream.
	ErrNoStream = errors.New("endpoint does not know the stream")
	// ErrUnreachable means that a peer or the platform gave no answer.
	ErrUnreachable = errors.New("no answer")
	// ErrNotOwner means that the asked instance does not own the pool.
	ErrNotOwner = errors.New("instance does not own the pool")
	// ErrNotIssuer means that the asked instance did not issue the ticket.
	ErrNotIssuer = errors.New("instance did not issue the ticket")
	// ErrIssuerGone means that the ticket's issuer is gone and the submission was
	// not passed on. An earlier submission of the same ticket may have run.
	ErrIssuerGone = errors.New("the ticket's issuer is gone; this submission was not passed on")
	// ErrInvalid means that an input breaks a rule; the message names it.
	ErrInvalid = errors.New("invalid")
	// ErrMissing means that a named thing does not exist.
	ErrMissing = errors.New("does not exist")
	// ErrConflict means that a ticket was used for two different requests.
	ErrConflict = errors.New("ticket is in use for another request")
	// ErrExpired means that a ticket or lease is past its lifetime.
	ErrExpired = errors.New("expired")
	// ErrLimited means that a workspace is over its own limit.
	ErrLimited = errors.New("workspace is over its limit")
	// ErrOverloaded means that there is no capacity in time.
	ErrOverloaded = errors.New("no capacity in time")
	// ErrHistoryLost means that the registry no longer has the changes asked for.
	ErrHistoryLost = errors.New("history is no longer available")
	// ErrDraining means that the instance shuts down and takes no new work.
	ErrDraining = errors.New("instance is shutting down")
)
