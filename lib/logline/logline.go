// Package logline writes structured log lines from one duty. Logging never
// blocks: lines go through a bounded ring that drops the oldest ones when the
// writer falls behind. Dropped lines are counted and reported in the log.
package logline

import (
	"bytes"
	"context"
	"io"
	"time"
	"unicode/utf8"

	"github.com/go-kit/log"

	"rattanspur.example/lib/duty"
	"rattanspur.example/lib/ring"
)

const (
	// ringCapacity is the number of lines that can wait for the writer.
	ringCapacity = 2048
	// flushInterval is the time between two writes.
	flushInterval = 100 * time.Millisecond
	// maxLinesPerFlush limits the lines that one write adds to the first one
	// and, with flushInterval, the rate of log lines.
	maxLinesPerFlush = 60
	// maxLineBytes is the length after which a line is cut. Lines may quote what others
	// wrote, and ringCapacity of them are kept in memory.
	maxLineBytes = 8 << 10
)

// Log is a bounded log. Its Logger is safe for concurrent use.
type Log struct {
	lines     *ring.Ring[[]byte]
	out       io.Writer
	startTime time.Time
}

// New returns a log; its lines are written to out while Run runs.
func New(out io.Writer) *Log {
	return &Log{lines: ring.New[[]byte](ringCapacity, ring.DropOldest), out: out, startTime: time.Now()}
}

// Write queues one line. It implements io.Writer and never blocks.
func (l *Log) Write(line []byte) (int, error) {
	return len(line), l.lines.Put(context.Background(), cut(line))
}

// cut returns a copy of a line without what follows after maxLineBytes.
func cut(line []byte) []byte {
	if len(line) <= maxLineBytes {
		return bytes.Clone(line)
	}
	end := maxLineBytes
	for end > 0 && !utf8.RuneStart(line[end]) {
		end--
	}
	return append(bytes.Clone(line[:end]), " (cut)\n"...)
}

// Logger returns a logger whose lines carry the instance and the seconds since
// the log was created, which clock steps do not affect.
func (l *Log) Logger(instance string) log.Logger {
	uptime := log.Valuer(func() any { return time.Since(l.startTime).Seconds() })
	return log.With(log.NewLogfmtLogger(l), "ts", log.DefaultTimestampUTC, "up", uptime, "instance", instance)
}

// Run writes lines until ctx ends, and then the lines still queued.
func (l *Log) Run(ctx context.Context) error {
	reported := uint64(0)
	logger := log.NewLogfmtLogger(l)
	for {
		first, err := l.lines.Take(ctx)
		if err != nil {
			l.flush(nil, ringCapacity)
			return nil
		}
		l.flush(first, maxLinesPerFlush)
		if n := l.lines.Drops(); n > reported {
			_ = logger.Log("event", "log-dropped", "lines", n-reported)
			reported = n
		}
		_ = duty.Sleep(ctx, flushInterval)
	}
}

func (l *Log) flush(first []byte, maxLines int) {
	buffer := bytes.NewBuffer(first)
	for range maxLines {
		select {
		case line := <-l.lines.Out():
			buffer.Write(line)
			continue
		default:
		}
		break
	}
	if buffer.Len() > 0 {
		// A failed write of the log must not stop the process.
		_, _ = l.out.Write(buffer.Bytes())
	}
}
