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
func (s *cluster) generate(issuer int, p srclient.Prompt, onEvent func(sr.Event), targets ...int) srclient.Result {
	ticket, err := s.client(issuer).Ticket(s.t.Context())
	assert.Check(s.t, err)
	result, err := s.client(targets...).GenerateWith(s.t.Context(), ticket, p, onEvent)
	assert.Check(s.t, err)
	return result
}

func assertComplete(t *testing.T, r srclient.Result, p srclient.Prompt) {
	t.Helper()
	assert.Check(t, r.Outcome == sr.OutcomeComplete, r.Reason)
	assert.Check(t, r.Text == strings.Join(srengine.Answer(p.Text, p.Tokens), ""))
}

func TestKilledIssuersAnswerIsResumedByReceipt(t *testing.T) {
	s := newCluster(t)
	p := prompt("the issuer dies", 150)
	var once sync.Once
	r := s.generate(0, p, func(e sr.Event) {
		if e.Seq == 40 {
			once.Do(func() { s.signal(0, syscall.SIGKILL) })
		}
	}, 2, 0, 1)
	assertComplete(t, r, p)
	assert.Equal(t, s.engineRuns(p.Text), "1")
	assert.Equal(t, s.waitExit(0), -1)
	s.serve(0)
	s.waitReady(0)
	assertComplete(t, s.generate(0, prompt("after the restart", 10), nil, 1), prompt("after the restart", 10))
}

func TestStoppedInstanceRunsNothingTwiceWhenItGoesOn(t *testing.T) {
	s := newCluster(t)
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
			s.waitUntil("outcome of lot", func() bool {
				r, err := s.client(0, 1, 2).CallWith(t.Context(), ticket, call)
				return err == nil && r.Outcome != sr.OutcomeUnknown
			})
			assert.Check(t, s.serviceRuns(ticket) == "1" || s.serviceRuns(ticket) == "0", s.serviceRuns(ticket))
		})
	}
	time.Sleep(150 * time.Millisecond)
	s.signal(1, syscall.SIGSTOP)
	time.Sleep(6 * time.Second)
	s.signal(1, syscall.SIGCONT)
	wg.Wait()
	s.waitReady(1)
	assertComplete(t, s.generate(1, prompt("after the stop", 10), nil, 1), prompt("after the stop", 10))
	assert.Check(t, strings.Contains(s.logs(), "process was paused"))
}

func TestGracefulShutdownUnderLoadExitsZero(t *testing.T) {
	s := newCluster(t)
	var wg sync.WaitGroup
	for n := range 16 {
		p := prompt(fmt.Sprintf("load %d", n), 220)
		wg.Go(func() {
			r := s.generate(n%instances, p, nil, n/instances%instances)
			assertComplete(t, r, p)
			assert.Check(t, s.engineRuns(p.Text) == "1")
		})
	}
	time.Sleep(time.Second)
	s.signal(2, syscall.SIGTERM)
	assert.Equal(t, s.waitExit(2), 0)
	wg.Wait()
	assert.Check(t, !strings.Contains(s.logs(), "were cut"))
}

func TestSecondSignalSaysWhatItCuts(t *testing.T) {
	s := newCluster(t)
	started := make(chan struct{})
	var once sync.Once
	go s.generate(0, prompt("cut", 2000), func(sr.Event) { once.Do(func() { close(started) }) }, 0)
	<-started
	s.signal(0, syscall.SIGTERM)
	s.waitUntil("shutdown began", func() bool { return strings.Contains(s.logs(), "shutting down") })
	s.signal(0, syscall.SIGTERM)
	assert.Equal(t, s.waitExit(0), 3)
	assert.Check(t, strings.Contains(s.logs(), "0 waiting and 1 sent requests were cut"), s.logs())
}

func TestExitCodesOfAFailedStart(t *testing.T) {
	s := newCluster(t)
	s.write("bad.ini", "[instance]\nlisten = nowhere\n")
	for file, want := range map[string]int{"bad.ini": 2, "missing.ini": 1, "instance0.ini": 1} {
		cmd := exec.Command(filepath.Join(s.bin, "sassafrasrail"), "serve", "--settings", filepath.Join(s.dir, file))
		out, err := cmd.CombinedOutput()
		assert.Check(t, err != nil)
		assert.Check(t, cmd.ProcessState.ExitCode() == want, "%s: exit code %d: %s", file, cmd.ProcessState.ExitCode(), out)
	}
}
