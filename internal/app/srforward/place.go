package srforward

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srdispatch"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srview"
)

const (
	// PlacePath is where an instance tells operators where a request would go.
	PlacePath = "/v1/place"
	// PlacePrefix begins the text of each error answer there. A program without that path has
	// other texts.
	PlacePrefix = "place: "
	// maxPlaceTokens bounds the numbers of tokens in a question, far above those of any prompt.
	maxPlaceTokens = 1 << 30
)

// PlaceQuestion is a request that is not sent.
type PlaceQuestion struct {
	Host string
	Path string
	// Workspace is the name of the workspace whose key the request would have, "" for no key.
	Workspace string
	// Service limits the answer to one service of the route, "" for all.
	Service string
	// Prompt, Output and Length are the sizes of the prompt, of the longest answer and of the
	// expected one in tokens, 0 when unstated.
	Prompt int
	Output int
	Length int
}

// Values returns the query of a question.
func (q PlaceQuestion) Values() url.Values {
	return url.Values{
		"host": {q.Host}, "path": {q.Path}, "workspace": {q.Workspace}, "service": {q.Service},
		"prompt": {strconv.Itoa(q.Prompt)}, "output": {strconv.Itoa(q.Output)}, "length": {strconv.Itoa(q.Length)},
	}
}

func placeQuestion(v url.Values) (PlaceQuestion, error) {
	q := PlaceQuestion{Host: v.Get("host"), Path: v.Get("path"), Workspace: v.Get("workspace"), Service: v.Get("service")}
	for name, into := range map[string]*int{"prompt": &q.Prompt, "output": &q.Output, "length": &q.Length} {
		if v.Get(name) == "" {
			continue
		}
		n, err := strconv.Atoi(v.Get(name))
		if err != nil || n < 0 || n > maxPlaceTokens {
			return q, fmt.Errorf("%s is not a number of tokens", name)
		}
		*into = n
	}
	return q, nil
}

// PlaceAnswer says where a request would go now, and why. Times are texts, as in a dump.
type PlaceAnswer struct {
	Instance PlaceInstance
	Route    PlaceRoute
	// Workspace is nil when none was named.
	Workspace *PlaceWorkspace
	// Refusal is one before any queue, nil if the request would get to a queue.
	Refusal  *PlaceRefusal
	Services []PlaceService
	Notes    []string
}

// PlaceInstance is the state of the instance that answers.
type PlaceInstance struct {
	Name       string
	Domain     string
	Joined     bool
	Draining   bool
	Refusing   bool
	Superseded bool
	Version    uint64
	Revision   uint64
	Age        string
}

// PlaceRoute is the route of the request.
type PlaceRoute struct {
	Name    string
	Prefix  string
	Public  bool
	Rank    int
	Target  string
	Timeout string
}

// PlaceWorkspace is the workspace of the request, with what is left of its quota.
type PlaceWorkspace struct {
	Name string
	// Rank takes precedence over that of the route if HasRank is set.
	Rank    int
	HasRank bool
	Limited bool
	Rate    float64
	Burst   float64
	// Level is what is left as this instance knows it, Cost what the request would take, after
	// Wait.
	Level float64
	Cost  float64
	Wait  string
}

// PlaceRefusal is a refusal that the request would get.
type PlaceRefusal struct {
	Status     int
	Reason     string
	RetryAfter string
}

// PlaceService is one of the services of the route.
type PlaceService struct {
	Service string
	// Weight is its share of Total, the sum over all services of the route.
	Weight int
	Total  int
	// Decides is "this instance" or "coordinator".
	Decides string
	// Groups are the groups of endpoints, one or two of which are asked.
	Groups []PlaceGroup
	// Own is what this instance alone would decide.
	Own PlaceDecision
}

// PlaceGroup is a group of endpoints with its coordinator.
type PlaceGroup struct {
	Name        string
	Coordinator string
	// Asked is false for a moment after the coordinator did not answer.
	Asked     bool
	Endpoints int
	// Free and Queue are as the coordinator stated last to this instance.
	Free  int
	Queue int
	// Decision is that of the coordinator, nil unless it is this instance.
	Decision *PlaceDecision
}

// PlaceDecision is what a queue would decide.
type PlaceDecision struct {
	// Outcome is "placed", "waits" or "refused".
	Outcome string
	// Endpoint is set for "placed", Reason for "refused". For "waits", Reason is that of the
	// refusal when the wait is over.
	Endpoint string
	Reason   string
	// Queue is the number of waiting requests, Ahead the number of those that go first.
	Queue   int
	Ahead   int
	Running int
	// Wait is the expected wait, "" when unknown, MaxWait the longest one. RetryAfter is the
	// delay of a refusal, as estimated now.
	Wait       string
	MaxWait    string
	RetryAfter string
	Candidates []PlaceCandidate
}

// PlaceCandidate is an endpoint as the instance knows it.
type PlaceCandidate struct {
	Endpoint string
	Domain   string
	// Own and Others are the requests in flight from this instance and from all others.
	Own      int
	Others   int
	Slots    int
	Limit    int
	Share    int
	Slowness float64
	// EjectedFor and PausedFor are "" for an endpoint in use.
	EjectedFor string
	PausedFor  string
	ColdRate   float64
	// Start and Run are the expected times to the start of the answer and from there to its
	// end, "" when unknown. InTime tells whether both are in time.
	Start  string
	Run    string
	InTime bool
	Cost   float64
	// Obstacle is why the endpoint gets nothing now, "" for none.
	Obstacle string
	Chosen   bool
}

// servePlace answers where a request would go.
func (n *Instance) servePlace(w http.ResponseWriter, r *http.Request) {
	fail := func(status int, text string) { http.Error(w, PlacePrefix+text, status) }
	question, err := placeQuestion(r.URL.Query())
	if err != nil {
		fail(http.StatusBadRequest, err.Error())
		return
	}
	st := n.view.State()
	if st.Routing == nil {
		fail(http.StatusServiceUnavailable, "the instance has no configuration yet")
		return
	}
	q, missing := n.placeRequest(st, question)
	if missing != "" {
		if !n.configCurrent() {
			missing += fmt.Sprintf("; the configuration was confirmed %s ago, and a newer one may have it", timeText(n.view.Age(n.Clock())))
		}
		fail(http.StatusNotFound, missing)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	// The operator may have disconnected.
	_ = e.Encode(n.place(st, q, question))
}

// placeRequest returns the request of a question, or what of it does not exist.
func (n *Instance) placeRequest(st *srview.State, question PlaceQuestion) (q *request, missing string) {
	route, ok := st.Routing.Match(hostname(question.Host), question.Path)
	if !ok {
		return nil, fmt.Sprintf("no route for host %q and path %q", question.Host, question.Path)
	}
	q = &request{Instance: n, start: time.Now(), route: route, inbound: sr.Inbound{Prompt: question.Prompt, Output: question.Output, Length: question.Length}}
	// Without a timeout of the client this records nothing.
	q.setDeadline()
	if question.Workspace != "" {
		// The name is not repeated, since it may be a key by mistake.
		w, ok := st.Routing.Workspaces[question.Workspace]
		if !ok {
			return nil, "no workspace of that name"
		}
		if st.Routing.Keyed {
			q.workspace, q.keyed = w, !route.Public
		}
	}
	isAsked := func(s sr.WeightedService) bool { return s.Service == question.Service }
	if question.Service != "" && !slices.ContainsFunc(route.Services, isAsked) {
		return nil, fmt.Sprintf("route %s has no service %q", route.Name, question.Service)
	}
	return q, ""
}

// place explains where a request would go now. It changes nothing.
func (n *Instance) place(st *srview.State, q *request, question PlaceQuestion) PlaceAnswer {
	position, age := n.view.AsOf(n.Clock())
	// hasJoined would set it. Each message to other instances does so.
	joined := n.joined.Load()
	out := PlaceAnswer{
		Instance: PlaceInstance{
			Name: n.Settings.Name, Domain: n.Settings.Domain,
			Joined: joined, Draining: n.draining.Load(), Refusing: n.refusing.Load(), Superseded: n.superseded(),
			Version: st.Routing.Version, Revision: position.Revision, Age: timeText(age),
		},
		Route: PlaceRoute{Name: q.route.Name, Prefix: q.route.Prefix, Public: q.route.Public, Rank: q.route.Rank, Target: timeText(q.route.Target), Timeout: timeText(q.route.Timeout)},
	}
	refusal := n.refusesAll(st, joined)
	if refusal == nil && q.keyed && !n.keysCurrent() {
		refusal = refuseUnconfirmedKey()
	}
	if q.workspace.Name != "" {
		ref := q.placeWorkspace(&out)
		if refusal == nil {
			refusal = ref
		}
	}
	if refusal != nil {
		out.Refusal = &PlaceRefusal{Status: refusal.status, Reason: refusal.reason, RetryAfter: timeText(refusal.retryAfter)}
	}
	switch {
	case st.Routing.Keyed && !q.route.Public && question.Workspace == "":
		out.Notes = append(out.Notes, "The route needs a key. Without a workspace, quota and rank of the workspace are left out.")
	case !st.Routing.Keyed && question.Workspace != "":
		out.Notes = append(out.Notes, "The configuration has no keys, so the workspace has no effect.")
	}
	total := 0
	for _, s := range q.route.Services {
		total += max(s.Weight, 0)
	}
	for _, s := range q.route.Services {
		if question.Service == "" || question.Service == s.Service {
			out.Services = append(out.Services, n.placeService(q, s, &out.Notes))
			out.Services[len(out.Services)-1].Total = total
		}
	}
	return out
}

// placeWorkspace adds the workspace, and returns the refusal if its quota is used up.
func (q *request) placeWorkspace(out *PlaceAnswer) *refusal {
	w := &PlaceWorkspace{Name: q.workspace.Name, Rank: q.workspace.Rank, HasRank: q.workspace.HasRank}
	out.Workspace = w
	if !q.keyed {
		return nil
	}
	cost, maxWait := q.quotaCost()
	ok, wait, level, limited := q.limits.peek(time.Now(), w.Name, cost, maxWait)
	if !limited {
		return nil
	}
	w.Limited, w.Rate, w.Burst = true, q.workspace.Allowance.Rate, q.workspace.Allowance.Burst
	w.Level, w.Cost, w.Wait = level, cost, timeText(wait)
	if ok {
		return nil
	}
	return &refusal{status: http.StatusTooManyRequests, reason: reasonQuota, retryAfter: wait}
}

// placeService explains the decision on a request for one service.
func (n *Instance) placeService(q *request, s sr.WeightedService, notes *[]string) PlaceService {
	now, a := time.Now(), q.ask()
	out := PlaceService{Service: s.Service, Weight: s.Weight, Decides: decidesAlone}
	own, ok := n.queues.all()[s.Service]
	if !ok {
		out.Own = placeDecision(srdispatch.New(srdispatch.Options{}).Explain(now, a))
		return out
	}
	own.mu.Lock()
	out.Own = placeDecision(own.dispatcher.Explain(now, a))
	own.mu.Unlock()
	allPaused := own.allPaused()
	for _, h := range n.holders.of(s.Service) {
		g := h.place(now)
		if g.Asked && !allPaused {
			out.Decides = decidesCoordinator
		}
		if c := n.coordinator.get(h.name); c != nil {
			g.Decision = c.place(now, n.groupAsk(own, a))
		}
		out.Groups = append(out.Groups, g)
	}
	if out.Decides == decidesCoordinator && slices.ContainsFunc(out.Groups, func(g PlaceGroup) bool { return g.Decision == nil }) {
		*notes = append(*notes, "The coordinator decides. The candidates are as this instance knows them; ask the coordinator for its own.")
	}
	if len(out.Groups) > 1 {
		*notes = append(*notes, "The first group asked is that of the last part of the prompt, or drawn at random without parts.")
	}
	return out
}

const (
	decidesAlone       = "this instance"
	decidesCoordinator = "coordinator"
)

// place returns the group as this instance knows it.
func (h *groupHolder) place(now time.Time) PlaceGroup {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := PlaceGroup{Name: h.name, Coordinator: h.coordinator, Asked: h.coordinator != "" && h.holder.Usable(now), Endpoints: len(h.ids)}
	out.Free, out.Queue = h.holder.Stated()
	return out
}

// place returns what the group would decide, nil if another instance coordinates it.
func (g *ownGroup) place(now time.Time, a srdispatch.Ask) *PlaceDecision {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return nil
	}
	d := placeDecision(g.group.Explain(now, a))
	return &d
}

func placeDecision(x srdispatch.Explanation) PlaceDecision {
	d := x.Decision
	out := PlaceDecision{
		Outcome: "waits", Endpoint: d.Endpoint, Reason: d.Reason, Queue: x.Queue, Ahead: x.Ahead, Running: x.Running,
		Wait: timeText(x.Wait), RetryAfter: timeText(d.After),
	}
	switch d.Kind {
	case srdispatch.Placed:
		out.Outcome = "placed"
	case srdispatch.Refused:
		out.Outcome = "refused"
	default:
		out.Reason, out.MaxWait, out.RetryAfter = srdispatch.ReasonLate, timeText(x.MaxWait), timeText(x.RetryAfter)
	}
	for _, c := range x.Candidates {
		out.Candidates = append(out.Candidates, PlaceCandidate{
			Endpoint: c.Endpoint, Domain: c.Domain, Own: c.Own, Others: c.Others, Slots: c.Slots, Limit: c.Limit, Share: c.Share,
			Slowness: c.Slowness, EjectedFor: timeText(c.EjectedFor), PausedFor: timeText(c.PausedFor), ColdRate: c.ColdRate,
			Start: timeText(c.Start), Run: timeText(c.Run), InTime: c.InTime, Cost: c.Cost, Obstacle: string(c.Obstacle), Chosen: c.Chosen,
		})
	}
	return out
}

// timeText returns a time to a tenth of a millisecond, "" for 0.
func timeText(d time.Duration) string {
	if d == 0 {
		return ""
	}
	return d.Round(100 * time.Microsecond).String()
}
