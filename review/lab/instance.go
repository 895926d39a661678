package lab

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Must ends the program if a case cannot run.
func Must(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case cannot run:", err)
		KillAll()
		os.Exit(2)
	}
}

func itoa(n int) string            { return strconv.Itoa(n) }
func hex(n int) string             { return strconv.FormatInt(int64(n), 16) }
func newReader(b []byte) io.Reader { return bytes.NewReader(b) }

// Trouble reports whether the disruption is to be played.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Record writes what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
}

// NewRecord creates record.txt in the current folder.
func NewRecord() *Record {
	f, err := os.Create("record.txt")
	Must(err)
	return &Record{f: f, start: time.Now()}
}

// Now returns the time since the start.
func (r *Record) Now() time.Duration { return time.Since(r.start) }

// Printf writes a line with the time since the start.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

var (
	startedMu sync.Mutex
	started   []*Instance
)

// KillAll ends all instances that were started.
func KillAll() {
	startedMu.Lock()
	defer startedMu.Unlock()
	for _, i := range started {
		i.Signal(syscall.SIGKILL)
	}
}

// Instance is a process of the project, started as the deploy file does.
type Instance struct {
	Name                                  string
	Clients, Ready, Peers, Operate, Store string
	Zone                                  string
	Seeds                                 []string
	MemoryMB                              int
	Dir                                   string

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
}

// NewInstances returns n instances in three zones, each with a loopback address of its own. The
// first three are the seeds.
func NewInstances(n int, store, dir string) []*Instance {
	network := fmt.Sprintf("127.%d.%d.", 64+rand.IntN(128), rand.IntN(256))
	var out []*Instance
	var seeds []string
	for i := range n {
		ip := network + itoa(i+1)
		in := &Instance{
			Name: "front-" + itoa(i+1), Clients: ip + ":8221", Ready: ip + ":8224", Peers: ip + ":8229", Operate: ip + ":7600",
			Store: store, Zone: "zone-" + string(rune('a'+i%3)), MemoryMB: 134, Dir: dir,
		}
		if i < 3 {
			seeds = append(seeds, in.Peers)
		}
		out = append(out, in)
	}
	for _, in := range out {
		in.Seeds = seeds
	}
	return out
}

// settings returns deploy/forward.ini filled in with the bounds of the pages.
func (i *Instance) settings() string {
	return fmt.Sprintf(`[instance]
name = %s
domain = %s
clients = %s
ready = %s
peers = %s
operate = %s
seeds = %s

[machine]
memory = %d

[registry]
address = %s
heartbeat = 1200ms

[bounds]
revoke = 5000ms
config = 2000ms
drain = 2000ms
grace = 8s

[retry]
ratio = 0.2
window = 10s
slack = 54

[allowance]
window = 8s
`, i.Name, i.Zone, i.Clients, i.Ready, i.Peers, i.Operate, strings.Join(i.Seeds, ","), i.MemoryMB, i.Store)
}

// Root is the folder of the project.
func Root() string {
	if dir := os.Getenv("PROJECT_ROOT"); dir != "" {
		return dir
	}
	return filepath.Join("..", "..")
}

// Start starts the process. Its log goes into a file of the temporary folder.
func (i *Instance) Start() {
	root, err := filepath.Abs(Root())
	Must(err)
	file := filepath.Join(i.Dir, i.Name+".ini")
	Must(os.WriteFile(file, []byte(i.settings()), 0o600))
	log, err := os.OpenFile(filepath.Join(i.Dir, i.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	Must(err)
	defer log.Close()
	cmd := exec.Command(filepath.Join(root, "target", "sassafrasrail"), "forward")
	cmd.Dir = root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SASSAFRASRAIL_NODE_FILE=" + file}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	Must(cmd.Start())
	ended := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	i.mu.Lock()
	i.cmd, i.ended = cmd, ended
	i.mu.Unlock()
	startedMu.Lock()
	started = append(started, i)
	startedMu.Unlock()
}

// Signal sends a signal to the process.
func (i *Instance) Signal(s syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cmd != nil {
		_ = i.cmd.Process.Signal(s)
	}
}

// Ended returns a channel that is closed when the process has ended.
func (i *Instance) Ended() <-chan struct{} {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.ended
}

// WaitReady waits until the process says that it is ready.
func (i *Instance) WaitReady() {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for until := time.Now().Add(15 * time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		resp, err := c.Get("http://" + i.Ready + "/-/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
	}
	Must(fmt.Errorf("%s is not ready", i.Name))
}

// Dial connects to the clients' address of the instance.
func (i *Instance) Dial() (net.Conn, error) { return net.DialTimeout("tcp", i.Clients, time.Second) }
