package srlog

// Names of fields, the same in every line.
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
	// Version is the version of the configuration that decided.
	Version  = "version"
	Revision = "revision"
	// Age is the time since the view was last proved to be current.
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
	// Rate and Burst are an allowance, in cost a second and in cost.
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
	// Usable and Out count the endpoints of a service that may be used, and those
	// of them that are left out; Others counts the other instances' requests.
	Usable = "usable"
	Out    = "out"
	Others = "others"
	// Failures is how often an endpoint has failed in a row.
	Failures = "failures"
)
