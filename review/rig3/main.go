// Command rig3 plays the scripted cases of the third review: it starts entry VMs as processes, with a store, workers
// and clients of its own, brings about the disruption of the case, and checks the rule.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitNotPlayed = 2
)

// play plays a case, with or without its disruption, and reports whether the rule was broken.
type play func(s *site, trouble bool) (bool, error)

// cases holds the cases by their names.
var cases = map[string]play{
	"flood":           playFlood,
	"long-tasks":      playLongTasks,
	"removal":         playRemoval,
	"replaced-route":  playReplacedRoute,
	"moved-queue":     playMovedQueue,
	"flapping-worker": playFlappingWorker,
	"absence":         playAbsence,
	"urgent-steps":    playUrgentSteps,
}

func main() {
	binary := flag.String("binary", "target/auburnstack", "program of the entry VMs")
	template := flag.String("template", "deploy/settings.ini", "template of the settings")
	path := flag.String("record", "record.txt", "file for the record")
	flag.Parse()
	code, err := playCase(flag.Arg(0), *binary, *template, *path, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "not played:", err)
	}
	os.Exit(code)
}

// playCase plays a case and returns the exit code.
func playCase(name, binary, template, path string, trouble bool) (int, error) {
	scenario, known := cases[name]
	if !known {
		return exitNotPlayed, fmt.Errorf("no case %q", name)
	}
	r, err := newRecord(path)
	if err != nil {
		return exitNotPlayed, err
	}
	defer r.Close()
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return exitNotPlayed, err
	}
	if os.Getenv("KEEP_LOGS") == "" {
		defer func() { _ = os.RemoveAll(folder) }()
	}
	absolute, err := filepath.Abs(binary)
	if err != nil {
		return exitNotPlayed, err
	}
	s, err := newSite(absolute, folder, r)
	if err != nil {
		return exitNotPlayed, err
	}
	defer s.Close()
	r.Add("case %s, with its disruption: %t", name, trouble)
	s.template = template
	broken, err := scenario(s, trouble)
	switch {
	case err != nil:
		r.Add("not played: %s", err)
		return exitNotPlayed, err
	case broken:
		r.Add("the rule was BROKEN")
		fmt.Println("broken")
		return exitBroken, nil
	default:
		r.Add("the rule held")
		fmt.Println("held")
		return exitHeld, nil
	}
}
