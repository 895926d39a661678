package srlog

import (
	"bufio"
	"io"
	"slices"
	"time"
)

// line is a log line that waits for the output.
type line struct {
	class class
	text  []byte
}

// queueWriter appends lines of a class to the queue, or drops them if too many of it wait.
type queueWriter struct {
	log   *Log
	class class
}

// Write implements zapcore.WriteSyncer.
func (w queueWriter) Write(p []byte) (int, error) {
	if w.log.waiting[w.class].Add(1) > queueCapacity {
		w.log.waiting[w.class].Add(-1)
		w.log.dropped[w.class].Add(1)
		return len(p), nil
	}
	// There is room for the lines of all classes.
	w.log.queue <- line{class: w.class, text: slices.Clone(p)}
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
		case n := <-l.queue:
			l.copyLine(b, n)
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

// copyLine copies a line that was taken from the queue.
func (l *Log) copyLine(b *bufio.Writer, n line) {
	l.waiting[n.class].Add(-1)
	_, _ = b.Write(n.text)
}

// drain copies the lines that are queued now.
func (l *Log) drain(b *bufio.Writer) {
	for n := len(l.queue); n > 0; n-- {
		l.copyLine(b, <-l.queue)
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
