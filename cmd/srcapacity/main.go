// Command srcapacity measures what the parts of an instance cost in bytes and time at
// several sizes. It prints a table with the slope of each cost over the size, which
// docs/CAPACITY.md uses.
package main

import (
	"flag"
	"fmt"
	"strings"

	"github.com/sassafrasrail/sassafrasrail/internal/bench/srcapacity"
)

func main() {
	only := flag.String("only", "", "measure only the costs whose name contains this text")
	flag.Parse()
	fmt.Println(srcapacity.Header)
	for _, c := range srcapacity.All() {
		if strings.Contains(c.Name, *only) {
			fmt.Println(c.Measure().Row())
		}
	}
}
