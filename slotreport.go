package sassafrasrail

import "time"

// SlotAsk asks the coordinator of a group of endpoints for a slot. Its times count from when
// the message was sent.
type SlotAsk struct {
	// ID is unique within the incarnation of the sender.
	ID uint64
	// WorkspaceRank and RouteRank are ranks; a lower one comes first.
	WorkspaceRank int
	RouteRank     int
	// Workspace is the name of the workspace, "" for none, Weight its weight when slots are
	// divided between workspaces.
	Workspace string
	Weight    float64
	// Domain is the failure domain of the sender.
	Domain string
	// Target is the time to the objective, negative when it has passed, Deadline the time
	// until the request expires, Patience the time for which the caller of a late answer
	// waits for its start.
	Target   time.Duration
	Deadline time.Duration
	Patience time.Duration
	Returned bool
	Resumed  bool
	LastPart string
	// Prompt is the size of the prompt in tokens, Length the expected number of generated ones.
	Prompt int
	Length int
	// Avoid lists endpoints that must not get the request, Only those that alone may get it.
	Avoid []string
	Only  []string
}

// SlotDecision answers a SlotAsk: it grants a slot of Endpoint, or refuses with Reason.
type SlotDecision struct {
	Ask      uint64
	Granted  bool
	Endpoint string
	Reason   string
	// After is the time after which a refused caller may return.
	After  time.Duration
	Waited time.Duration
	// The counts describe the group: waiting asks, requests in flight, usable endpoints,
	// those of them that are ejected or paused, and requests without a slot of this
	// coordinator.
	Queue   int
	Running int
	Usable  int
	Out     int
	Paused  int
	Others  int
}

// SlotResult is how a request ended at an endpoint. The fields have the meaning of those of
// srdispatch.Result.
type SlotResult struct {
	NotRun  bool
	Gone    bool
	Failed  bool
	Error   bool
	Unknown bool
	Unsent  bool
	Prompt  int
	Pace    time.Duration
	Events  int
	Length  int
	// Ran is the time for which the endpoint had the request.
	Ran time.Duration
}

// SlotStart reports that an endpoint has started an answer, First after the request was sent.
type SlotStart struct {
	Endpoint string
	Prompt   int
	First    time.Duration
}

// SlotRelease returns the slot of a request.
type SlotRelease struct {
	Ask    uint64
	Result SlotResult
}

// SlotReport is the message of an instance to the coordinator of a group.
type SlotReport struct {
	From  InstanceID
	Group string
	// Sequence grows with each report of the sender to this coordinator.
	Sequence uint64
	Asks     []SlotAsk
	Started  []SlotStart
	Released []SlotRelease
	// Silent lists the endpoints that have sent nothing to a request of the sender for too long.
	// The request goes on waiting.
	Silent []string
	// Waiting lists the asks of earlier reports that still wait, Held the endpoints whose slots
	// the sender has, by ask. Both are complete, so the coordinator can drop what is not listed.
	Waiting []uint64
	Held    map[uint64]string
	// Own is the number of requests in flight from the sender for which it has no slot of this
	// coordinator, by endpoint ID.
	Own map[string]int
}

// SlotReply answers a SlotReport.
type SlotReply struct {
	// Decisions are those that could be made at once. The other asks wait, and their decisions
	// are delivered in SlotGrants.
	Decisions []SlotDecision
	// Free is the number of free slots of the group, Waiting the number of waiting asks.
	Free    int
	Waiting int
}

// SlotGrants delivers decisions on asks that have waited.
type SlotGrants struct {
	From InstanceID
	// To is the instance whose asks are decided. Another one may run at its address by now.
	To        InstanceID
	Group     string
	Decisions []SlotDecision
}
