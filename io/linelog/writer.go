// Package linelog writes log lines without blocking the caller. It drops and counts lines that exceed the rate limit or
// arrive while the buffer is full.
package linelog

import (
	"bufio"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// bufferLines is the maximum number of lines that wait to be written.
	bufferLines = 2048
	// linesPerSecond is the maximum sustained rate of lines per second. burstLines is the maximum number of lines that
	// may arrive in one burst.
	linesPerSecond = 400
	burstLines     = 2000
	// reportInterval is the minimum time between two log lines that report the number of dropped lines.
	reportInterval = time.Second
	// writeBuffer is the size of the output buffer in bytes.
	writeBuffer = 32 << 10
)

// Writer is an io.Writer that expects exactly one line in each call of Write.
type Writer struct {
	lines   chan []byte
	limiter *rate.Limiter
	dropped atomic.Int64
	out     *bufio.Writer
	done    chan struct{}
}

// New returns a Writer and starts a goroutine that writes its lines to out.
func New(out io.Writer) *Writer {
	w := &Writer{
		lines: make(chan []byte, bufferLines), limiter: rate.NewLimiter(linesPerSecond, burstLines),
		out: bufio.NewWriterSize(out, writeBuffer), done: make(chan struct{}),
	}
	go w.run()
	return w
}

// Write queues a line or drops it. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.limiter.Allow() {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were not written.
func (w *Writer) Dropped() int64 {
	return w.dropped.Load()
}

// Close writes the queued lines and waits for the goroutine to end. Write must not be called afterwards.
func (w *Writer) Close() {
	close(w.lines)
	<-w.done
}

// run writes the queued lines. Whenever the queue is empty, run reports the number of newly dropped lines, at most once
// per reportInterval, and flushes the output.
func (w *Writer) run() {
	defer close(w.done)
	var reported int64
	var last time.Time
	for line := range w.lines {
		w.write(line)
		if len(w.lines) > 0 {
			continue
		}
		if dropped := w.dropped.Load(); dropped != reported && time.Since(last) >= reportInterval {
			w.write(fmt.Appendf(nil, "{\"@level\":\"warn\",\"@message\":\"log lines dropped\",\"count\":%d}\n",
				dropped-reported))
			reported, last = dropped, time.Now()
		}
		w.flush()
	}
	w.flush()
}

// The methods write and flush count each failed write to the output as one dropped line, since there is no other place
// to report the failure.
func (w *Writer) write(line []byte) {
	if _, err := w.out.Write(line); err != nil {
		w.dropped.Add(1)
	}
}

func (w *Writer) flush() {
	if err := w.out.Flush(); err != nil {
		w.dropped.Add(1)
	}
}
