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
	"slices"
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
	// instanceCount is the number of entry instances.
	instanceCount = 3
	// key is the API key of the workspace.
	key = "proof-key"
	// pollInterval and maxPolls bound every wait to one minute.
	pollInterval = 100 * time.Millisecond
	maxPolls     = 600
)

// cluster is a set of processes on the loopback interface: the platform, an engine,
// a plain service and the entry instances.
type cluster struct {
	t *testing.T
	// bin is the directory of the programs, and dir that of settings and logs.
	bin string
	dir string
	// engine and service are the addresses of the stand-ins.
	engine  string
	service string
	// processes are the entry instances.
	processes []*process
}

// process is a running program and the addresses at which it listens.
type process struct {
	cmd            *exec.Cmd
	logFile        string
	listenAddress  string
	operateAddress string
	peerAddress    string
	// done receives the result of Wait when the program exits.
	done chan error
}

// buildPrograms builds the programs into a temporary directory.
func buildPrograms(t *testing.T) string {
	t.Helper()
	bin := t.TempDir()
	out, err := exec.Command("go", "build", "-o", bin+"/", "github.com/sassafrasrail/sassafrasrail/cmd/...").CombinedOutput()
	assert.NilError(t, err, "%s", out)
	return bin
}

// freeAddresses returns different loopback addresses whose ports are free.
func freeAddresses(t *testing.T, n int) []string {
	t.Helper()
	var out []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		// A port that is closed earlier may be given out again.
		defer l.Close()
		out = append(out, l.Addr().String())
	}
	return out
}

func newCluster(t *testing.T) *cluster {
	t.Helper()
	c := &cluster{t: t, bin: buildPrograms(t), dir: t.TempDir()}
	free := freeAddresses(t, 3+3*instanceCount)
	platform := free[0]
	c.engine, c.service = free[1], free[2]
	for own := range slices.Chunk(free[3:], 3) {
		c.processes = append(c.processes, &process{listenAddress: own[0], operateAddress: own[1], peerAddress: own[2]})
	}
	args := append([]string{"platform", "--listen", platform}, c.writeManifest()...)
	for _, p := range c.processes {
		args = append(args, "--instance", p.peerAddress+"@brno-a")
	}
	c.start(&process{}, "platform", "standin", args...)
	c.start(&process{}, "engine", "standin", "engine", "--listen", c.engine, "--slots", "8", "--step", "20ms")
	c.start(&process{}, "service", "standin", "service", "--listen", c.service, "--latency", "200ms", "--once", "book")
	for i, p := range c.processes {
		c.writeFile(fmt.Sprintf("instance%d.ini", i), fmt.Sprintf(
			"[instance]\nlisten = %s\noperate = %s\npeer = %s\ndomain = brno-a\n[platform]\naddress = %s\n",
			p.listenAddress, p.operateAddress, p.peerAddress, platform))
		c.serve(i)
	}
	for i := range c.processes {
		c.waitReady(i)
	}
	return c
}

// writeManifest writes the manifest to files and returns the flags with which the
// platform stand-in publishes them.
func (c *cluster) writeManifest() []string {
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
`, hex.EncodeToString(sum[:]), c.engine, c.service))})
	c.writeFile("root", string(text.Root))
	c.writeFile("all", string(text.Parts["all"]))
	return []string{"--set", "manifest=" + filepath.Join(c.dir, "root"), "--set", "manifest/all=" + filepath.Join(c.dir, "all")}
}

func (c *cluster) writeFile(name, text string) {
	assert.NilError(c.t, os.WriteFile(filepath.Join(c.dir, name), []byte(text), 0o600))
}

// serve starts instance i.
func (c *cluster) serve(i int) {
	c.start(c.processes[i], fmt.Sprintf("instance%d", i), "sassafrasrail", "serve", "--settings", filepath.Join(c.dir, fmt.Sprintf("instance%d.ini", i)))
}

// start starts a program, which is killed when the test ends. Its output is appended
// to the log file of its name.
func (c *cluster) start(p *process, name, program string, args ...string) {
	p.logFile = filepath.Join(c.dir, name+".log")
	f, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	assert.NilError(c.t, err)
	p.cmd = exec.Command(filepath.Join(c.bin, program), args...)
	p.cmd.Stdout, p.cmd.Stderr = f, f
	assert.NilError(c.t, p.cmd.Start())
	f.Close()
	cmd, done := p.cmd, make(chan error, 1)
	p.done = done
	go func() { done <- cmd.Wait() }()
	c.t.Cleanup(func() { _ = cmd.Process.Kill() })
}

// waitReady waits until instance i reports that it is ready.
func (c *cluster) waitReady(i int) {
	c.waitUntil(fmt.Sprintf("instance %d to be ready", i), func() bool {
		res, err := http.Get("http://" + c.processes[i].operateAddress + "/v1/ready")
		if err != nil {
			return false
		}
		defer res.Body.Close()
		return res.StatusCode == http.StatusOK
	})
}

// waitUntil polls until ok returns true, and fails the test after maxPolls.
func (c *cluster) waitUntil(what string, ok func() bool) {
	c.t.Helper()
	for range maxPolls {
		if ok() {
			return
		}
		time.Sleep(pollInterval)
	}
	c.t.Fatalf("timed out waiting for %s; logs: %s", what, c.logs())
}

// logs returns the logs of the entry instances.
func (c *cluster) logs() string {
	var b strings.Builder
	for _, p := range c.processes {
		data, err := os.ReadFile(p.logFile)
		if err == nil {
			b.Write(data)
		}
	}
	return b.String()
}

// signal sends a signal to instance i.
func (c *cluster) signal(i int, sig syscall.Signal) {
	assert.NilError(c.t, c.processes[i].cmd.Process.Signal(sig))
}

// waitExit waits until instance i exits and returns its exit code.
func (c *cluster) waitExit(i int) int {
	p := c.processes[i]
	select {
	case <-p.done:
	case <-time.After(maxPolls * pollInterval):
		c.t.Fatalf("instance %d did not exit; logs: %s", i, c.logs())
	}
	return p.cmd.ProcessState.ExitCode()
}

// client returns a client of the given instances.
func (c *cluster) client(list ...int) *srclient.Client {
	var addresses []string
	for _, i := range list {
		addresses = append(addresses, c.processes[i].listenAddress)
	}
	return srclient.New(addresses, key, &http.Client{Transport: &http.Transport{}})
}

// engineRuns returns how often the engine accepted a prompt.
func (c *cluster) engineRuns(prompt string) string {
	return c.get(fmt.Sprintf("http://%s/control/runs?digest=%x", c.engine, srengine.Digest(prompt)))
}

// serviceRuns returns how often the service ran the call with a ticket.
func (c *cluster) serviceRuns(ticket string) string {
	return c.get("http://" + c.service + "/control/count?id=" + ticket)
}

func (c *cluster) get(url string) string {
	ctx, cancel := context.WithTimeout(c.t.Context(), maxPolls*pollInterval)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	assert.NilError(c.t, err)
	res, err := http.DefaultClient.Do(req)
	assert.NilError(c.t, err)
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	assert.NilError(c.t, err)
	return strings.TrimSpace(string(data))
}
