package srlog

// Keys of the fields of log lines.
const (
	Time     = "time"
	Event    = "event"
	Instance = "instance"
	// Request is the id of the client's attempt.
	Request = "request"
	Route   = "route"
	// Rank is the urgency of a route, 0 for the most urgent.
	Rank      = "rank"
	Service   = "service"
	Workspace = "workspace"
	Endpoint  = "endpoint"
	Domain    = "domain"
	Peer      = "peer"
	Status    = "status"
	Reason    = "reason"
	Error     = "error"
	Attempt   = "attempt"
	Events    = "events"
	// Version is the version of the configuration that was applied.
	Version  = "version"
	Revision = "revision"
	// Age is the time since the view was last confirmed to be current.
	Age     = "age"
	Waited  = "waited"
	Queue   = "queue"
	Running = "running"
	Left    = "left"
	First   = "first"
	Total   = "total"
	After   = "after"
	Cost    = "cost"
	Level   = "level"
	// Rate and Burst are a quota, in cost per second and in cost.
	Rate    = "rate"
	Burst   = "burst"
	Source  = "source"
	State   = "state"
	Outcome = "outcome"
	Class   = "class"
	Count   = "count"
	Address = "address"
	Signal  = "signal"
	Fleet   = "fleet"
	Slots   = "slots"
	// Usable counts the endpoints of a service that may be used, Out those of them
	// that are ejected as unhealthy, Others the requests of the other instances.
	Usable = "usable"
	Out    = "out"
	Others = "others"
	// Failures is the number of consecutive failures of an endpoint.
	Failures = "failures"
)
