package scheduler

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets fixed defaults for rapid's flags, such as the seed, so that every run checks the same random sequences.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "8000", "rapid.steps": "60", "rapid.nofailfile": "true"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}
