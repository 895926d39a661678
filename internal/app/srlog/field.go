package srlog

// Keys of the fields of log lines.
const (
	Time     = "time"
	Event    = "event"
	Instance = "instance"
	// Request is the request id that the client sent.
	Request = "request"
	Route   = "route"
	// Rank is the urgency of a route, 0 for the most urgent.
	Rank = "rank"
	// Parts are the IDs of the parts of a prompt without the last one, Part is one of them or
	// the identity or variant of a request.
	Parts = "parts"
	Part  = "part"
	// Identity is what a request has in common with one that comes again, Variant with one that
	// comes again in the same form. Identities and Variants are those of several requests.
	Identity   = "identity"
	Identities = "identities"
	Variant    = "variant"
	Variants   = "variants"
	// Crashes is the number of crashes that are attributed to a part or request.
	Crashes   = "crashes"
	Service   = "service"
	Workspace = "workspace"
	Endpoint  = "endpoint"
	// Former is the endpoint from which another one takes over a request.
	Former = "former"
	Domain = "domain"
	// Group is a group of endpoints with one coordinator.
	Group  = "group"
	Peer   = "peer"
	Status = "status"
	Reason = "reason"
	Error  = "error"
	// Stack is the call stack of a panic.
	Stack   = "stack"
	Attempt = "attempt"
	Events  = "events"
	// Framing is how the end of an endpoint's answer is marked: length, chunks, or close
	// when it ends with the connection. End is how the answer ended: complete, closed
	// when the connection ended without proof that the answer is complete, or broken.
	Framing = "framing"
	End     = "end"
	// Version is the version of the configuration that was applied.
	Version  = "version"
	Revision = "revision"
	// Born and Sequence order the registrations of an endpoint: the start of the endpoint in
	// Unix milliseconds, and a number that grows with each change since then.
	Born     = "born"
	Sequence = "sequence"
	// Era is the era of the registry to which a revision belongs, 0 when it is not known.
	Era = "era"
	// Newest is the newest revision that the registry or another instance has stated,
	// NewestEra its era.
	Newest    = "newest"
	NewestEra = "newest_era"
	// Carried is the number of entries that the registry lost when it was restored.
	Carried = "carried"
	// Behind is the time since another instance first stated a newer revision.
	Behind = "behind"
	// Age is the time since the view was last confirmed to be current.
	Age = "age"
	// Waited is the time that the request has waited. Queue counts the requests that
	// wait for its service at this instance, Running those that are in flight.
	Waited  = "waited"
	Queue   = "queue"
	Running = "running"
	// Left is the time to the deadline.
	Left = "left"
	// First is the time from the start of the request to the first byte of its answer,
	// Total the time to the event. In an event of a shutdown, Total counts from the stop
	// signal.
	First = "first"
	Total = "total"
	// After is a time that depends on the event, such as the retry delay of a refusal.
	After = "after"
	// Cost is what the request takes from its workspace's quota, Level what was left
	// of the quota before.
	Cost  = "cost"
	Level = "level"
	// Rate and Burst are a quota, in cost per second and in cost.
	Rate  = "rate"
	Burst = "burst"
	// Source is where a registry entry came from: the registry or a peer's address.
	Source  = "source"
	State   = "state"
	Outcome = "outcome"
	// Class is the class of dropped lines.
	Class = "class"
	Count = "count"
	// Bytes is a number of bytes.
	Bytes   = "bytes"
	Address = "address"
	Signal  = "signal"
	// Fleet is the number of instances.
	Fleet = "fleet"
	Slots = "slots"
	// Limit is the number of requests that an endpoint gets at most at once, Slowness the time
	// that its answers take relative to the median of the endpoints with the same load.
	Limit    = "limit"
	Slowness = "slowness"
	// Usable counts the endpoints of a service that may be used, Out those of them
	// that are ejected as unhealthy, Paused those that have asked for no requests for some
	// time, Others the requests of the other instances.
	Usable = "usable"
	Out    = "out"
	Paused = "paused"
	Others = "others"
	// Failures is the number of consecutive failures of an endpoint.
	Failures = "failures"
)
