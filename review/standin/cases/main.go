// Command cases plays one case of the review against the program of the deploy file. It exits with 0 if the rule held,
// 1 if it was broken, and 2 if the case could not run. With TROUBLE=0 in the environment it leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"auburnstack/review/platform"
)

const (
	exitHeld      = 0
	exitBroken    = 1
	exitNotPlayed = 2
	// playTime bounds a case.
	playTime = 110 * time.Second
)

// verdict is the outcome of a case: the breaks of its rule.
type verdict struct {
	breaks []string
	err    error
}

func broken(format string, args ...any) verdict {
	return verdict{breaks: []string{fmt.Sprintf(format, args...)}}
}

// cases maps the names of the cases to the functions that play them.
var cases = map[string]func(record *platform.Record, trouble bool) verdict{
	"many-ends":       playManyEnds,
	"cancel-overtake": playCancelOvertakes,
	"large-progress":  playLargeProgress,
	"lasting-starved": playLastingStarved,
	"long-tasks":      playLongTasks,
	"refused-runs":    playRefusedRuns,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NAME FOLDER")
		os.Exit(exitNotPlayed)
	}
	record := platform.NewRecord()
	trouble := os.Getenv("TROUBLE") != "0"
	time.AfterFunc(playTime, func() {
		fmt.Fprintln(os.Stderr, "the case takes too long")
		os.Exit(exitNotPlayed)
	})
	v := cases[os.Args[1]](record, trouble)
	for _, b := range v.breaks {
		record.Note("BROKEN: %s", b)
	}
	if v.err != nil {
		record.Note("not played: %v", v.err)
	}
	if err := record.Write(filepath.Join(os.Args[2], "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotPlayed)
	}
	os.Exit(report(v))
}

// maxShown is the number of breaks that are printed.
const maxShown = 5

// report prints a verdict and returns the exit status.
func report(v verdict) int {
	switch {
	case v.err != nil:
		fmt.Println("not played:", v.err)
		return exitNotPlayed
	case len(v.breaks) > 0:
		fmt.Printf("broken, %d times; the first:\n", len(v.breaks))
		for _, b := range v.breaks[:min(len(v.breaks), maxShown)] {
			fmt.Println(" ", b)
		}
		return exitBroken
	default:
		fmt.Println("held")
		return exitHeld
	}
}
