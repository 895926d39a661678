// Command rig3 plays the scripted cases of the third review. It starts the program of this
// project as separate processes, beside stand-ins of the platform's store, of runners and of
// clients, all on loopback addresses.
package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: rig3 runner|case NAME DIR")
		os.Exit(2)
	}
	if os.Args[1] == "runner" {
		if err := runRunner(os.Args[2:]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
		return
	}
	if len(os.Args) != 4 || os.Args[1] != "case" {
		os.Exit(2)
	}
	os.Exit(runCase(os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0"))
}
