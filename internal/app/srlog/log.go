// Package srlog writes structured lines to standard output without ever waiting
// for it, and bounds their number by kind.
//
// # Usage
//
//	l := srlog.New(os.Stdout, srlog.Options{Name: "entry-1"})
//	defer l.Close()
//	l.State("endpoint", srlog.Endpoint, id, srlog.Revision, rev)
//	l.Failed("refused", srlog.Request, id, srlog.Reason, "full")
//	l.Served("ended", srlog.Request, id, srlog.Status, 200)
//
// Lines go into a ring of fixed size. When it is full, or when a kind has used
// its lines of the second, further lines are counted and left out; the count is
// written once a second. Lines of state and of failed requests have room of
// their own, so served requests never push them out.
package srlog

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// ringLines is the most lines that wait for the output, by class.
	ringLines = 2048
	// A class may write so many lines a second. Served requests are sampled
	// beyond the load of an instance of today, about 50 requests a second with
	// up to five lines each.
	stateLines  = 500
	failedLines = 300
	servedLines = 250
	// reportEvery is the time between two reports of lines left out.
	reportEvery = time.Second
	// closeWait bounds the time that Close waits for the output.
	closeWait = 500 * time.Millisecond
)

// class is a kind of line with a limit of its own.
type class int

const (
	classState class = iota
	classFailed
	classServed
	classes
)

var classNames = [classes]string{"state", "failed", "served"}

// Options configure a Log.
type Options struct {
	// Name is the instance's name, on every line.
	Name string
	// Quiet leaves out the lines of served requests.
	Quiet bool
}

// Log is safe for concurrent use.
type Log struct {
	opts    Options
	rings   [classes]chan []byte
	loggers [classes]logr.Logger
	limits  [classes]limiter
	dropped [classes]atomic.Int64
	stop    chan struct{}
	done    chan struct{}
	once    sync.Once
}

// New returns a Log that writes to out in a goroutine of its own.
func New(out io.Writer, o Options) *Log {
	l := &Log{opts: o, stop: make(chan struct{}), done: make(chan struct{})}
	l.limits = [classes]limiter{{most: stateLines}, {most: failedLines}, {most: servedLines}}
	for c := range classes {
		l.rings[c] = make(chan []byte, ringLines)
		core := zapcore.NewCore(encoder(), ringWriter{log: l, class: c}, zap.InfoLevel)
		l.loggers[c] = zapr.NewLogger(zap.New(core)).WithValues(Instance, o.Name)
	}
	go l.write(out)
	return l
}

func encoder() zapcore.Encoder {
	cfg := zap.NewProductionEncoderConfig()
	cfg.TimeKey, cfg.MessageKey = Time, Event
	cfg.LevelKey, cfg.CallerKey, cfg.StacktraceKey = "", "", ""
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	cfg.EncodeDuration = zapcore.StringDurationEncoder
	return zapcore.NewJSONEncoder(cfg)
}

// State writes a line about what the process believes or does.
func (l *Log) State(event string, values ...any) { l.line(classState, event, values) }

// Failed writes a line about a request that was refused, cut or tried again.
func (l *Log) Failed(event string, values ...any) { l.line(classFailed, event, values) }

// Served writes a line about a request that goes well.
func (l *Log) Served(event string, values ...any) {
	if !l.opts.Quiet {
		l.line(classServed, event, values)
	}
}

// Dropped returns the number of lines left out.
func (l *Log) Dropped() int64 {
	var n int64
	for c := range classes {
		n += l.dropped[c].Load()
	}
	return n
}

// Close writes what waits, for a short time at the most.
func (l *Log) Close() {
	l.once.Do(func() { close(l.stop) })
	select {
	case <-l.done:
	case <-time.After(closeWait):
	}
}

func (l *Log) line(c class, event string, values []any) {
	if !l.limits[c].allow(time.Now()) {
		l.dropped[c].Add(1)
		return
	}
	l.loggers[c].Info(event, values...)
}

// limiter counts the lines of the present second.
type limiter struct {
	most int

	mu     sync.Mutex
	second int64
	n      int
}

func (m *limiter) allow(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s := now.Unix(); s != m.second {
		m.second, m.n = s, 0
	}
	m.n++
	return m.n <= m.most
}
