package srrequest

import sr "github.com/sassafrasrail/sassafrasrail"

// answer keeps the events of an answer. To save memory it keeps only the texts of the
// events between the first and the last one.
type answer struct {
	// first holds the first event, last the end event; both are empty before.
	first []sr.Event
	texts []string
	last  []sr.Event
}

// len returns the number of events.
func (a *answer) len() int { return len(a.first) + len(a.texts) + len(a.last) }

// add appends the next event.
func (a *answer) add(e sr.Event) {
	switch {
	case len(a.first) == 0:
		a.first = []sr.Event{e}
	case e.Type == sr.EventEnd:
		a.last = []sr.Event{e}
	default:
		a.texts = append(a.texts, e.Text)
	}
}

// after returns the events that follow the first n.
func (a *answer) after(ticket string, n int) []sr.Event {
	if n < 0 || n >= a.len() {
		return nil
	}
	events := make([]sr.Event, 0, a.len()-n)
	for seq := n + 1; seq <= a.len(); seq++ {
		events = append(events, a.event(ticket, seq))
	}
	return events
}

// event returns the event with a sequence number.
func (a *answer) event(ticket string, seq int) sr.Event {
	switch {
	case seq == 1:
		return a.first[0]
	case seq == 1+len(a.texts)+len(a.last) && len(a.last) > 0:
		return a.last[0]
	}
	return sr.Event{Seq: seq, Type: sr.EventText, Ticket: ticket, Text: a.texts[seq-2]}
}
