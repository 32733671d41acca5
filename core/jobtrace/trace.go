// Package jobtrace reconstructs what happened to one job from the logs of any number of VMs.
package jobtrace

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// maxLine is the maximum length of a log line in bytes.
const maxLine = 1 << 20

// Line is a log line about a job.
type Line struct {
	// At is the timestamp of the line.
	At      time.Time
	VM      string
	Message string
	// Fields holds, as text, the values of the log fields that have no field of their own in Line, except the level and
	// the job.
	Fields map[string]string
}

// Messages about the limits of client accounts. These lines name no job.
const (
	reachedLimit = "account reached its limit"
	leftLimit    = "account left its limit"
)

// Read returns the log lines about a job, and those about the limit of its client account during the job, ordered by
// timestamp. It ignores text before the JSON object of a line, and lines without a JSON object.
func Read(job string, logs ...io.Reader) ([]Line, error) {
	var lines, limits []Line
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(nil, maxLine)
		for scanner.Scan() {
			line, named, valid := parse(scanner.Text(), job)
			switch {
			case !valid:
			case named == job:
				lines = append(lines, line)
			case line.Message == reachedLimit || line.Message == leftLimit:
				limits = append(limits, line)
			}
		}
		if err := scanner.Err(); err != nil {
			return nil, errors.WithMessage(err, "a log can't be read")
		}
	}
	sortLines(lines)
	lines = append(lines, limitsDuring(lines, limits)...)
	sortLines(lines)
	return lines, nil
}

func sortLines(lines []Line) {
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].At.Before(lines[j].At) })
}

// limitsDuring returns those of the lines about limits that concern the job's account while the job was known. A limit
// that was reached before and not left counts.
func limitsDuring(lines, limits []Line) []Line {
	queued := lastLine(lines, "job queued")
	if queued == nil || queued.Fields["account"] == "" {
		return nil
	}
	sortLines(limits)
	var during []Line
	for _, limit := range limits {
		ended := lastLine(lines, "job ended")
		if limit.Fields["account"] != queued.Fields["account"] || ended != nil && limit.At.After(ended.At) {
			continue
		}
		if limit.At.Before(lines[0].At) {
			during = nil
			if limit.Message == leftLimit {
				continue
			}
		}
		during = append(during, limit)
	}
	return during
}

// parse parses one log line. It returns the job that the line names, if any, and whether the line is a valid log line
// that names the given job or is about the limit of an account.
func parse(text, job string) (line Line, named string, valid bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 || !strings.Contains(text, job) && !strings.Contains(text, reachedLimit) &&
		!strings.Contains(text, leftLimit) {
		return Line{}, "", false
	}
	var raw map[string]any
	if err := json.Unmarshal([]byte(text[start:]), &raw); err != nil {
		return Line{}, "", false
	}
	line = Line{Fields: map[string]string{}}
	for name, value := range raw {
		line.Fields[name] = fmt.Sprint(value)
	}
	var err error
	if line.At, err = time.Parse(time.RFC3339Nano, line.Fields["@timestamp"]); err != nil {
		return Line{}, "", false
	}
	line.VM, line.Message, named = line.Fields["vm"], line.Fields["@message"], line.Fields["job"]
	for _, key := range []string{"@timestamp", "@message", "@level", "vm", "job"} {
		delete(line.Fields, key)
	}
	return line, named, true
}

// Write writes one output line for each log line, then a line with the cause of the job's outcome.
func Write(out io.Writer, lines []Line) error {
	if len(lines) == 0 {
		_, err := fmt.Fprintln(out, "no line names this job")
		return errors.WithStack(err)
	}
	var text strings.Builder
	start := lines[0].At
	for _, line := range lines {
		fmt.Fprintf(&text, "%8.3f s  %-16s %s%s\n", line.At.Sub(start).Seconds(), line.VM, line.Message, line.fields())
	}
	fmt.Fprintln(&text, "cause: "+Cause(lines))
	_, err := io.WriteString(out, text.String())
	return errors.WithStack(err)
}

// fields returns the non-empty fields as text, ordered by name.
func (l *Line) fields() string {
	var names []string
	for name, value := range l.Fields {
		if value != "" {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	var text strings.Builder
	for _, name := range names {
		fmt.Fprintf(&text, " %s=%s", name, l.Fields[name])
	}
	return text.String()
}
