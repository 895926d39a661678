// Command srends reads logs of forwarding instances and prints how their requests ended near
// changes of the configuration and at other times.
//
// # Usage
//
//	srends < instances.log
//	srends --before 1s --after 1s a.log b.log
package main

import (
	"io"
	"os"
	"time"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"

	"github.com/sassafrasrail/sassafrasrail/internal/bench/srends"
)

// options holds the flags of the command line.
type options struct {
	Before time.Duration `help:"Time before a change that counts as near it." default:"1s"`
	After  time.Duration `help:"Time after a change that counts as near it." default:"4s"`
	Logs   []string      `arg:"" optional:"" help:"Log files. The default is standard input." type:"existingfile"`
}

func main() {
	var o options
	ctx := kong.Parse(&o, kong.Description("Prints how requests ended near changes of the configuration and at other times."))
	ctx.FatalIfErrorf(run(o, os.Stdin, os.Stdout))
}

func run(o options, in io.Reader, out io.Writer) error {
	t := srends.New(srends.Options{Before: o.Before, After: o.After})
	if len(o.Logs) == 0 {
		if err := t.Read(in); err != nil {
			return err
		}
	}
	for _, name := range o.Logs {
		if err := readFile(t, name); err != nil {
			return err
		}
	}
	return t.Write(out)
}

func readFile(t *srends.Table, name string) error {
	f, err := os.Open(name)
	if err != nil {
		return errors.Wrap(err, "srends")
	}
	defer f.Close()
	return t.Read(f)
}
