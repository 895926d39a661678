// Command sassafrasrail schedules requests for unlike engines.
package main

import (
	"os"

	"github.com/sassafrasrail/sassafrasrail/internal/app/srcli"
)

func main() {
	os.Exit(srcli.Run(os.Args[1:], os.Stdout, os.Stderr))
}
