package srlog

import (
	"bufio"
	"io"
	"slices"
	"time"
)

// queueWriter appends lines to the queue of their class, or drops them if it is full.
type queueWriter struct {
	log   *Log
	class class
}

// Write implements zapcore.WriteSyncer.
func (w queueWriter) Write(p []byte) (int, error) {
	select {
	case w.log.queues[w.class] <- slices.Clone(p):
	default:
		w.log.dropped[w.class].Add(1)
	}
	return len(p), nil
}

// Sync implements zapcore.WriteSyncer.
func (w queueWriter) Sync() error { return nil }

// write copies lines to the output until the log is closed. Write errors are ignored,
// since there is no other output to report them to.
func (l *Log) write(out io.Writer) {
	defer close(l.done)
	b := bufio.NewWriter(out)
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	var reported [classCount]int64
	for {
		select {
		case line := <-l.queues[classState]:
			_, _ = b.Write(line)
		case line := <-l.queues[classFailed]:
			_, _ = b.Write(line)
		case line := <-l.queues[classServed]:
			_, _ = b.Write(line)
		case <-ticker.C:
			l.report(&reported)
		case <-l.stop:
			l.drain(b)
			_ = b.Flush()
			return
		}
		l.drain(b)
		_ = b.Flush()
	}
}

// drain copies the lines that are queued now, those about state first and those
// about served requests last.
func (l *Log) drain(b *bufio.Writer) {
	for c := range classCount {
		for n := len(l.queues[c]); n > 0; n-- {
			_, _ = b.Write(<-l.queues[c])
		}
	}
}

// report logs the number of lines of each class dropped since the last report.
func (l *Log) report(reported *[classCount]int64) {
	for c := range classCount {
		n := l.dropped[c].Load()
		if n > reported[c] {
			l.loggers[classState].Info("lines-dropped", Class, classNames[c], Count, n-reported[c])
			reported[c] = n
		}
	}
}
