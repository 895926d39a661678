// The command lab runs one case of the second review: lab CASE FOLDER. It starts the system's own
// program beside stand-ins on loopback addresses, and writes what was sent, answered and run to
// record.txt in the folder. It exits with 1 if the rule was broken, 0 if it held and 2 if the
// case could not run. With TROUBLE=0 in the environment it leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// bench is what a case works with.
type bench struct {
	dir     string
	trouble bool

	mu     sync.Mutex
	out    *os.File
	start  time.Time
	ends   []func()
	broken int
}

// record writes a line to record.txt.
func (b *bench) record(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	line := fmt.Sprintf("%8.3f  ", time.Since(b.start).Seconds()) + fmt.Sprintf(format, args...)
	_, _ = fmt.Fprintln(b.out, line)
}

// breach records that the rule was broken once.
func (b *bench) breach(format string, args ...any) {
	b.mu.Lock()
	b.broken++
	b.mu.Unlock()
	b.record("BROKEN: "+format, args...)
}

func (b *bench) atEnd(f func()) { b.ends = append(b.ends, f) }

// must ends the case as one that could not run.
func (b *bench) must(err error) {
	if err != nil {
		panic(failure{err})
	}
}

type failure struct{ error }

// store starts the store.
func (b *bench) store() *store {
	s, err := newStore()
	b.must(err)
	b.atEnd(s.close)
	return s
}

// instance starts an instance and waits until it is ready.
func (b *bench) instance(name, storeAddress string, seeds ...string) *instance {
	in, err := newInstance(b.dir, name, storeAddress, seeds)
	b.must(err)
	b.must(in.start())
	b.atEnd(in.stop)
	b.must(in.awaitReady(20 * time.Second))
	return in
}

// runner starts a runner and registers it.
func (b *bench) runner(s *store, id, service string, handle func(c *call) bool, options ...func(*runner)) *runner {
	r, err := newRunner(id, service, handle)
	b.must(err)
	for _, o := range options {
		o(r)
	}
	r.start()
	b.atEnd(func() { _ = r.ln.Close() })
	s.put("servers/"+id, r.entry("ready", 1))
	return r
}

var cases = map[string]func(b *bench){}

func main() { os.Exit(run()) }

func run() (code int) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE FOLDER")
		return 2
	}
	out, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = out.Close() }()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	b := &bench{dir: dir, trouble: os.Getenv("TROUBLE") != "0", out: out, start: time.Now()}
	defer func() {
		v := recover()
		for i := len(b.ends) - 1; i >= 0; i-- {
			b.ends[i]()
		}
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(dir)
		}
		switch f, ok := v.(failure); {
		case ok:
			b.record("the case could not run: %v", f.error)
			code = 2
		case v != nil:
			panic(v)
		case b.broken > 0:
			b.record("result: broken, %d times", b.broken)
			code = 1
		default:
			b.record("result: held")
		}
	}()
	cases[os.Args[1]](b)
	return 0
}
