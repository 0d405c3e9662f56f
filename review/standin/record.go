package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file record.txt: what was sent, answered and run, with seconds since the
// start.
type record struct {
	mu        sync.Mutex
	file      *os.File
	out       *bufio.Writer
	startedAt time.Time
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	if err != nil {
		cannotRun("record: %v", err)
	}
	return &record{file: f, out: bufio.NewWriter(f), startedAt: time.Now()}
}

func (r *record) write(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, values...))
}

// say writes a line to the record and to the output.
func (r *record) say(format string, values ...any) {
	r.write(format, values...)
	fmt.Printf(format+"\n", values...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
