// Package logline writes structured log lines from one duty. Whoever logs never
// waits: lines go through a bounded ring that drops the oldest ones when the
// writer falls behind, and what was dropped is counted and reported.
package logline

import (
	"bytes"
	"context"
	"io"
	"time"

	"github.com/go-kit/log"

	"rattanspur.example/lib/duty"
	"rattanspur.example/lib/ring"
)

const (
	// ringLines is the number of lines that wait for the writer.
	ringLines = 2048
	// flushEvery is the time between two writes.
	flushEvery = 100 * time.Millisecond
	// linesPerFlush bounds the lines of one write, and with flushEvery the
	// volume of the log.
	linesPerFlush = 60
)

// Log is a bounded log. Its Logger may be used by any goroutine.
type Log struct {
	lines *ring.Ring[[]byte]
	out   io.Writer
	begun time.Time
}

// New returns a log that writes to out once Run runs.
func New(out io.Writer) *Log {
	return &Log{lines: ring.New[[]byte](ringLines, ring.DropOldest), out: out, begun: time.Now()}
}

// Write implements io.Writer for one line. It never blocks.
func (l *Log) Write(line []byte) (int, error) {
	return len(line), l.lines.Put(context.Background(), bytes.Clone(line))
}

// Logger returns a logger whose lines carry the instance and the time since
// the start of the process in seconds, which no step of the clock changes.
func (l *Log) Logger(instance string) log.Logger {
	uptime := log.Valuer(func() any { return time.Since(l.begun).Seconds() })
	return log.With(log.NewLogfmtLogger(l), "ts", log.DefaultTimestampUTC, "up", uptime, "instance", instance)
}

// Run writes lines until ctx ends, and then what is left.
func (l *Log) Run(ctx context.Context) error {
	reported := uint64(0)
	logger := log.NewLogfmtLogger(l)
	for {
		first, err := l.lines.Take(ctx)
		if err != nil {
			l.flush(nil, ringLines)
			return nil
		}
		l.flush(first, linesPerFlush)
		if n := l.lines.Drops(); n > reported {
			_ = logger.Log("event", "log-dropped", "lines", n-reported)
			reported = n
		}
		_ = duty.Sleep(ctx, flushEvery)
	}
}

func (l *Log) flush(first []byte, most int) {
	buffer := bytes.NewBuffer(first)
	for range most {
		select {
		case line := <-l.lines.Out():
			buffer.Write(line)
			continue
		default:
		}
		break
	}
	if buffer.Len() > 0 {
		// A log that cannot be written must not stop the process.
		_, _ = l.out.Write(buffer.Bytes())
	}
}
