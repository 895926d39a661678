package srsettings

import (
	"fmt"
	"slices"
	"time"

	"github.com/sassafrasrail/sassafrasrail/internal/state/srini"
)

// maxSeeds is the maximum number of seed addresses.
const maxSeeds = 64

// MinLapseHeartbeats is the minimum number of heartbeats in a lapse time.
const MinLapseHeartbeats = 3

// keys returns the descriptions of all keys, each bound to its field of s.
func keys(s *Settings) []srini.Key {
	return []srini.Key{
		{Section: "instance", Name: "listen", Value: srini.ListenAddress(&s.Listen), Required: true, Description: "address for callers"},
		{Section: "instance", Name: "operate", Value: srini.ListenAddress(&s.Operate), Required: true, Description: "address for operators"},
		{Section: "instance", Name: "peer", Value: srini.Address(&s.Peer), Required: true, Description: "address for other instances, as in the platform's instance list"},
		{Section: "instance", Name: "domain", Value: srini.Word(&s.Domain), Required: true, Description: "failure domain of this process"},

		{Section: "platform", Name: "address", Value: srini.Address(&s.Platform), Required: true, Description: "address of the configuration service"},
		{Section: "platform", Name: "root", Value: srini.Word(&s.Root), Default: "manifest", Description: "key of the manifest's root value"},
		{Section: "platform", Name: "readers", Value: srini.Int(&s.Readers, "instances", 1, 1000), Default: "7", Description: "instances of a region that watch the manifest"},

		{Section: "peers", Name: "seeds", Value: srini.Addresses(&s.Seeds, maxSeeds), Description: "instances to contact until the platform's instance list is received"},

		{Section: "limits", Name: "body", Value: srini.Int(&s.Body, "bytes", 1<<10, 64<<20), Default: "1048576", Description: "largest request body"},
		{Section: "limits", Name: "tickets", Value: srini.Int(&s.Tickets, "tickets", 1, 1_000_000), Default: "20000", Description: "maximum number of tickets in use"},
		{Section: "limits", Name: "records", Value: srini.Int(&s.Records, "steps", 100, 10_000_000), Default: "150000", Description: "steps kept for explanations, about 0.3 KB each; a request takes 5 or 6"},
		{Section: "limits", Name: "batch", Value: srini.Int(&s.Batch, "tickets", 1, 10_000), Default: "100", Description: "maximum number of tickets issued by one call"},
		{Section: "limits", Name: "events", Value: srini.Int(&s.Events, "events", 16, 1_000_000), Default: "8192", Description: "maximum number of events kept of one answer"},

		{Section: "times", Name: "heartbeat", Value: srini.Duration(&s.Heartbeat, 10*time.Millisecond, 10*time.Second), Default: "250ms", Description: "time between heartbeats"},
		{Section: "times", Name: "lapse", Value: srini.Duration(&s.Lapse, 30*time.Millisecond, time.Minute), Default: "2s", Description: "time without a heartbeat after which an instance is considered dead"},
		{Section: "times", Name: "lease", Value: srini.Duration(&s.Lease, 10*time.Millisecond, time.Minute), Default: "1s", Description: "time within which a granted slot has to be used"},
		{Section: "times", Name: "ticket", Value: srini.Duration(&s.Ticket, time.Second, 24*time.Hour), Default: "10m", Description: "lifetime of an unused ticket"},
		{Section: "times", Name: "drain", Value: srini.Duration(&s.Drain, time.Second, 24*time.Hour), Default: "10m", Description: "timeout of a graceful shutdown"},
		{Section: "times", Name: "retain", Value: srini.Duration(&s.Retain, time.Second, 24*time.Hour), Default: "10m", Description: "retention time of an ended request"},
		{Section: "times", Name: "poll", Value: srini.Duration(&s.Poll, 10*time.Millisecond, time.Minute), Default: "500ms", Description: "time between load reports"},
		{Section: "times", Name: "connect", Value: srini.Duration(&s.Connect, 10*time.Millisecond, time.Minute), Default: "1s", Description: "timeout of a connection attempt"},
		{Section: "times", Name: "header", Value: srini.Duration(&s.Header, 10*time.Millisecond, time.Minute), Default: "5s", Description: "timeout for reading a request's header"},
		{Section: "times", Name: "idle", Value: srini.Duration(&s.Idle, time.Second, time.Hour), Default: "2m", Description: "time after which an idle connection is closed"},

		{Section: "log", Name: "level", Value: srini.Choice(&s.Level, LevelError, LevelInfo, LevelDebug), Default: LevelInfo, Description: "least severe level that is logged"},
	}
}

// rule is a condition on several keys.
type rule struct {
	section string
	key     string
	// others are the keys with which the condition compares key.
	others    []string
	satisfied bool
	// expected describes the condition and the value found.
	expected string
}

// check reports the violated conditions on several keys. It skips those that involve a
// key that is invalid by itself.
func (s Settings) check(file string, ps *srini.Problems) {
	invalid := make(map[string]bool)
	for _, p := range ps.List {
		invalid[p.Key] = true
	}
	for _, r := range s.rules() {
		if !r.satisfied && !slices.ContainsFunc(append(r.others, r.key), func(k string) bool { return invalid[k] }) {
			ps.Addf(file, r.section, r.key, "%s", r.expected)
		}
	}
}

// rules returns the conditions on several keys.
func (s Settings) rules() []rule {
	return []rule{
		{
			"times", "lapse",
			[]string{"heartbeat"},
			s.Lapse >= MinLapseHeartbeats*s.Heartbeat,
			fmt.Sprintf("at least %d heartbeats of %v, found %v", MinLapseHeartbeats, s.Heartbeat, s.Lapse),
		},
		{
			"times", "lease",
			[]string{"lapse"},
			s.Lease <= s.Lapse,
			fmt.Sprintf("at most the lapse of %v, found %v", s.Lapse, s.Lease),
		},
		{
			"times", "lease",
			[]string{"heartbeat"},
			s.Lease >= 2*s.Heartbeat,
			fmt.Sprintf("at least 2 heartbeats of %v, found %v", s.Heartbeat, s.Lease),
		},
		{
			"times", "connect",
			[]string{"lapse"},
			s.Connect <= s.Lapse,
			fmt.Sprintf("at most the lapse of %v, found %v", s.Lapse, s.Connect),
		},
		{
			"limits", "batch",
			[]string{"tickets"},
			s.Batch <= s.Tickets,
			fmt.Sprintf("at most the limit of %d tickets, found %d", s.Tickets, s.Batch),
		},
		{
			"instance", "operate",
			[]string{"listen"},
			s.Operate != s.Listen,
			"another address than listen, found " + s.Operate,
		},
		{
			"instance", "peer",
			[]string{"listen", "operate"},
			s.Peer != s.Listen && s.Peer != s.Operate,
			"another address than listen and operate, found " + s.Peer,
		},
		{
			"platform", "address",
			[]string{"listen", "operate", "peer"},
			s.Platform != s.Listen && s.Platform != s.Operate && s.Platform != s.Peer,
			"another address than those of [instance], found " + s.Platform,
		},
	}
}
