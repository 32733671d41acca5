// Command rig plays one case of the review: it starts the project's program as separate processes against stand-ins in
// this process, on loopback addresses and the real clock, and checks one rule by what clients, workers and the platform
// see. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"
)

const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// verdict is what a case has found. A case that could not run returns an error instead.
type verdict struct {
	broken bool
	reason string
}

// play plays a case on a site without workers and VMs. trouble is false for the run without the disruption.
type play func(s *site, trouble bool) (verdict, error)

func main() {
	os.Exit(run())
}

func run() int {
	cases := map[string]play{
		"foreign-cancel": playForeignCancel, "upkeep-handover": playUpkeepHandover, "earlier-start": playEarlierStart,
		"capitals": playCapitals, "large-burst": playLargeBurst, "long-task": playLongTask, "flapping-workers": playFlappingWorkers,
	}
	const arguments = 4
	if len(os.Args) != arguments || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE REPOSITORY RECORD")
		return exitNotRun
	}
	log, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	s, err := newSite(os.Args[2], log)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-stop
		s.Close()
		os.Exit(exitNotRun)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	log.Add("case %s, with the disruption: %t", os.Args[1], trouble)
	found, err := cases[os.Args[1]](s, trouble)
	s.Close()
	switch {
	case err != nil:
		log.Add("could not run: %s", err)
		fmt.Println("could not run:", err)
		return exitNotRun
	case found.broken:
		log.Add("BROKEN: %s", found.reason)
		fmt.Println("broken:", found.reason)
		return exitBroken
	default:
		log.Add("held: %s", strings.TrimPrefix(found.reason, "LOST: "))
		fmt.Println("held:", strings.TrimPrefix(found.reason, "LOST: "))
		return exitHeld
	}
}

// newFleet starts the given number of workers, each on a machine of its own, with their own fronts.
func (s *site) newFleet(count int) error {
	for i := range count {
		f := &front{}
		address, err := s.listen(f)
		if err != nil {
			return err
		}
		m := &machine{id: fmt.Sprintf("m-%d", i+1), front: f}
		m.worker = newWorker(fmt.Sprintf("w-%d", i+1), fmt.Sprintf("zone-%d", i%3), fmt.Sprintf("r-%d", i+1), 8,
			time.Now(), s)
		s.cloud.machines = append(s.cloud.machines, m)
		s.addWorker(f, address, m.worker)
	}
	return nil
}

// settle is the time for which a new site is left alone: a leader is elected and has reached all workers.
const settle = 4 * time.Second
