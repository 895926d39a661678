package srforward

import (
	"context"
	"fmt"
	"math"
	"runtime/debug"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/app/srlog"
)

const (
	// maxKnownMembers limits the instances that one message names.
	maxKnownMembers = 4096
	// maxAddress is the longest address of an instance, in bytes.
	maxAddress = 64
	// maxName is the longest name of an endpoint or a failure domain, in bytes. Both are parts
	// of keys of the registry, which have no more.
	maxName = 200
	// maxAge bounds the ages in messages, which are at most some minutes.
	maxAge = 24 * time.Hour
)

// checkGossip returns ErrInvalid if a message of another instance cannot be applied: a total
// that is no number would disable a quota for good, for example.
func checkGossip(g sr.Gossip) error {
	switch {
	case g.From.Address == "" || len(g.From.Address) > maxAddress:
		return errors.Wrap(sr.ErrInvalid, "address of the sender")
	case len(g.Domain) > maxName:
		return errors.Wrap(sr.ErrInvalid, "failure domain of the sender")
	case math.IsNaN(g.Power) || math.IsInf(g.Power, 0) || g.Power < 0:
		return errors.Wrap(sr.ErrInvalid, "power of the sender")
	case len(g.Known) > maxKnownMembers:
		return errors.Wrap(sr.ErrInvalid, "number of known instances")
	}
	for _, id := range g.Known {
		if id.Address == "" || len(id.Address) > maxAddress {
			return errors.Wrap(sr.ErrInvalid, "address of a known instance")
		}
	}
	// A refund may leave a rounding error below zero.
	for name, total := range g.Usage.Spent {
		if math.IsNaN(total) || math.IsInf(total, 0) || total < -1 {
			return errors.Wrapf(sr.ErrInvalid, "total of %.40q", name)
		}
	}
	for _, counts := range []map[string]int{g.Usage.Running, g.Usage.Pending} {
		for id, n := range counts {
			if len(id) > maxName || n < 0 || n > math.MaxInt32 {
				return errors.Wrapf(sr.ErrInvalid, "load of %.40q", id)
			}
		}
	}
	for _, c := range g.Crashes.Crashes {
		if len(c.Endpoint) > maxName {
			return errors.Wrap(sr.ErrInvalid, "endpoint of a crash")
		}
	}
	return checkAges(g)
}

// checkEntries returns ErrInvalid if a name in an entry that another instance relays is longer than
// in the registry. It shortens the reasons of invalid entries.
func checkEntries(c sr.Changes) error {
	for i, e := range c.Facts {
		// Instances of earlier versions relay longer reasons.
		c.Facts[i].Invalid = strings.Clone(e.Invalid[:min(len(e.Invalid), maxName)])
		p := e.Endpoint
		for _, text := range []string{e.Name, p.ID, p.Service, p.Address, p.Domain} {
			if len(text) > maxName {
				return errors.Wrapf(sr.ErrInvalid, "name of %d bytes in the entry %.40q", len(text), e.Name)
			}
		}
	}
	return nil
}

const (
	// maxReported bounds the asks, starts, results and slots in a report, maxGrants the decisions
	// in a delivery. An instance has fewer requests in flight.
	maxReported = 4096
	maxGrants   = 4096
	// maxTime bounds the times in a report. Requests take minutes at most.
	maxTime = time.Hour
)

// checkReport returns ErrInvalid if a report of another instance cannot be applied.
func checkReport(r sr.SlotReport) error {
	switch {
	case r.From.Address == "" || len(r.From.Address) > maxAddress:
		return errors.Wrap(sr.ErrInvalid, "address of the sender")
	case len(r.Group) > maxName:
		return errors.Wrap(sr.ErrInvalid, "group")
	case max(len(r.Asks), len(r.Started), len(r.Released), len(r.Silent), len(r.Waiting), len(r.Held), len(r.Own)) > maxReported:
		return errors.Wrap(sr.ErrInvalid, "size of a report")
	}
	for _, a := range r.Asks {
		if err := checkAsk(a); err != nil {
			return err
		}
	}
	for id, n := range r.Own {
		if len(id) > maxName || n < 0 || n > math.MaxInt32 {
			return errors.Wrapf(sr.ErrInvalid, "load of %.40q", id)
		}
	}
	for _, id := range r.Held {
		if len(id) > maxName {
			return errors.Wrap(sr.ErrInvalid, "name of an endpoint")
		}
	}
	for _, s := range r.Started {
		if s.Prompt < 0 || s.Prompt > math.MaxInt32 || s.First < 0 || s.First > maxTime {
			return errors.Wrap(sr.ErrInvalid, "start of an answer")
		}
	}
	for _, f := range r.Released {
		counts := []int{f.Result.Prompt, f.Result.Events, f.Result.Length}
		if slices.Min(counts) < 0 || slices.Max(counts) > math.MaxInt32 || f.Result.Pace < 0 || f.Result.Pace > maxTime {
			return errors.Wrap(sr.ErrInvalid, "result of a request")
		}
	}
	return nil
}

func checkAsk(a sr.SlotAsk) error {
	for _, d := range []time.Duration{a.Target, a.Deadline, a.Patience} {
		if d < -maxTime || d > maxTime {
			return errors.Wrap(sr.ErrInvalid, "time of an ask")
		}
	}
	switch {
	case min(a.Prompt, a.Length) < 0 || max(a.Prompt, a.Length) > math.MaxInt32:
		return errors.Wrap(sr.ErrInvalid, "size of a prompt")
	case math.IsNaN(a.Weight) || math.IsInf(a.Weight, 0) || a.Weight < 0:
		return errors.Wrap(sr.ErrInvalid, "weight of an ask")
	case max(len(a.Workspace), len(a.Domain), len(a.LastPart)) > maxName || max(len(a.Avoid), len(a.Only)) > maxReported:
		return errors.Wrap(sr.ErrInvalid, "names in an ask")
	}
	return nil
}

// checkDecisions returns ErrInvalid if decisions of a coordinator cannot be applied.
func checkDecisions(list []sr.SlotDecision) error {
	if len(list) > maxGrants {
		return errors.Wrap(sr.ErrInvalid, "number of decisions")
	}
	for _, d := range list {
		if max(len(d.Endpoint), len(d.Reason)) > maxName || min(d.After, d.Waited) < 0 || max(d.After, d.Waited) > maxTime {
			return errors.Wrap(sr.ErrInvalid, "decision of a coordinator")
		}
	}
	return nil
}

func checkAges(g sr.Gossip) error {
	ages := []time.Duration{g.Age}
	for _, c := range g.Crashes.Crashes {
		ages = append(append(ages, c.Age), c.Ran...)
	}
	for _, p := range g.Crashes.Sound {
		ages = append(ages, p.Age)
	}
	for _, p := range g.Crashes.Suspects {
		ages = append(ages, p.Age)
	}
	for i, age := range ages {
		// The age of a view that was never confirmed is longer than any.
		if age < 0 || i > 0 && age > maxAge {
			return errors.Wrapf(sr.ErrInvalid, "age %v", age)
		}
	}
	return nil
}

// recoverPanic is deferred where messages of other instances are handled. A panic of one
// must not end the process, which serves clients. It becomes an error.
func (n *Instance) recoverPanic(call string, err *error) {
	v := recover()
	if v == nil {
		return
	}
	*err = errors.Errorf("panic in %s: %v", call, v)
	n.stats.count("panics")
	n.Log.State("panic", srlog.State, call, srlog.Error, fmt.Sprint(v), srlog.Stack, string(debug.Stack()))
}

// reportLimit counts and logs that the connection of another instance was closed because of a
// limit on messages.
func (p *Process) reportLimit(address string, err error) {
	p.instance.stats.count("fleet.cut")
	p.log.Failed("peer-cut", srlog.Peer, address, srlog.Error, err.Error())
}

// guardedHandler answers the calls of other instances, and turns panics into errors.
type guardedHandler struct{ n *Instance }

func (h guardedHandler) Gossip(ctx context.Context, g sr.Gossip) (out sr.Gossip, err error) {
	defer h.n.recoverPanic("gossip", &err)
	return h.n.Gossip(ctx, g)
}

func (h guardedHandler) Exchange(ctx context.Context, g sr.Gossip) (out sr.Gossip, err error) {
	defer h.n.recoverPanic("exchange", &err)
	return h.n.Exchange(ctx, g)
}

func (h guardedHandler) Pull(ctx context.Context, after uint64) (out sr.Changes, err error) {
	defer h.n.recoverPanic("pull", &err)
	return h.n.Pull(ctx, after)
}

func (h guardedHandler) Entries(ctx context.Context, after uint64) (out sr.Changes, err error) {
	defer h.n.recoverPanic("entries", &err)
	return h.n.Entries(ctx, after)
}

func (h guardedHandler) EntriesSince(ctx context.Context, after sr.Position) (out sr.Changes, err error) {
	defer h.n.recoverPanic("entries-since", &err)
	return h.n.EntriesSince(ctx, after)
}

func (h guardedHandler) RoutingPart(ctx context.Context, r sr.RoutingRequest) (out sr.RoutingPart, err error) {
	defer h.n.recoverPanic("routing-part", &err)
	return h.n.RoutingPart(ctx, r)
}

func (h guardedHandler) ReportSlots(ctx context.Context, r sr.SlotReport) (out sr.SlotReply, err error) {
	defer h.n.recoverPanic("report-slots", &err)
	return h.n.ReportSlots(ctx, r)
}

func (h guardedHandler) DeliverSlots(ctx context.Context, g sr.SlotGrants) (err error) {
	defer h.n.recoverPanic("deliver-slots", &err)
	return h.n.DeliverSlots(ctx, g)
}
