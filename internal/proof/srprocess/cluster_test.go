package srprocess

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sassafrasrail/sassafrasrail/internal/peer/srclient"
	"github.com/sassafrasrail/sassafrasrail/internal/standin/srengine"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srmanifest"
)

const (
	instances = 3
	key       = "proof-key"
	// pollEvery and pollTries bound the wait for a state.
	pollInterval = 100 * time.Millisecond
	maxPolls     = 600
)

// site is a set of processes on loopback.
type cluster struct {
	t         *testing.T
	bin       string
	dir       string
	engine    string
	service   string
	processes []*process
}

// process is one program that the test started.
type process struct {
	cmd            *exec.Cmd
	logFile        string
	listenAddress  string
	operateAddress string
	peerAddress    string
	done           chan error
}

// build builds the programs once for a test.
func buildPrograms(t *testing.T) string {
	t.Helper()
	bin := t.TempDir()
	out, err := exec.Command("go", "build", "-o", bin+"/", "github.com/sassafrasrail/sassafrasrail/cmd/...").CombinedOutput()
	assert.NilError(t, err, "%s", out)
	return bin
}

// address returns a free address on loopback.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	return l.Addr().String()
}

func newCluster(t *testing.T) *cluster {
	t.Helper()
	s := &cluster{t: t, bin: buildPrograms(t), dir: t.TempDir()}
	platform := freeAddress(t)
	s.engine, s.service = freeAddress(t), freeAddress(t)
	for range instances {
		s.processes = append(s.processes, &process{listenAddress: freeAddress(t), operateAddress: freeAddress(t), peerAddress: freeAddress(t)})
	}
	args := append([]string{"platform", "--listen", platform}, s.manifest()...)
	for _, p := range s.processes {
		args = append(args, "--instance", p.peerAddress+"@brno-a")
	}
	s.start(&process{}, "platform", "standin", args...)
	s.start(&process{}, "engine", "standin", "engine", "--listen", s.engine, "--slots", "8", "--step", "20ms")
	s.start(&process{}, "service", "standin", "service", "--listen", s.service, "--latency", "200ms", "--once", "book")
	for i, p := range s.processes {
		s.write(fmt.Sprintf("instance%d.ini", i), fmt.Sprintf(
			"[instance]\nlisten = %s\noperate = %s\npeer = %s\ndomain = brno-a\n[platform]\naddress = %s\n",
			p.listenAddress, p.operateAddress, p.peerAddress, platform))
		s.serve(i)
	}
	for i := range s.processes {
		s.waitReady(i)
	}
	return s
}

// manifest writes the manifest and returns the flags that publish it.
func (s *cluster) manifest() []string {
	sum := sha256.Sum256([]byte(key))
	text := srmanifest.Bundle(1, map[string][]byte{"all": []byte(fmt.Sprintf(`
[tier dawn]
rank = 1
first = 1s
gap = 100ms
budget = 1m
[workspace plant]
tier = dawn
keys = %s
[domain brno-a]
region = cz-central
[class gen1]
prefill = 8000
decode = 50
slots = 8
cold = 8
cache = 1024
[endpoint runner1]
address = %s
domain = brno-a
class = gen1
model = assistant
[endpoint booking1]
address = %s
domain = brno-a
class = gen1
service = intake
[service intake]
repeatable = stock
`, hex.EncodeToString(sum[:]), s.engine, s.service))})
	s.write("root", string(text.Root))
	s.write("all", string(text.Parts["all"]))
	return []string{"--set", "manifest=" + filepath.Join(s.dir, "root"), "--set", "manifest/all=" + filepath.Join(s.dir, "all")}
}

func (s *cluster) write(name, text string) {
	assert.NilError(s.t, os.WriteFile(filepath.Join(s.dir, name), []byte(text), 0o600))
}

// serve starts instance i.
func (s *cluster) serve(i int) {
	s.start(s.processes[i], fmt.Sprintf("instance%d", i), "sassafrasrail", "serve", "--settings", filepath.Join(s.dir, fmt.Sprintf("instance%d.ini", i)))
}

// start runs a program, which is killed at the end of the test at the latest.
func (s *cluster) start(p *process, name, program string, args ...string) {
	p.logFile = filepath.Join(s.dir, name+".log")
	f, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	assert.NilError(s.t, err)
	p.cmd = exec.Command(filepath.Join(s.bin, program), args...)
	p.cmd.Stdout, p.cmd.Stderr = f, f
	assert.NilError(s.t, p.cmd.Start())
	f.Close()
	cmd, done := p.cmd, make(chan error, 1)
	p.done = done
	go func() { done <- cmd.Wait() }()
	s.t.Cleanup(func() { _ = cmd.Process.Kill() })
}

// ready waits until instance i takes requests.
func (s *cluster) waitReady(i int) {
	s.waitUntil(fmt.Sprintf("instance %d ready", i), func() bool {
		res, err := http.Get("http://" + s.processes[i].operateAddress + "/v1/ready")
		if err != nil {
			return false
		}
		defer res.Body.Close()
		return res.StatusCode == http.StatusOK
	})
}

// until polls for a state.
func (s *cluster) waitUntil(what string, ok func() bool) {
	s.t.Helper()
	for range maxPolls {
		if ok() {
			return
		}
		time.Sleep(pollInterval)
	}
	s.t.Fatalf("%s: not reached; %s", what, s.logs())
}

func (s *cluster) logs() string {
	var b strings.Builder
	for _, p := range s.processes {
		data, err := os.ReadFile(p.logFile)
		if err == nil {
			b.Write(data)
		}
	}
	return b.String()
}

// signal sends a signal to instance i.
func (s *cluster) signal(i int, sig syscall.Signal) {
	assert.NilError(s.t, s.processes[i].cmd.Process.Signal(sig))
}

// exit waits for the end of instance i and returns its exit code.
func (s *cluster) waitExit(i int) int {
	p := s.processes[i]
	select {
	case <-p.done:
	case <-time.After(maxPolls * pollInterval):
		s.t.Fatalf("instance %d does not end; %s", i, s.logs())
	}
	return p.cmd.ProcessState.ExitCode()
}

// client returns a client of the given instances.
func (s *cluster) client(list ...int) *srclient.Client {
	var addresses []string
	for _, i := range list {
		addresses = append(addresses, s.processes[i].listenAddress)
	}
	return srclient.New(addresses, key, &http.Client{Transport: &http.Transport{}})
}

// runs returns how often the engine took a prompt.
func (s *cluster) engineRuns(prompt string) string {
	return s.get(fmt.Sprintf("http://%s/control/runs?digest=%x", s.engine, srengine.Digest(prompt)))
}

// calls returns how often the service ran the call of a ticket.
func (s *cluster) serviceRuns(ticket string) string {
	return s.get("http://" + s.service + "/control/count?id=" + ticket)
}

func (s *cluster) get(url string) string {
	ctx, cancel := context.WithTimeout(s.t.Context(), maxPolls*pollInterval)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	assert.NilError(s.t, err)
	res, err := http.DefaultClient.Do(req)
	assert.NilError(s.t, err)
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	assert.NilError(s.t, err)
	return strings.TrimSpace(string(data))
}
