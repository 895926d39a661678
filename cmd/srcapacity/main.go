// Command srcapacity prints what each role costs at several sizes, with the
// slopes that docs/CAPACITY.md uses.
package main

import (
	"flag"
	"fmt"
	"strings"

	"github.com/sassafrasrail/sassafrasrail/internal/bench/srcapacity"
)

func main() {
	only := flag.String("only", "", "measure only the costs whose names contain this")
	flag.Parse()
	fmt.Println(srcapacity.Header)
	for _, c := range srcapacity.All() {
		if strings.Contains(c.Name, *only) {
			fmt.Println(c.Measure().Row())
		}
	}
}
