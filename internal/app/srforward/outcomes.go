package srforward

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// maxCountedWorkspaces is the number of workspaces with counters of their own. The requests of
// further ones are counted together.
const maxCountedWorkspaces = 64

// otherWorkspaces is the name under which the requests of further workspaces are counted.
const otherWorkspaces = "others"

// Outcomes of requests in counters, for their callers.
const (
	outcomeInTime  = "in-time"
	outcomeLate    = "late"
	outcomeRefused = "refused"
	outcomeFailed  = "failed"
	outcomeLeft    = "left"
)

// outcomes counts how requests end for their callers, by rank and by workspace, so that operators
// see who is served when endpoints are short.
type outcomes struct {
	stats *stats

	mu         sync.Mutex
	workspaces map[string]struct{}
}

func newOutcomes(s *stats) *outcomes {
	return &outcomes{stats: s, workspaces: make(map[string]struct{})}
}

// record counts the end of a request. reason is that of a refusal, "" for others.
func (o *outcomes) record(q *request, outcome, reason string) {
	if q.route.Name == "" {
		return
	}
	name := strconv.Itoa(q.route.Rank) + "." + outcome
	o.stats.count("rank." + name)
	if reason != "" {
		name := name + "." + reason
		o.stats.count("rank." + name)
	}
	if q.workspace.Name != "" {
		name := o.workspace(q.workspace.Name) + "." + outcome
		o.stats.count("workspace." + name)
	}
}

// workspace returns the name under which the requests of a workspace are counted.
func (o *outcomes) workspace(name string) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, ok := o.workspaces[name]; ok {
		return name
	}
	if len(o.workspaces) >= maxCountedWorkspaces {
		return otherWorkspaces
	}
	o.workspaces[name] = struct{}{}
	return name
}

// answered returns the outcome of a request whose endpoint has answered it after total.
func (q *request) answered(status int, total time.Duration, err error) string {
	taken := q.firstByte
	if q.route.Kind != sr.RouteStream {
		taken = total
	}
	switch {
	case status >= http.StatusBadRequest || err != nil:
		return outcomeFailed
	case q.elapsed+taken > q.route.Target:
		return outcomeLate
	}
	return outcomeInTime
}
