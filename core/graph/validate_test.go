package graph_test

import (
	"encoding/json"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"auburnstack/core/graph"
)

// TestValidate checks the jobs of testdata/validate.txt.
func TestValidate(t *testing.T) {
	text, err := os.ReadFile("testdata/validate.txt")
	qt.Assert(t, err, qt.IsNil)
	for _, line := range strings.Split(strings.TrimSpace(string(text)), "\n") {
		if strings.HasPrefix(line, "#") {
			continue
		}
		encoded, want, _ := strings.Cut(line, " => ")
		var job graph.Job
		qt.Assert(t, json.Unmarshal([]byte(encoded), &job), qt.IsNil, qt.Commentf("%s", line))
		got := "valid"
		if err := job.Validate(); err != nil {
			qt.Check(t, err, qt.ErrorIs, graph.ErrInvalid)
			got = err.Error()
		}
		qt.Check(t, strings.HasPrefix(got, want), qt.IsTrue, qt.Commentf("%s: got %q", line, got))
	}
}
