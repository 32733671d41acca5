// Package linelog writes log lines without ever blocking the caller: lines that find the buffer full, or that exceed
// the rate, are dropped and counted.
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
	// bufferLines is the number of lines that may wait to be written.
	bufferLines = 2048
	// linesPerSecond and burstLines bound the volume.
	linesPerSecond = 400
	burstLines     = 2000
	// reportInterval is the time between two lines about dropped ones.
	reportInterval = time.Second
	// writeBuffer is the size in bytes of what is written at once.
	writeBuffer = 32 << 10
)

// Writer is an io.Writer for one line a call.
type Writer struct {
	lines   chan []byte
	limiter *rate.Limiter
	dropped atomic.Int64
	out     *bufio.Writer
	done    chan struct{}
}

// New returns a writer of lines to out.
func New(out io.Writer) *Writer {
	w := &Writer{
		lines: make(chan []byte, bufferLines), limiter: rate.NewLimiter(linesPerSecond, burstLines),
		out: bufio.NewWriterSize(out, writeBuffer), done: make(chan struct{}),
	}
	go w.run()
	return w
}

// Write takes a line; it never blocks and never fails.
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

// Close writes what waits. No call of Write may follow.
func (w *Writer) Close() {
	close(w.lines)
	<-w.done
}

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

// write and flush count a line that the output refuses as dropped, since there is nowhere else to report it.
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
