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

// Read returns the log lines about a job, ordered by timestamp. It ignores text before the JSON object of a line, and
// lines without a JSON object.
func Read(job string, logs ...io.Reader) ([]Line, error) {
	var lines []Line
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(nil, maxLine)
		for scanner.Scan() {
			if line, matches := parse(scanner.Text(), job); matches {
				lines = append(lines, line)
			}
		}
		if err := scanner.Err(); err != nil {
			return nil, errors.WithMessage(err, "a log can't be read")
		}
	}
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].At.Before(lines[j].At) })
	return lines, nil
}

// parse parses one log line. Its second result reports whether the line is a valid log line about the job.
func parse(text, job string) (Line, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 || !strings.Contains(text, job) {
		return Line{}, false
	}
	var raw map[string]any
	if err := json.Unmarshal([]byte(text[start:]), &raw); err != nil {
		return Line{}, false
	}
	line := Line{Fields: map[string]string{}}
	for name, value := range raw {
		line.Fields[name] = fmt.Sprint(value)
	}
	if line.Fields["job"] != job {
		return Line{}, false
	}
	var err error
	if line.At, err = time.Parse(time.RFC3339Nano, line.Fields["@timestamp"]); err != nil {
		return Line{}, false
	}
	line.VM, line.Message = line.Fields["vm"], line.Fields["@message"]
	for _, key := range []string{"@timestamp", "@message", "@level", "vm", "job"} {
		delete(line.Fields, key)
	}
	return line, true
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
