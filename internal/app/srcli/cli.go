// Package srcli implements the command line of sassafrasrail.
//
// # Usage
//
//	sassafrasrail serve --settings instance.ini
//	sassafrasrail forward --settings forward.ini
//	sassafrasrail check --settings instance.ini --manifest manifest/
//	sassafrasrail bundle --manifest manifest/ --number 7
//	sassafrasrail dump --operate 127.0.0.1:7200
//	sassafrasrail explain --operate 127.0.0.1:7200 TICKET
//	sassafrasrail place --operate 127.0.0.1:7200 --host api.example --path /v1/chat
//	sassafrasrail send --to 127.0.0.1:7100 --key KEY --model MODEL PROMPT
//	sassafrasrail call --to 127.0.0.1:7100 --key KEY --service S --operation O BODY
//	sassafrasrail version
//
// Exit codes: 0 success, 1 the command failed or the request was not run, 2 the input
// is invalid, 3 the shutdown cut requests, 4 the request may have run and its answer
// is not complete.
package srcli

import (
	"fmt"
	"io"
	"runtime/debug"
	"slices"
	"strings"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/app/srserve"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srticket"
)

// Exit codes.
const (
	ExitDone    = 0
	ExitFailed  = 1
	ExitInvalid = 2
	ExitCut     = 3
	ExitMayRun  = 4
)

// commands defines the commands of the command line.
type commands struct {
	Serve   serveCommand   `cmd:"" help:"Run an entry instance."`
	Forward forwardCommand `cmd:"" help:"Run a forwarding instance on the platform."`
	Check   checkCommand   `cmd:"" help:"Check settings and a manifest without applying them."`
	Bundle  bundleCommand  `cmd:"" help:"Write the root.ini of a manifest from its parts."`
	Dump    dumpCommand    `cmd:"" help:"Print the state of a running instance as JSON."`
	Ready   readyCommand   `cmd:"" help:"Check whether an instance accepts requests."`
	Explain explainCommand `cmd:"" help:"Print the scheduling decisions for a ticket."`
	Place   placeCommand   `cmd:"" help:"Print where a request would go now, and why, without sending it."`
	Send    sendCommand    `cmd:"" help:"Send a model request."`
	Call    callCommand    `cmd:"" help:"Call a plain service once."`
	Version versionCommand `cmd:"" help:"Print the version."`
}

// output holds the streams that commands write to.
type output struct {
	out io.Writer
	err io.Writer
}

// Run executes the command line and returns the exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	var c commands
	parser, err := kong.New(&c,
		kong.Name("sassafrasrail"),
		kong.Description("Request scheduler for heterogeneous engines."),
		kong.Writers(stdout, stderr),
		kong.Exit(func(int) {}),
	)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitInvalid
	}
	if askedForHelp(args) {
		_, _ = parser.Parse(args)
		return ExitDone
	}
	ctx, err := parser.Parse(moveTicket(args))
	if err != nil {
		fmt.Fprintf(stderr, "sassafrasrail: %v\n", err)
		return ExitInvalid
	}
	err = ctx.Run(&output{out: stdout, err: stderr})
	if err != nil {
		fmt.Fprintf(stderr, "sassafrasrail: %v\n", err)
	}
	return exitCode(err)
}

// moveTicket moves the ticket of explain behind "--" if it begins with a dash, since the parser
// would read it as a flag.
func moveTicket(args []string) []string {
	if len(args) == 0 || args[0] != "explain" || slices.Contains(args, "--") {
		return args
	}
	isTicket := func(a string) bool {
		_, err := srticket.Parse(a)
		return strings.HasPrefix(a, "-") && err == nil
	}
	i := slices.IndexFunc(args, isTicket)
	if i < 0 {
		return args
	}
	return append(slices.Delete(slices.Clone(args), i, i+1), "--", args[i])
}

func askedForHelp(args []string) bool {
	for _, a := range args {
		if a == "--help" || a == "-h" {
			return true
		}
	}
	return false
}

func exitCode(err error) int {
	switch {
	case err == nil:
		return ExitDone
	case errors.Is(err, srserve.ErrCut):
		return ExitCut
	case errors.Is(err, errMayHaveRun):
		return ExitMayRun
	case errors.Is(err, sr.ErrInvalid), errors.Is(err, sr.ErrMissing):
		return ExitInvalid
	}
	return ExitFailed
}

type versionCommand struct{}

// Run prints the version.
func (versionCommand) Run(o *output) error {
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
	}
	_, err := fmt.Fprintln(o.out, version)
	return err
}
