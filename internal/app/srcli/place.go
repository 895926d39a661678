package srcli

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/app/srforward"
)

// maxListed is the number of endpoints that are listed unless all are asked for by --json.
const maxListed = 20

type placeCommand struct {
	Operate   string `required:"" help:"Operator address of a forwarding instance, IP:PORT."`
	Host      string `required:"" help:"Host of the request."`
	Path      string `required:"" help:"Path of the request."`
	Workspace string `help:"Name of the workspace whose key the request would have."`
	Service   string `help:"Only this service of the route."`
	Prompt    int    `help:"Size of the prompt in tokens."`
	Output    int    `help:"Longest answer that the client allows, in tokens. It counts for the quota."`
	Length    int    `help:"Expected size of the answer in tokens."`
	JSON      bool   `help:"Print the answer as JSON." name:"json"`
}

// Run prints where a request would go now, and why. Nothing is sent to an endpoint.
func (c placeCommand) Run(o *output) error {
	q := srforward.PlaceQuestion{Host: c.Host, Path: c.Path, Workspace: c.Workspace, Service: c.Service, Prompt: c.Prompt, Output: c.Output, Length: c.Length}
	status, body, err := operatorAsk(c.Operate, srforward.PlacePath+"?"+q.Values().Encode())
	if err != nil {
		return err
	}
	text, own := strings.CutPrefix(strings.TrimSpace(string(body)), srforward.PlacePrefix)
	switch {
	case status == http.StatusOK:
	case status == http.StatusNotFound && !own:
		return errors.Wrap(sr.ErrInvalid, "srcli: the instance does not know the command, which is for forwarding instances (sassafrasrail forward)")
	case own && status < http.StatusInternalServerError:
		return errors.Wrapf(sr.ErrInvalid, "srcli: %s", text)
	case own:
		return errors.Errorf("srcli: %s", text)
	default:
		return answerError(status, body)
	}
	if c.JSON {
		return printJSON(o.out, body)
	}
	var a srforward.PlaceAnswer
	if err := json.Unmarshal(body, &a); err != nil {
		return errors.Wrap(err, "srcli: decode the answer of the instance")
	}
	return printPlace(o.out, a)
}

// printPlace prints an answer for people.
func printPlace(out io.Writer, a srforward.PlaceAnswer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	i := a.Instance
	fmt.Fprintf(w, "instance\t%s in failure domain %s, configuration %d, revision %d confirmed %s ago\n", i.Name, i.Domain, i.Version, i.Revision, orZero(i.Age))
	fmt.Fprintf(w, "state\t%s\n", instanceState(i))
	fmt.Fprintf(w, "route\t%s (%s), rank %d, objective %s, timeout %s\n", a.Route.Name, a.Route.Prefix, a.Route.Rank, orZero(a.Route.Target), orZero(a.Route.Timeout))
	if a.Workspace != nil {
		fmt.Fprintf(w, "workspace\t%s\n", workspaceText(*a.Workspace))
	}
	if r := a.Refusal; r != nil {
		fmt.Fprintf(w, "refused\tbefore any queue: status %d, %s%s; the queues would decide as below\n", r.Status, r.Reason, retryText(r.RetryAfter))
	}
	for _, s := range a.Services {
		fmt.Fprintf(w, "service\t%s%s\n", s.Service, weightText(s))
		fmt.Fprintf(w, "decides\t%s\n", s.Decides)
		for _, g := range s.Groups {
			fmt.Fprintf(w, "group\t%s of %d endpoints, coordinator %s%s, %d slots free, %d waiting\n", g.Name, g.Endpoints, g.Coordinator, notAsked(g.Asked), g.Free, g.Queue)
			if g.Decision != nil {
				printDecision(w, "in the group", *g.Decision)
			}
		}
		printDecision(w, "this instance alone", s.Own)
	}
	for _, n := range a.Notes {
		fmt.Fprintf(w, "note\t%s\n", n)
	}
	return w.Flush()
}

func weightText(s srforward.PlaceService) string {
	if s.Weight == s.Total {
		return ""
	}
	return fmt.Sprintf(", weight %d of %d", s.Weight, s.Total)
}

func notAsked(asked bool) string {
	if asked {
		return ""
	}
	return " (not asked: it did not answer lately)"
}

func instanceState(i srforward.PlaceInstance) string {
	var out []string
	for _, s := range []struct {
		is   bool
		text string
	}{
		{!i.Joined, "starts, has not joined yet"},
		{i.Draining, "draining"},
		{i.Refusing, "refuses new requests"},
		{i.Superseded, "another instance has a newer view"},
	} {
		if s.is {
			out = append(out, s.text)
		}
	}
	if len(out) == 0 {
		return "serves"
	}
	return strings.Join(out, "; ")
}

func workspaceText(w srforward.PlaceWorkspace) string {
	out := w.Name
	if w.HasRank {
		out += fmt.Sprintf(", rank %d", w.Rank)
	}
	if !w.Limited {
		return out + ", no quota applies"
	}
	out += fmt.Sprintf(", quota %g a second and %g at once: %.0f left, the request takes %g", w.Rate, w.Burst, w.Level, w.Cost)
	if w.Wait != "" {
		out += ", to be had after " + w.Wait
	}
	return out
}

func printDecision(w io.Writer, by string, d srforward.PlaceDecision) {
	fmt.Fprintf(w, "%s\t%s\n", by, decisionText(d))
	if len(d.Candidates) == 0 {
		return
	}
	// A line without tabs ends the columns above.
	fmt.Fprintln(w)
	fmt.Fprintln(w, "\tendpoint\tdomain\town\tothers\tslots\tlimit\tslowness\tstart\trun\tcost\tstate")
	for _, c := range d.Candidates[:min(len(d.Candidates), maxListed)] {
		mark := ""
		if c.Chosen {
			mark = ">"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%.2f\t%s\t%s\t%.2f\t%s\n", mark, c.Endpoint, c.Domain, c.Own, c.Others, c.Slots, c.Limit,
			c.Slowness, unknown(c.Start), unknown(c.Run), c.Cost, candidateState(c))
	}
	fmt.Fprintln(w)
	if n := len(d.Candidates) - maxListed; n > 0 {
		fmt.Fprintf(w, "further\t%d endpoints (--json lists all)\n", n)
	}
}

func decisionText(d srforward.PlaceDecision) string {
	expected := "expected wait not known"
	if d.Wait != "" {
		expected = "expected wait " + d.Wait
	}
	switch d.Outcome {
	case "placed":
		return "placed at " + d.Endpoint
	case "refused":
		return fmt.Sprintf("refused: %s%s; %d waiting, %s", d.Reason, retryText(d.RetryAfter), d.Queue, expected)
	}
	return fmt.Sprintf("waits: %d of %d waiting go first, %s; after %s refused: %s%s", d.Ahead, d.Queue, expected, orZero(d.MaxWait), d.Reason, retryText(d.RetryAfter))
}

func candidateState(c srforward.PlaceCandidate) string {
	var out []string
	for _, s := range []struct {
		is   bool
		text string
	}{
		{c.Obstacle == "avoided", "avoided"},
		{c.Obstacle == "full", "full"},
		{c.PausedFor != "", "paused for " + c.PausedFor},
		{c.EjectedFor != "", "ejected for " + c.EjectedFor},
		{c.ColdRate > 0, fmt.Sprintf("cold, %.2g a second", c.ColdRate)},
		{c.Obstacle == "cold", "not now"},
		{!c.InTime, "too late there"},
	} {
		if s.is {
			out = append(out, s.text)
		}
	}
	if len(out) == 0 {
		return "free"
	}
	return strings.Join(out, ", ")
}

func retryText(after string) string {
	if after == "" {
		return ""
	}
	return ", Retry-After about " + after
}

func orZero(s string) string {
	if s == "" {
		return "0s"
	}
	return s
}

func unknown(s string) string {
	if s == "" {
		return "?"
	}
	return s
}
