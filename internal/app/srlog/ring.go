package srlog

import (
	"bufio"
	"io"
	"slices"
	"time"
)

// ringWriter puts lines into the ring of their class.
type ringWriter struct {
	log   *Log
	class class
}

// Write implements zapcore.WriteSyncer.
func (w ringWriter) Write(p []byte) (int, error) {
	select {
	case w.log.rings[w.class] <- slices.Clone(p):
	default:
		w.log.dropped[w.class].Add(1)
	}
	return len(p), nil
}

// Sync implements zapcore.WriteSyncer.
func (w ringWriter) Sync() error { return nil }

// write copies lines to the output until the log is closed. An output that fails
// loses its lines; there is no other place to say so.
func (l *Log) write(out io.Writer) {
	defer close(l.done)
	b := bufio.NewWriter(out)
	ticker := time.NewTicker(reportEvery)
	defer ticker.Stop()
	var reported [classes]int64
	for {
		select {
		case line := <-l.rings[classState]:
			_, _ = b.Write(line)
		case line := <-l.rings[classFailed]:
			_, _ = b.Write(line)
		case line := <-l.rings[classServed]:
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

// drain copies what waits now, the important lines first.
func (l *Log) drain(b *bufio.Writer) {
	for c := range classes {
		for n := len(l.rings[c]); n > 0; n-- {
			_, _ = b.Write(<-l.rings[c])
		}
	}
}

// report tells how many lines were left out since the last report.
func (l *Log) report(reported *[classes]int64) {
	for c := range classes {
		n := l.dropped[c].Load()
		if n > reported[c] {
			l.loggers[classState].Info("lines-dropped", Class, classNames[c], Count, n-reported[c])
			reported[c] = n
		}
	}
}
