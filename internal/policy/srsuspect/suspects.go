// Package srsuspect decides which requests are suspected of crashing endpoints: all with
// some part of a prompt, or one that comes again, known by its identity, or in the same form, known
// by its variant. It does no input or output: the time is an argument, and the caller observes
// crashes and answers and exchanges reports with the other instances.
//
// # Usage
//
//	s := srsuspect.New(srsuspect.Options{Rank: rank})
//	parts = append(parts, srsuspect.Part(id), srsuspect.Identity(variant), srsuspect.Identity(request))
//	s.AddCrash(now, sr.Crash{Endpoint: id, Born: born, Requests: [][]string{parts}, Ran: ran})
//	s.AddSound(now, parts)
//	s.Receive(now, report)
//	if v := s.Check(now, parts); v.Blocked { ... }
//
// A crash ends every request at the endpoint, and only those that had not begun to
// answer can have caused it. Load patterns and how they are handled:
//
//   - One part crashes each endpoint whose answer to it begins. Requests with it reach any
//     instance, so one instance sees few crashes: crashes are exchanged, and a part is
//     suspected after minCrashes of them without a sound answer in between.
//   - One request crashes each endpoint that runs it. Its attempts and the client's retries
//     follow each other within milliseconds: crashes count as separate for an identity when
//     it was sent to the second endpoint after the first one had crashed.
//   - Requests beside it, and with the same caller or other parts. Their parts are among
//     those of the same crashes, but sound answers keep clearing them, and a crash that a
//     suspected part explains does not count against the others. Identities and variants
//     count as parts here; of two that were at the same crashes, the one is likelier that had run
//     shorter.
//   - Requests that have the path, workspace and body of a crashing one, and differ from it in what
//     no identity covers. A part or a variant that was at all crashes of an identity may be the cause
//     instead. Requests without it are let through until one of them crashes its endpoint, which
//     shows that it is not the cause, or is answered soundly, which clears the identity.
//   - Many endpoints crash at once, such as a failure domain without power. Popular parts
//     are at many of them. Crashes within crashSpacing count as one.
//   - Prompts with many parts, of which any may be the cause. What a crash keeps and reports is
//     bounded, so that parts of earlier crashes, and parts without a recent sound answer, go first.
//   - A part that is suspected wrongly, or sound again. After a time that doubles with each
//     round, one instance after the other lets a single request through. Its sound answer
//     clears the part everywhere.
package srsuspect

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
)

const (
	// minCrashes is the number of separate crashes from which a part is suspected. The
	// platform's rules allow three before a request must stop.
	minCrashes = 3
	// crashSpacing is the time within which crashes count as one for a part of a prompt.
	crashSpacing = 150 * time.Millisecond
	// sameCrash is the largest difference between the times at which instances notice one
	// crash. An endpoint is not back sooner.
	sameCrash = time.Second
	// crashRetention is how long a crash counts.
	crashRetention = time.Minute
	// maxCrashes limits the crashes that are kept, maxRequests the requests of each, and
	// maxCrashParts the parts of these together.
	maxCrashes    = 256
	maxRequests   = 64
	maxCrashParts = 4096
	// reportPeriod is for how long crashes and sound parts are reported to the other
	// instances, so that some lost messages do no harm.
	reportPeriod = 6 * time.Second
	// maxReported limits the crashes and the sound parts of one report, maxReportedParts the
	// parts of the requests of one crash, so that a record of srgossip has room for one.
	maxReported      = 32
	maxReportedParts = 1000
	// maxSound limits the parts whose last sound answer is remembered.
	maxSound = 4096
	// soundRetention is how long a sound answer is remembered.
	soundRetention = 10 * time.Minute
	// maxSuspects limits the suspected parts. Each request that crashes endpoints is one,
	// and a large fleet may meet some in each second of a suspicion.
	maxSuspects = 256
	// baseSuspicion is the time without requests for a suspected part before the first
	// trial. It doubles with each round, up to maxSuspicion.
	baseSuspicion = time.Minute
	maxSuspicion  = 16 * time.Minute
	// maxExceptions is the number of crashes that requests with a suspected identity may cause
	// after they were let through.
	maxExceptions = 2
	// trialTurn is the time that each instance has for a trial before the next one.
	trialTurn = 5 * time.Second
	// forgetAfter is the time after the end of a suspicion from which a part is forgotten.
	forgetAfter = 10 * time.Minute
)

// Options configure Suspects.
type Options struct {
	// Rank returns the position of this instance among all in the order in which they let
	// a request with a suspected part through, from 0.
	Rank func(part string) int
}

// Verdict states whether requests with some parts are blocked.
type Verdict struct {
	Blocked bool
	// Part is the suspected part, Crashes the number of crashes attributed to it.
	Part    string
	Crashes int
	// Age is the time since the last of these crashes, Left the rest of the suspicion.
	Age  time.Duration
	Left time.Duration
}

// Change is a part that became suspected or was cleared.
type Change struct {
	Part      string
	Suspected bool
	Crashes   int
	// Reported is set when another instance reported it.
	Reported bool
}

// crash is a crash of one incarnation of an endpoint, as all instances together saw it.
type crash struct {
	endpoint string
	born     int64
	at       time.Time
	requests requestList
	// own holds the requests of this instance, which are reported.
	own requestList
	// parts holds the parts of all requests.
	parts map[string]bool
}

// suspect is a suspected part.
type suspect struct {
	// last is the time of the last crash attributed to the part.
	last    time.Time
	crashes int
	// rounds counts the suspicions of the part.
	rounds int
	// trial is when this instance last let a request through.
	trial time.Time
}

// Suspects holds what is known about crashes. It is not safe for concurrent use.
type Suspects struct {
	opts    Options
	crashes []*crash
	// involved holds the number of kept crashes by part.
	involved map[string]int
	// sound holds the time of the last sound answer by part.
	sound    map[string]time.Time
	suspects map[string]*suspect
	// cleared holds the parts of kept crashes that this instance found sound, with the
	// time. They are reported.
	cleared map[string]time.Time
}

// New returns Suspects without knowledge.
func New(o Options) *Suspects {
	return &Suspects{
		opts:     o,
		involved: make(map[string]int),
		sound:    make(map[string]time.Time),
		suspects: make(map[string]*suspect),
		cleared:  make(map[string]time.Time),
	}
}

// AddCrash records a crash with the requests of this instance that it ended before they
// had begun to answer.
func (s *Suspects) AddCrash(now time.Time, c sr.Crash) []Change {
	s.addCrash(now, c, true)
	return s.attribute(now, false)
}

func (s *Suspects) addCrash(now time.Time, c sr.Crash, own bool) (changed bool) {
	k := s.crashOf(c.Endpoint, c.Born, now.Add(-c.Age))
	for i, parts := range s.limitParts(c) {
		r := crashed{parts: parts}
		if len(r.parts) == 0 {
			continue
		}
		if i < len(c.Ran) {
			r.ran = c.Ran[i]
		}
		if own {
			k.own.add(r, maxReportedParts)
		}
		added := k.requests.add(r, maxCrashParts)
		changed = changed || len(added) > 0
		for _, p := range added {
			if !k.parts[p] {
				k.parts[p] = true
				s.involved[p]++
			}
		}
	}
	return changed
}

// crashOf returns the crash of an endpoint at a time, which it adds if necessary.
func (s *Suspects) crashOf(endpoint string, born int64, at time.Time) *crash {
	for _, k := range s.crashes {
		if k.endpoint == endpoint && k.born == born && k.at.Sub(at).Abs() < sameCrash {
			// The delay of a report makes a crash look later than it was.
			if at.Before(k.at) {
				k.at = at
			}
			return k
		}
	}
	if len(s.crashes) >= maxCrashes {
		oldest := slices.MinFunc(s.crashes, func(a, b *crash) int { return a.at.Compare(b.at) })
		s.dropCrashes(func(k *crash) bool { return k == oldest })
	}
	k := &crash{endpoint: endpoint, born: born, at: at, parts: make(map[string]bool)}
	s.crashes = append(s.crashes, k)
	return k
}

// dropCrashes removes crashes.
func (s *Suspects) dropCrashes(drop func(*crash) bool) {
	s.crashes = slices.DeleteFunc(s.crashes, func(c *crash) bool {
		if !drop(c) {
			return false
		}
		for p := range c.parts {
			s.involved[p]--
			if s.involved[p] == 0 {
				delete(s.involved, p)
			}
		}
		return true
	})
}

// AddSound records that the answer to a request with these parts went on soundly.
func (s *Suspects) AddSound(now time.Time, parts []string) []Change {
	var out []Change
	remaining := s.remainingRivals(parts)
	for _, p := range parts {
		_, suspect := s.suspects[p]
		known := suspect || s.involved[p] > 0
		// Few requests come again, so the others need not be remembered.
		if isIdentity(p) && !known {
			continue
		}
		if change, ok := s.addSound(now, p, false); ok {
			out = append(out, change)
		}
		if known && len(s.cleared) < maxSound {
			s.cleared[p] = now
		}
	}
	if len(out) > 0 {
		// What is left of the crashes may have another cause.
		out = append(out, s.attribute(now, false)...)
		if len(remaining) == 1 && !s.suspected(remaining[0]) && s.makeRoom(now) {
			k := s.suspect(remaining[0])
			k.crashes, k.last = minCrashes, now
			k.rounds++
			out = append(out, Change{Part: remaining[0], Suspected: true, Crashes: k.crashes})
		}
	}
	return out
}

// remainingRivals returns what alone can have caused the crashes of a suspected identity once a
// request with these parts, which have that identity, is answered soundly.
func (s *Suspects) remainingRivals(parts []string) (list []string) {
	for _, p := range parts {
		if isIdentity(p) && s.suspected(p) {
			list = append(list, slices.DeleteFunc(s.rivals(p), func(r string) bool { return slices.Contains(parts, r) })...)
		}
	}
	return list
}

func (s *Suspects) addSound(at time.Time, part string, reported bool) (Change, bool) {
	if len(s.sound) >= maxSound {
		if _, ok := s.sound[part]; !ok {
			s.forgetSound()
		}
	}
	if at.After(s.sound[part]) {
		// A part of a header would keep all of it.
		s.sound[strings.Clone(part)] = at
	}
	k, ok := s.suspects[part]
	if !ok || !at.After(k.last) || k.crashes == 0 {
		return Change{}, false
	}
	k.crashes = 0
	return Change{Part: part, Reported: reported}, true
}

// forgetSound drops half of the remembered sound parts: those that are at no kept crash first,
// and of these the ones whose answer is longest ago.
func (s *Suspects) forgetSound() {
	parts := slices.SortedFunc(maps.Keys(s.sound), func(a, b string) int {
		return cmp.Or(cmp.Compare(min(s.involved[a], 1), min(s.involved[b], 1)), s.sound[a].Compare(s.sound[b]))
	})
	for _, p := range parts[:(len(parts)+1)/2] {
		delete(s.sound, p)
	}
}

// suspected reports whether a part is suspected now, whether or not a trial is due.
func (s *Suspects) suspected(part string) bool {
	k, ok := s.suspects[part]
	return ok && k.crashes > 0
}

// attribute finds the parts that explain the kept crashes, one after the other: of those
// with enough crashes that no part found before explains, the likeliest. A suspected part
// whose crashes the others explain is cleared.
func (s *Suspects) attribute(now time.Time, reported bool) []Change {
	var out []Change
	s.extendSuspicions()
	found := make(map[string]bool)
	candidates := s.candidates(now)
	for {
		c := likeliest(candidates)
		if c == nil {
			break
		}
		found[c.part] = true
		if !s.suspected(c.part) {
			if !s.makeRoom(now) {
				break
			}
			k := s.suspect(c.part)
			k.crashes, k.last = c.separate, c.last
			k.rounds++
			out = append(out, Change{Part: c.part, Suspected: true, Crashes: c.separate, Reported: reported})
		}
		candidates = withoutExplained(candidates, c)
	}
	for _, p := range slices.Sorted(maps.Keys(s.suspects)) {
		if k := s.suspects[p]; k.crashes > 0 && !found[p] && s.explainedByOthers(p) {
			k.crashes = 0
			out = append(out, Change{Part: p, Reported: reported})
		}
	}
	return out
}

// suspect returns the entry of a part, which it adds if necessary.
func (s *Suspects) suspect(part string) *suspect {
	k, ok := s.suspects[part]
	if !ok {
		k = &suspect{}
		s.suspects[part] = k
	}
	return k
}

// explainedByOthers reports whether a part was at kept crashes, and another suspected part
// at each of them.
func (s *Suspects) explainedByOthers(part string) bool {
	if s.involved[part] == 0 {
		return false
	}
	for _, c := range s.crashes {
		if c.parts[part] && !c.hasOther(part, s.suspected) {
			return false
		}
	}
	return true
}

// hasOther reports whether a part other than the given one fulfils a condition.
func (c *crash) hasOther(part string, ok func(part string) bool) bool {
	for p := range c.parts {
		if p != part && ok(p) {
			return true
		}
	}
	return false
}

// extendSuspicions records the crashes at which a suspected part was.
func (s *Suspects) extendSuspicions() {
	for part, k := range s.suspects {
		if k.crashes == 0 {
			continue
		}
		before := k.last
		for _, c := range s.crashes {
			if c.at.After(before) && c.parts[part] {
				k.crashes++
				if c.at.After(k.last) {
					k.last = c.at
				}
			}
		}
		if !k.trial.IsZero() && k.last.After(k.trial) && !before.After(k.trial) {
			k.rounds++
		}
	}
}

// makeRoom reports whether another part can become suspected. If necessary it drops the one
// with the oldest crash of those that were cleared or whose suspicion has ended.
func (s *Suspects) makeRoom(now time.Time) bool {
	if len(s.suspects) < maxSuspects {
		return true
	}
	oldest := ""
	for part, k := range s.suspects {
		over := k.crashes == 0 || now.Sub(k.last) > suspicion(k.rounds)
		if over && (oldest == "" || k.last.Before(s.suspects[oldest].last)) {
			oldest = part
		}
	}
	if oldest == "" {
		return false
	}
	delete(s.suspects, oldest)
	return true
}

// candidate is a part with unexplained crashes since its last sound answer.
type candidate struct {
	part  string
	sound time.Time
	runs  []run
	// separate is the number of separate crashes, last the time of the last one.
	separate int
	last     time.Time
	// requests is the number of different requests with the part at these crashes, depth
	// the largest number of parts before it.
	requests int
	depth    int
}

// run is what a crash ended of the requests with a part.
type run struct {
	crash *crash
	// ran is the shortest time that one of them had run.
	ran time.Duration
}

// candidates returns the parts that were at enough crashes since their last sound answer.
func (s *Suspects) candidates(now time.Time) []*candidate {
	byPart := make(map[string]*candidate)
	for _, c := range s.crashes {
		if now.Sub(c.at) <= crashRetention {
			s.collect(c, byPart)
		}
	}
	var out []*candidate
	for _, p := range slices.Sorted(maps.Keys(byPart)) {
		if k := byPart[p]; k.count() {
			out = append(out, k)
		}
	}
	return out
}

// collect adds a crash to the candidates that were at it.
func (s *Suspects) collect(c *crash, candidates map[string]*candidate) {
	for _, r := range c.requests.list {
		for depth, p := range r.parts {
			if s.involved[p] < minCrashes || !c.at.After(s.sound[p]) {
				continue
			}
			k, ok := candidates[p]
			if !ok {
				k = &candidate{part: p, sound: s.sound[p]}
				candidates[p] = k
			}
			if n := len(k.runs); n == 0 || k.runs[n-1].crash != c {
				k.runs = append(k.runs, run{crash: c, ran: r.ran})
			} else {
				k.runs[n-1].ran = min(k.runs[n-1].ran, r.ran)
			}
			k.requests++
			k.depth = max(k.depth, depth)
		}
	}
}

// count counts the separate crashes, and reports whether they are enough.
func (k *candidate) count() bool {
	slices.SortStableFunc(k.runs, func(a, b run) int { return a.crash.at.Compare(b.crash.at) })
	k.separate = 0
	var counted time.Time
	for _, r := range k.runs {
		at := r.crash.at
		if k.separate == 0 || at.Sub(counted) >= crashSpacing || isIdentity(k.part) && at.Add(-r.ran).After(counted) {
			k.separate, counted = k.separate+1, at
		}
		k.last = at
	}
	return k.separate >= minCrashes
}

// withoutExplained returns the candidates that still have enough crashes without those that
// the one found explains.
func withoutExplained(list []*candidate, found *candidate) []*candidate {
	explained := make(map[*crash]bool)
	for _, r := range found.runs {
		explained[r.crash] = true
	}
	return slices.DeleteFunc(list, func(k *candidate) bool {
		n := len(k.runs)
		k.runs = slices.DeleteFunc(k.runs, func(r run) bool { return explained[r.crash] })
		return len(k.runs) < n && !k.count()
	})
}

// likeliest returns the candidate that most likely causes its crashes, nil if there is none.
func likeliest(list []*candidate) *candidate {
	if len(list) == 0 {
		return nil
	}
	return slices.MinFunc(list, (*candidate).compare)
}

// compare orders the likelier candidate first: a part that was never answered soundly, or
// not for longer; then the one at more crashes; then the one in fewer of their requests,
// since the others share the requests with it; then the one further back, and the one whose
// requests had run for the shorter time.
func (k *candidate) compare(o *candidate) int {
	return cmp.Or(
		k.sound.Compare(o.sound),
		cmp.Compare(len(o.runs), len(k.runs)),
		cmp.Compare(k.requests, o.requests),
		cmp.Compare(o.depth, k.depth),
		cmp.Compare(k.totalRun(), o.totalRun()),
	)
}

func (k *candidate) totalRun() (sum time.Duration) {
	for _, r := range k.runs {
		sum += r.ran
	}
	return sum
}

// Check returns whether a request with these parts is blocked.
func (s *Suspects) Check(now time.Time, parts []string) Verdict {
	for _, p := range parts {
		if left := s.left(now, p); left > 0 && !s.lacksRival(p, parts) {
			k := s.suspects[p]
			return Verdict{Blocked: true, Part: p, Crashes: k.crashes, Age: now.Sub(k.last), Left: left}
		}
	}
	return Verdict{}
}

// left returns the time until a request with a part may be let through, 0 or less if it may now.
func (s *Suspects) left(now time.Time, part string) time.Duration {
	if !s.suspected(part) {
		return 0
	}
	k := s.suspects[part]
	if left := k.last.Add(suspicion(k.rounds)).Sub(now); left > 0 {
		return left
	}
	return k.trialDue(s.opts.Rank(part)).Sub(now)
}

// lacksRival reports whether a request with these parts has a suspected identity, but not all that
// may have caused the crashes instead.
func (s *Suspects) lacksRival(identity string, parts []string) bool {
	return isIdentity(identity) && slices.ContainsFunc(s.rivals(identity), func(r string) bool { return !slices.Contains(parts, r) })
}

// rivals returns what was in a request with this identity at each crash since its last sound answer,
// and was itself not answered soundly since the first of them.
func (s *Suspects) rivals(identity string) (list []string) {
	crashes := slices.DeleteFunc(slices.Clone(s.crashes), func(c *crash) bool { return !c.parts[identity] || !c.at.After(s.sound[identity]) })
	slices.SortFunc(crashes, func(a, b *crash) int { return a.at.Compare(b.at) })
	exceptions := 0
	for i, c := range crashes {
		beside := c.requests.beside(identity)
		if i == 0 {
			list = slices.Collect(maps.Keys(beside))
		}
		n := len(list)
		list = slices.DeleteFunc(list, func(p string) bool { return !beside[p] })
		if i >= minCrashes && len(list) < n {
			exceptions++
		}
	}
	if len(crashes) == 0 || exceptions >= maxExceptions {
		return nil
	}
	return slices.DeleteFunc(list, func(p string) bool { return s.sound[p].After(crashes[0].at) })
}

// Admit is Check for a request that is about to be sent. If it is the trial of a suspected
// part, the next one is not due before all instances have had their turn.
func (s *Suspects) Admit(now time.Time, parts []string) Verdict {
	if v := s.Check(now, parts); v.Blocked {
		return v
	}
	for _, p := range parts {
		if s.suspected(p) && s.left(now, p) <= 0 {
			s.suspects[p].trial = now
		}
	}
	return Verdict{}
}

// suspicion returns the length of a suspicion by its round, from 1.
func suspicion(round int) time.Duration {
	return min(baseSuspicion<<min(max(round-1, 0), 8), maxSuspicion)
}

// trialDue returns when the instance of a rank may let a request through.
func (k *suspect) trialDue(rank int) time.Time {
	due := k.last.Add(suspicion(k.rounds) + time.Duration(rank)*trialTurn)
	if k.trial.After(k.last) {
		if again := k.trial.Add(suspicion(k.rounds)); again.After(due) {
			return again
		}
	}
	return due
}

// Report returns what other instances need to know: the crashes and sound parts that
// this instance observed lately, and all suspected parts.
func (s *Suspects) Report(now time.Time) sr.CrashReport {
	var out sr.CrashReport
	for _, c := range s.crashes {
		if len(c.own.list) > 0 && now.Sub(c.at) <= reportPeriod {
			k := sr.Crash{Endpoint: c.endpoint, Born: c.born, Age: now.Sub(c.at)}
			for _, r := range c.own.list {
				k.Requests, k.Ran = append(k.Requests, r.parts), append(k.Ran, r.ran)
			}
			out.Crashes = append(out.Crashes, k)
		}
	}
	for p, at := range s.cleared {
		if now.Sub(at) <= reportPeriod {
			out.Sound = append(out.Sound, sr.SoundPart{ID: p, Age: now.Sub(at)})
		}
	}
	for p, k := range s.suspects {
		if k.crashes > 0 {
			out.Suspects = append(out.Suspects, sr.SuspectPart{ID: p, Age: now.Sub(k.last), Crashes: k.crashes, Rounds: k.rounds})
		}
	}
	slices.SortFunc(out.Crashes, func(a, b sr.Crash) int { return cmp.Compare(a.Age, b.Age) })
	slices.SortFunc(out.Sound, func(a, b sr.SoundPart) int { return cmp.Compare(a.Age, b.Age) })
	slices.SortFunc(out.Suspects, func(a, b sr.SuspectPart) int { return cmp.Compare(a.Age, b.Age) })
	out.Crashes = out.Crashes[:min(len(out.Crashes), maxReported)]
	out.Sound = out.Sound[:min(len(out.Sound), maxReported)]
	return out
}

// Receive applies the report of another instance.
func (s *Suspects) Receive(now time.Time, r sr.CrashReport) []Change {
	var out []Change
	changed := false
	for _, p := range r.Suspects {
		if change, ok := s.receiveSuspect(now, p); ok {
			out = append(out, change)
		}
	}
	for _, p := range r.Sound {
		if len(p.ID) > maxKey {
			continue
		}
		if change, ok := s.addSound(now.Add(-p.Age), p.ID, true); ok {
			out, changed = append(out, change), true
		}
	}
	for _, c := range r.Crashes {
		changed = s.addCrash(now, c, false) || changed
	}
	if changed {
		out = append(out, s.attribute(now, true)...)
	}
	return out
}

// receiveSuspect takes over a suspected part, unless a sound answer is known from the time
// in which its crashes count. This instance then relies on its own view of the crashes.
func (s *Suspects) receiveSuspect(now time.Time, p sr.SuspectPart) (Change, bool) {
	last := now.Add(-p.Age)
	if len(p.ID) > maxKey || p.Crashes <= 0 || last.Sub(s.sound[p.ID]) < crashRetention {
		return Change{}, false
	}
	k, ok := s.suspects[p.ID]
	if ok && k.crashes > 0 {
		k.crashes, k.rounds = max(k.crashes, p.Crashes), max(k.rounds, p.Rounds)
		// The age of a report grows on its way, so a small difference is the same crash.
		if last.Sub(k.last) > sameCrash {
			k.last = last
		}
		return Change{}, false
	}
	if s.explainedByOthers(p.ID) || !ok && !s.makeRoom(now) {
		return Change{}, false
	}
	k = s.suspect(p.ID)
	k.last, k.crashes, k.rounds = last, p.Crashes, max(k.rounds, p.Rounds)
	return Change{Part: p.ID, Suspected: true, Crashes: p.Crashes, Reported: true}, true
}

// IsInvolved reports whether a kept crash ended a request with this part or identity.
func (s *Suspects) IsInvolved(part string) bool { return s.involved[part] > 0 }

// Size returns the number of entries that are kept.
func (s *Suspects) Size() int {
	return len(s.crashes) + len(s.involved) + len(s.sound) + len(s.suspects) + len(s.cleared)
}

// Sweep forgets what no longer matters.
func (s *Suspects) Sweep(now time.Time) {
	s.dropCrashes(func(c *crash) bool { return now.Sub(c.at) > crashRetention })
	maps.DeleteFunc(s.cleared, func(_ string, at time.Time) bool { return now.Sub(at) > reportPeriod })
	maps.DeleteFunc(s.sound, func(_ string, at time.Time) bool { return now.Sub(at) > soundRetention })
	maps.DeleteFunc(s.suspects, func(_ string, k *suspect) bool {
		return now.Sub(k.last) > suspicion(k.rounds)+forgetAfter
	})
}
