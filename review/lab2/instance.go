package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// instance is a process of the system, started with the command of the deploy file.
type instance struct {
	name                           string
	clients, ready, peers, operate string
	cmd                            *exec.Cmd
	settings                       string
	log                            *os.File
	done                           chan struct{}
}

// freeAddress returns a loopback address whose port is free now.
func freeAddress() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().String(), nil
}

// newInstance writes the settings of an instance: deploy/forward.ini, filled in with the values of
// a small deployment.
func newInstance(dir, name, storeAddress string, seeds []string) (*instance, error) {
	in := &instance{name: name}
	for _, a := range []*string{&in.clients, &in.ready, &in.peers, &in.operate} {
		var err error
		if *a, err = freeAddress(); err != nil {
			return nil, err
		}
	}
	text := fmt.Sprintf("[instance]\nname = %s\ndomain = zone-a\nclients = %s\nready = %s\npeers = %s\noperate = %s\n", name, in.clients, in.ready, in.peers, in.operate)
	if len(seeds) > 0 {
		text += "seeds = " + strings.Join(seeds, ",") + "\n"
	}
	text += "\n[machine]\nmemory = 284\npower = 0.4\n\n[registry]\naddress = " + storeAddress + "\nheartbeat = 1200ms\n" +
		"\n[bounds]\nrevoke = 5000ms\nconfig = 2000ms\ndrain = 2000ms\ngrace = 8s\n" +
		"\n[retry]\nratio = 0.2\nwindow = 10s\nslack = 54\n\n[allowance]\nwindow = 8s\n"
	in.settings = filepath.Join(dir, name+".ini")
	return in, os.WriteFile(in.settings, []byte(text), 0o600)
}

// start starts the process: target/sassafrasrail forward, in the repository's root.
func (in *instance) start() error {
	log, err := os.OpenFile(strings.TrimSuffix(in.settings, ".ini")+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	in.log = log
	in.cmd = exec.Command("target/sassafrasrail", "forward")
	in.cmd.Env = []string{"SASSAFRASRAIL_NODE_FILE=" + in.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	in.cmd.Stdout, in.cmd.Stderr = log, log
	if err := in.cmd.Start(); err != nil {
		return err
	}
	in.done = make(chan struct{})
	go func() {
		_ = in.cmd.Wait()
		close(in.done)
	}()
	return nil
}

func (in *instance) signal(s syscall.Signal) { _ = in.cmd.Process.Signal(s) }

// stop kills the process and waits for its end.
func (in *instance) stop() {
	if in.cmd == nil || in.cmd.Process == nil {
		return
	}
	in.signal(syscall.SIGCONT)
	in.signal(syscall.SIGKILL)
	<-in.done
	_ = in.log.Close()
}

// awaitReady waits until the instance says that it is ready.
func (in *instance) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := http.Get("http://" + in.ready + "/-/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", in.name, limit)
}
