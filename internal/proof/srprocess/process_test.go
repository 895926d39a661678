package srprocess

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/peer/srclient"
	"github.com/sassafrasrail/sassafrasrail/internal/standin/srengine"
)

func prompt(text string, tokens int) srclient.Prompt {
	return srclient.Prompt{Model: "assistant", Text: text, Tokens: tokens}
}

// generate sends a prompt under a ticket of instance issuer, to the others,
// and reports each event.
func (s *site) generate(issuer int, p srclient.Prompt, on func(sr.Event), vias ...int) srclient.Result {
	ticket, err := s.client(issuer).Ticket(s.t.Context())
	assert.Check(s.t, err)
	result, err := s.client(vias...).GenerateWith(s.t.Context(), ticket, p, on)
	assert.Check(s.t, err)
	return result
}

func whole(t *testing.T, r srclient.Result, p srclient.Prompt) {
	t.Helper()
	assert.Check(t, r.Outcome == sr.OutcomeComplete, r.Reason)
	assert.Check(t, r.Text == strings.Join(srengine.Answer(p.Text, p.Tokens), ""))
}

func TestKilledIssuersAnswerIsResumedByReceipt(t *testing.T) {
	s := newSite(t)
	p := prompt("the issuer dies", 150)
	var once sync.Once
	r := s.generate(0, p, func(e sr.Event) {
		if e.Seq == 40 {
			once.Do(func() { s.signal(0, syscall.SIGKILL) })
		}
	}, 2, 0, 1)
	whole(t, r, p)
	assert.Equal(t, s.runs(p.Text), "1")
	assert.Equal(t, s.exit(0), -1)
	s.serve(0)
	s.ready(0)
	whole(t, s.generate(0, prompt("after the restart", 10), nil, 1), prompt("after the restart", 10))
}

func TestStoppedInstanceRunsNothingTwiceWhenItGoesOn(t *testing.T) {
	s := newSite(t)
	var wg sync.WaitGroup
	for n := range 20 {
		wg.Go(func() {
			ticket, err := s.client(n % instances).Ticket(t.Context())
			assert.Check(t, err)
			call := srclient.Call{Service: "intake", Operation: "book", Body: fmt.Sprintf("lot %d", n)}
			for range 2 {
				r, err := s.client(0, 1, 2).CallWith(t.Context(), ticket, call)
				assert.Check(t, err)
				if r.Outcome != sr.OutcomeUnknown {
					break
				}
			}
			s.until("outcome of lot", func() bool {
				r, err := s.client(0, 1, 2).CallWith(t.Context(), ticket, call)
				return err == nil && r.Outcome != sr.OutcomeUnknown
			})
			assert.Check(t, s.calls(ticket) == "1" || s.calls(ticket) == "0", s.calls(ticket))
		})
	}
	time.Sleep(150 * time.Millisecond)
	s.signal(1, syscall.SIGSTOP)
	time.Sleep(6 * time.Second)
	s.signal(1, syscall.SIGCONT)
	wg.Wait()
	s.ready(1)
	whole(t, s.generate(1, prompt("after the stop", 10), nil, 1), prompt("after the stop", 10))
	assert.Check(t, strings.Contains(s.logs(), "process was paused"))
}

func TestGracefulShutdownUnderLoadExitsZero(t *testing.T) {
	s := newSite(t)
	var wg sync.WaitGroup
	for n := range 16 {
		p := prompt(fmt.Sprintf("load %d", n), 220)
		wg.Go(func() {
			r := s.generate(n%instances, p, nil, n/instances%instances)
			whole(t, r, p)
			assert.Check(t, s.runs(p.Text) == "1")
		})
	}
	time.Sleep(time.Second)
	s.signal(2, syscall.SIGTERM)
	assert.Equal(t, s.exit(2), 0)
	wg.Wait()
	assert.Check(t, !strings.Contains(s.logs(), "were cut"))
}

func TestSecondSignalSaysWhatItCuts(t *testing.T) {
	s := newSite(t)
	started := make(chan struct{})
	var once sync.Once
	go s.generate(0, prompt("cut", 2000), func(sr.Event) { once.Do(func() { close(started) }) }, 0)
	<-started
	s.signal(0, syscall.SIGTERM)
	s.until("shutdown began", func() bool { return strings.Contains(s.logs(), "shutting down") })
	s.signal(0, syscall.SIGTERM)
	assert.Equal(t, s.exit(0), 3)
	assert.Check(t, strings.Contains(s.logs(), "0 waiting and 1 sent requests were cut"), s.logs())
}

func TestExitCodesOfAFailedStart(t *testing.T) {
	s := newSite(t)
	s.write("bad.ini", "[instance]\nlisten = nowhere\n")
	for file, want := range map[string]int{"bad.ini": 2, "missing.ini": 1, "instance0.ini": 1} {
		cmd := exec.Command(filepath.Join(s.bin, "sassafrasrail"), "serve", "--settings", filepath.Join(s.dir, file))
		out, err := cmd.CombinedOutput()
		assert.Check(t, err != nil)
		assert.Check(t, cmd.ProcessState.ExitCode() == want, "%s: exit code %d: %s", file, cmd.ProcessState.ExitCode(), out)
	}
}
