package emulator

import (
	"container/heap"
	"time"
)

// clock runs functions in the order of their times.
type clock struct {
	now   time.Time
	queue timerQueue
	// scheduled numbers the functions, so that those with equal times run in the
	// order in which they were scheduled.
	scheduled uint64
}

// after schedules a function to run once d has passed.
func (c *clock) after(d time.Duration, f func()) { c.at(c.now.Add(d), f) }

// at schedules a function to run at a time.
func (c *clock) at(t time.Time, f func()) {
	c.scheduled++
	heap.Push(&c.queue, timer{at: t, sequence: c.scheduled, run: f})
}

// runUntil runs all functions that are due before end.
func (c *clock) runUntil(end time.Time) {
	for len(c.queue) > 0 && c.queue[0].at.Before(end) {
		t := heap.Pop(&c.queue).(timer)
		c.now = t.at
		t.run()
	}
	c.now = end
}

type timer struct {
	at       time.Time
	sequence uint64
	run      func()
}

// timerQueue implements heap.Interface.
type timerQueue []timer

func (q timerQueue) Len() int      { return len(q) }
func (q timerQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q timerQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].sequence < q[j].sequence
	}
	return q[i].at.Before(q[j].at)
}

func (q *timerQueue) Push(x any) { *q = append(*q, x.(timer)) }

func (q *timerQueue) Pop() any {
	old := *q
	t := old[len(old)-1]
	*q = old[:len(old)-1]
	return t
}
