// Package srlog writes structured log lines without blocking on the output, and
// limits the rate of each class of lines.
//
// # Usage
//
//	l := srlog.New(os.Stdout, srlog.Options{Name: "entry-1"})
//	defer l.Close()
//	l.State("endpoint", srlog.Endpoint, id, srlog.Revision, rev)
//	l.Failed("refused", srlog.Request, id, srlog.Reason, "full")
//	l.Served("ended", srlog.Request, id, srlog.Status, 200)
//
// Lines are written in the order in which they were logged. Each class has a fixed
// number of lines that may wait for the output, and a limit per second. Lines
// beyond either are dropped and counted, and the count is logged once a second.
// Lines about state and about failed requests are classes of their own, so served
// requests never displace them.
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
	// queueCapacity is the number of lines of a class that may wait for the output.
	queueCapacity = 2048
	// Limits of lines per second by class. The limit for served requests covers the
	// expected load of an instance, about 50 requests per second with up to five
	// lines each; beyond it, lines are dropped.
	maxStateLines  = 500
	maxFailedLines = 300
	maxServedLines = 250
	// reportInterval is the interval between two reports of dropped lines.
	reportInterval = time.Second
	// closeTimeout bounds the time that Close waits for the output.
	closeTimeout = 500 * time.Millisecond
)

// class is a class of lines with its own queue and limit.
type class int

const (
	classState class = iota
	classFailed
	classServed
	classCount
)

var classNames = [classCount]string{"state", "failed", "served"}

// Options configure a Log.
type Options struct {
	// Name is the instance's name, which is part of every line.
	Name string
	// Quiet disables the lines about served requests.
	Quiet bool
}

// Log writes log lines. It is safe for concurrent use.
type Log struct {
	opts Options
	// queue holds the lines of all classes in the order in which they were logged, waiting the
	// number of those of each class.
	queue    chan line
	waiting  [classCount]atomic.Int64
	loggers  [classCount]logr.Logger
	limiters [classCount]limiter
	dropped  [classCount]atomic.Int64
	stop     chan struct{}
	done     chan struct{}
	once     sync.Once
}

// New returns a Log that writes to out in a separate goroutine.
func New(out io.Writer, o Options) *Log {
	l := &Log{opts: o, queue: make(chan line, classCount*queueCapacity), stop: make(chan struct{}), done: make(chan struct{})}
	l.limiters = [classCount]limiter{{limit: maxStateLines}, {limit: maxFailedLines}, {limit: maxServedLines}}
	for c := range classCount {
		core := zapcore.NewCore(encoder(), queueWriter{log: l, class: c}, zap.InfoLevel)
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

// State logs a change in the state of the process or in its view of the fleet.
func (l *Log) State(event string, values ...any) { l.log(classState, event, values) }

// Failed logs a step of a request that was refused, aborted or retried.
func (l *Log) Failed(event string, values ...any) { l.log(classFailed, event, values) }

// Served logs a step of a request without failures.
func (l *Log) Served(event string, values ...any) {
	if !l.opts.Quiet {
		l.log(classServed, event, values)
	}
}

// Dropped returns the number of dropped lines.
func (l *Log) Dropped() int64 {
	var n int64
	for c := range classCount {
		n += l.dropped[c].Load()
	}
	return n
}

// Close stops the Log after it has written the queued lines. It returns after
// closeTimeout even if the output blocks.
func (l *Log) Close() {
	l.once.Do(func() { close(l.stop) })
	select {
	case <-l.done:
	case <-time.After(closeTimeout):
	}
}

func (l *Log) log(c class, event string, values []any) {
	if !l.limiters[c].allow(time.Now()) {
		l.dropped[c].Add(1)
		return
	}
	l.loggers[c].Info(event, values...)
}

// limiter limits the lines per second.
type limiter struct {
	limit int

	mu    sync.Mutex
	since time.Time
	count int
}

func (m *limiter) allow(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(m.since) >= time.Second {
		m.since, m.count = now, 0
	}
	m.count++
	return m.count <= m.limit
}
