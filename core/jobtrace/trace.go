// Package jobtrace tells what happened to one job from the logs of any number of VMs.
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

// maxLine bounds a log line in bytes.
const maxLine = 1 << 20

// Line is a log line about a job.
type Line struct {
	At      time.Time
	VM      string
	Message string
	// Fields holds the other fields of the line, as text.
	Fields map[string]string
}

// Read returns the lines about a job, in the order of their times. Text before the JSON of a line is passed over, and
// so are lines without JSON.
func Read(job string, logs ...io.Reader) ([]Line, error) {
	var lines []Line
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(nil, maxLine)
		for scanner.Scan() {
			if line, about := parse(scanner.Text(), job); about {
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

func parse(text, job string) (Line, bool) {
	begin := strings.IndexByte(text, '{')
	if begin < 0 || !strings.Contains(text, job) {
		return Line{}, false
	}
	var raw map[string]any
	if err := json.Unmarshal([]byte(text[begin:]), &raw); err != nil {
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
	for _, shown := range []string{"@timestamp", "@message", "@level", "vm", "job"} {
		delete(line.Fields, shown)
	}
	return line, true
}

// Write tells the story: a line for each event, then the cause of the outcome.
func Write(out io.Writer, lines []Line) error {
	if len(lines) == 0 {
		_, err := fmt.Fprintln(out, "no line names this job")
		return errors.WithStack(err)
	}
	var text strings.Builder
	begin := lines[0].At
	for _, line := range lines {
		fmt.Fprintf(&text, "%8.3f s  %-16s %s%s\n", line.At.Sub(begin).Seconds(), line.VM, line.Message, line.fields())
	}
	fmt.Fprintln(&text, "cause: "+Cause(lines))
	_, err := io.WriteString(out, text.String())
	return errors.WithStack(err)
}

// fields returns the fields that are set, in the order of their names.
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
