// Command sassafrasrail schedules requests for unlike engines.
package main

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/sassafrasrail/sassafrasrail/internal/app/srcli"
)

func main() {
	// A reload signal that arrives while a process starts must not end it.
	signal.Ignore(syscall.SIGHUP)
	os.Exit(srcli.Run(os.Args[1:], os.Stdout, os.Stderr))
}
