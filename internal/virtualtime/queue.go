// Package virtualtime runs the events of simulations in tests in the order of their
// virtual times. It is not safe for concurrent use.
package virtualtime

import (
	"container/heap"
	"time"
)

// Queue holds events that have not happened yet. Events of one time happen in the order
// in which they were added. The zero value is empty.
type Queue struct {
	events events
	added  int
}

// Add adds an event that happens at a time.
func (q *Queue) Add(at time.Time, do func()) {
	q.added++
	heap.Push(&q.events, event{at: at, order: q.added, do: do})
}

// Len returns the number of events.
func (q *Queue) Len() int { return len(q.events) }

// NextAt returns the time of the next event; the queue must not be empty.
func (q *Queue) NextAt() time.Time { return q.events[0].at }

// Pop removes the next event and returns what happens; the queue must not be empty.
func (q *Queue) Pop() (do func()) { return heap.Pop(&q.events).(event).do }

type event struct {
	at    time.Time
	order int
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, k int) bool {
	if !e[i].at.Equal(e[k].at) {
		return e[i].at.Before(e[k].at)
	}
	return e[i].order < e[k].order
}
func (e events) Swap(i, k int) { e[i], e[k] = e[k], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
