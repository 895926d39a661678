// Package srends counts how the requests of forwarding instances end, from their logs: for each
// instance the rate of those that end without a complete answer, near changes of the configuration
// and at other times.
//
// # Usage
//
//	t := srends.New(srends.Options{Before: time.Second, After: 4 * time.Second})
//	err := t.Read(logs)
//	err = t.Write(os.Stdout)
package srends

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// maxLine is the longest line in bytes. Panics have long ones.
const maxLine = 1 << 20

// Options configure a Table.
type Options struct {
	// Before and After are the time around a change that counts as near it. An instance logs
	// a change when it applies it, which is later than when the operator made it.
	Before time.Duration
	After  time.Duration
}

// Table holds the ends of requests by instance.
type Table struct {
	opts      Options
	instances map[string]*instance
}

// instance is what the log of one instance shows.
type instance struct {
	changes []time.Time
	ends    []end
	// first and last are the times of the first and the last line about a request.
	first, last time.Time
	// dropped is the number of lines that were not written.
	dropped int
}

// end is the end of a request.
type end struct {
	at      time.Time
	request string
	// way is how it ended, "" for an answer of its endpoint or a refusal that states that it has
	// not run.
	way string
	// cut is set if the client got neither, and no error of the instance either.
	cut bool
}

// line is a line of a log.
type line struct {
	Time     time.Time `json:"time"`
	Event    string    `json:"event"`
	Instance string    `json:"instance"`
	Request  string    `json:"request"`
	Reason   string    `json:"reason"`
	Status   int       `json:"status"`
	Error    string    `json:"error"`
	Count    int       `json:"count"`
	Version  uint64    `json:"version"`
}

// New returns an empty Table.
func New(o Options) *Table { return &Table{opts: o, instances: make(map[string]*instance)} }

// Read adds the lines of r. What precedes the object in a line is ignored, and so are lines without
// one.
func (t *Table) Read(r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, bufio.MaxScanTokenSize), maxLine)
	for s.Scan() {
		_, object, ok := bytes.Cut(s.Bytes(), []byte("{"))
		if !ok {
			continue
		}
		var l line
		if err := json.Unmarshal(append([]byte("{"), object...), &l); err != nil || l.Instance == "" {
			// Other programs write to the same output.
			continue
		}
		t.add(l)
	}
	return errors.Wrap(s.Err(), "srends")
}

func (t *Table) add(l line) {
	n, ok := t.instances[l.Instance]
	if !ok {
		n = &instance{}
		t.instances[l.Instance] = n
	}
	switch l.Event {
	case "routing":
		n.changes = append(n.changes, l.Time)
		return
	case "lines-dropped":
		n.dropped += l.Count
		return
	}
	e, ok := l.end()
	if !ok {
		return
	}
	if n.first.IsZero() {
		n.first = l.Time
	}
	n.last = l.Time
	n.ends = append(n.ends, e)
}

// end returns the end of a request. It returns false for a line that does not tell one.
func (l line) end() (end, bool) {
	e := end{at: l.Time, request: l.Request}
	switch l.Event {
	case "ended":
		if l.Error != "" {
			e.way, e.cut = "write", true
		}
	case "refused":
		if l.Status == http.StatusBadGateway || l.Status == http.StatusGatewayTimeout {
			e.way = strconv.Itoa(l.Status) + " " + l.Reason
		}
	case "broken-off":
		e.way, e.cut = l.Event+" "+l.Reason, true
	case "client-gone", "panic", "closed-unread":
		e.way, e.cut = l.Event, true
	default:
		return end{}, false
	}
	return e, true
}

// count counts ends in some span of time.
type count struct {
	span time.Duration
	// all counts the requests, cut those of them that were cut, and ways both these and those
	// that failed.
	all  int
	cut  int
	ways map[string]int
}

// ratio returns the part of the requests that were cut.
func (c count) ratio() float64 { return float64(c.cut) / float64(max(c.all, 1)) }

func (c *count) add(o count) {
	c.span += o.span
	c.all += o.all
	c.cut += o.cut
	for way, n := range o.ways {
		c.addWay(way, n)
	}
}

func (c *count) addWay(way string, n int) {
	if c.ways == nil {
		c.ways = make(map[string]int)
	}
	c.ways[way] += n
}

// counts returns the ends near changes and at other times, and the requests that were cut near one.
func (t *Table) counts(n *instance) (near, other count, cut []end) {
	for _, e := range n.ends {
		c := &other
		isNear := t.near(n, e.at)
		if isNear {
			c = &near
		}
		c.all++
		if e.way != "" {
			c.addWay(e.way, 1)
		}
		if !e.cut {
			continue
		}
		c.cut++
		if isNear {
			cut = append(cut, e)
		}
	}
	near.span = t.span(n)
	other.span = n.last.Sub(n.first) - near.span
	return near, other, cut
}

// near reports whether a time is near a change that an instance applied.
func (t *Table) near(n *instance, at time.Time) bool {
	return slices.ContainsFunc(n.changes, func(change time.Time) bool {
		return !at.Before(change.Add(-t.opts.Before)) && at.Before(change.Add(t.opts.After))
	})
}

// span returns the time near changes during which requests ended.
func (t *Table) span(n *instance) (span time.Duration) {
	reached := n.first
	for _, change := range slices.SortedFunc(slices.Values(n.changes), time.Time.Compare) {
		from, to := change.Add(-t.opts.Before), change.Add(t.opts.After)
		if from.Before(reached) {
			from = reached
		}
		if to.After(n.last) {
			to = n.last
		}
		if to.After(from) {
			span += to.Sub(from)
			reached = to
		}
	}
	return span
}
