// Command sassafrasrail schedules requests for heterogeneous engines.
package main

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/sassafrasrail/sassafrasrail/internal/app/srcli"
)

func main() {
	// SIGHUP asks a running process to reload its settings. It must not end a process
	// that is still starting.
	signal.Ignore(syscall.SIGHUP)
	os.Exit(srcli.Run(os.Args[1:], os.Stdout, os.Stderr))
}
