// Command srcapacity prints what each role costs at several sizes, with the
// slopes that docs/CAPACITY.md uses.
package main

import (
	"fmt"

	"github.com/sassafrasrail/sassafrasrail/internal/bench/srcapacity"
)

func main() {
	fmt.Println(srcapacity.Header)
	for _, s := range srcapacity.All() {
		fmt.Println(s.Row())
	}
}
