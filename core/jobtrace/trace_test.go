package jobtrace

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

var update = flag.Bool("update", false, "overwrite the .golden files with the current output for the logs")

// TestStories writes the trace of one job from each testdata/NAME-JOB.log file and compares it with the .golden file of
// the same name.
func TestStories(t *testing.T) {
	files, err := filepath.Glob("testdata/*.log")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(files) > 0, qt.IsTrue)
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".log")
		t.Run(name, func(t *testing.T) {
			log, err := os.Open(file)
			qt.Assert(t, err, qt.IsNil)
			defer func() { _ = log.Close() }()
			_, job, _ := strings.Cut(name, "-")
			lines, err := Read(job, log)
			qt.Assert(t, err, qt.IsNil)
			var got strings.Builder
			qt.Assert(t, Write(&got, lines), qt.IsNil)
			golden := strings.TrimSuffix(file, ".log") + ".golden"
			if *update {
				qt.Assert(t, os.WriteFile(golden, []byte(got.String()), 0o600), qt.IsNil)
			}
			want, err := os.ReadFile(golden)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, got.String(), qt.Equals, string(want))
		})
	}
}
