package main

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"auburnstack/standin/command"
)

// TestMain makes both programs available to the scripts, each run as a separate process.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"auburnstack": func() { os.Exit(execute(os.Args[1:])) },
		"standin":     func() { os.Exit(command.Execute()) },
	})
}

// TestScripts runs testdata/*.txtar. Each script is a session of operators and callers with real processes that
// communicate over the loopback interface.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata", RequireUniqueNames: true})
}
