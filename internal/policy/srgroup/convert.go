package srgroup

import (
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srdispatch"
)

// NewAsk returns the message of an ask with the times left at now.
func NewAsk(now time.Time, id uint64, a srdispatch.Ask) sr.SlotAsk {
	return sr.SlotAsk{
		ID: id, WorkspaceRank: a.Workspace, RouteRank: a.Route, Workspace: a.WorkspaceName, Weight: a.Weight, Domain: a.Domain,
		Target: a.Target.Sub(now), Deadline: a.Deadline.Sub(now), Patience: a.Patience,
		Returned: a.Returned, Resumed: a.Resumed, LastPart: a.LastPart, Prompt: a.Prompt, Length: a.Length, Avoid: a.Avoid, Only: a.Only,
	}
}

// askOf returns the ask of a message that arrives at now.
func askOf(now time.Time, id uint64, a sr.SlotAsk) srdispatch.Ask {
	return srdispatch.Ask{
		ID: id, Workspace: a.WorkspaceRank, Route: a.RouteRank, WorkspaceName: a.Workspace, Weight: a.Weight, Domain: a.Domain,
		Target: now.Add(a.Target), Deadline: now.Add(a.Deadline), Patience: a.Patience,
		Returned: a.Returned, Resumed: a.Resumed, LastPart: a.LastPart, Prompt: a.Prompt, Length: a.Length, Avoid: a.Avoid, Only: a.Only,
	}
}

func decisionOf(ask uint64, d srdispatch.Decision) sr.SlotDecision {
	return sr.SlotDecision{
		Ask: ask, Granted: d.Kind == srdispatch.Placed, Endpoint: d.Endpoint, Reason: d.Reason, After: d.After, Waited: d.Waited,
		Queue: d.Queue, Running: d.Running, Usable: d.Usable, Out: d.Out, Paused: d.Paused, Others: d.Others,
	}
}

// Decision returns the decision of a message.
func Decision(d sr.SlotDecision) srdispatch.Decision {
	out := srdispatch.Decision{
		Ask: d.Ask, Kind: srdispatch.Refused, Endpoint: d.Endpoint, Reason: d.Reason, After: d.After, Waited: d.Waited,
		Queue: d.Queue, Running: d.Running, Usable: d.Usable, Out: d.Out, Paused: d.Paused, Others: d.Others,
	}
	if d.Granted {
		out.Kind, out.Granted = srdispatch.Placed, true
	}
	return out
}

func resultOf(r sr.SlotResult) srdispatch.Result {
	return srdispatch.Result{NotRun: r.NotRun, Gone: r.Gone, Failed: r.Failed, Error: r.Error, Unknown: r.Unknown, Unsent: r.Unsent, Prompt: r.Prompt, Pace: r.Pace, Events: r.Events, Length: r.Length, Ran: r.Ran}
}

// NewResult returns the message of a result.
func NewResult(r srdispatch.Result) sr.SlotResult {
	return sr.SlotResult{NotRun: r.NotRun, Gone: r.Gone, Failed: r.Failed, Error: r.Error, Unknown: r.Unknown, Unsent: r.Unsent, Prompt: r.Prompt, Pace: r.Pace, Events: r.Events, Length: r.Length, Ran: r.Ran}
}
