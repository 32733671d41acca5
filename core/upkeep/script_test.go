package upkeep

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstack/core/endpoint"
	"auburnstack/core/machine"
)

var update = flag.Bool("update", false, "overwrite the .golden files with the current output of the sessions")

// TestSessions runs the commands of each testdata/*.session file and compares the tracker's actions with the .golden
// file of the same name, byte for byte.
func TestSessions(t *testing.T) {
	files, err := filepath.Glob("testdata/*.session")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(files) > 0, qt.IsTrue)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			text, err := os.ReadFile(file)
			qt.Assert(t, err, qt.IsNil)
			got := runSession(t, string(text))
			golden := strings.TrimSuffix(file, ".session") + ".golden"
			if *update {
				qt.Assert(t, os.WriteFile(golden, []byte(got), 0o600), qt.IsNil)
			}
			want, err := os.ReadFile(golden)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, got, qt.Equals, string(want))
		})
	}
}

// sessionRunner runs one session, a script with one command per line. The output repeats each line of the session;
// after a command, the actions that the tracker then returns follow.
type sessionRunner struct {
	t           *testing.T
	tracker     *Tracker
	now         time.Time
	out         strings.Builder
	machines    map[machine.ID]machine.Machine
	occupancies map[endpoint.Name]Occupancy
	waves       []Wave
	records     map[Number]Record
}

func runSession(t *testing.T, text string) string {
	p := &sessionRunner{
		t: t, tracker: New(nil), now: time.Unix(1000, 0), machines: map[machine.ID]machine.Machine{},
		occupancies: map[endpoint.Name]Occupancy{}, records: map[Number]Record{},
	}
	for _, line := range strings.Split(strings.TrimSpace(text), "\n") {
		fmt.Fprintln(&p.out, "> "+line)
		if words := strings.Fields(line); len(words) > 0 && !strings.HasPrefix(line, "#") {
			p.runCommand(words)
			p.decide()
		}
	}
	return p.out.String()
}

// runCommand runs one command, given as its words.
func (p *sessionRunner) runCommand(words []string) {
	switch words[0] {
	case "machine":
		// Syntax: machine ID STATE WORKER; "-" stands for no worker.
		states := map[string]machine.State{
			"up": machine.Up, "upkeep": machine.InUpkeep, "down": machine.Down, "moving": machine.Moving,
		}
		p.machines[machine.ID(words[1])] = machine.Machine{
			ID: machine.ID(words[1]), State: states[words[2]], Worker: endpoint.Name(strings.Trim(words[3], "-")),
		}
		p.list()
	case "gone":
		delete(p.machines, machine.ID(words[1]))
		p.list()
	case "relist":
		// Syntax: relist COUNT; the list is read again so many times, without a change.
		count, err := strconv.Atoi(words[1])
		qt.Assert(p.t, err, qt.IsNil)
		for range count {
			p.list()
		}
	case "worker":
		kinds := map[string]Occupancy{"empty": Empty, "busy": Busy, "serving": Serving}
		p.occupancies[endpoint.Name(words[1])] = kinds[words[2]]
	case "wave":
		p.wave(words[1:])
	case "after":
		d, err := time.ParseDuration(words[1])
		qt.Assert(p.t, err, qt.IsNil)
		p.now = p.now.Add(d)
	case "answer":
		outcomes := map[string]Outcome{"begun": Begun, "refused": Refused, "impossible": Impossible, "unknown": Unknown}
		p.tracker.Answered(Begin{Wave: 1, Machine: machine.ID(words[1])}, outcomes[words[2]], p.now)
	case "takeover":
		var records []Record
		for _, r := range p.records {
			records = append(records, r)
		}
		p.tracker = New(records)
		p.tracker.SetWaves(p.waves, p.now)
		p.list()
	default:
		p.t.Fatalf("unknown command %q", words[0])
	}
}

// wave adds the wave that a command describes as NUMBER SECONDS MAXDOWN MACHINE... (its duration in seconds).
func (p *sessionRunner) wave(words []string) {
	var numbers [3]int
	for i := range numbers {
		n, err := strconv.Atoi(words[i])
		qt.Assert(p.t, err, qt.IsNil)
		numbers[i] = n
	}
	wave := Wave{
		Number: Number(numbers[0]), Duration: time.Duration(numbers[1]) * time.Second, MaxDown: numbers[2],
	}
	for _, id := range words[len(numbers):] {
		wave.Machines = append(wave.Machines, machine.ID(id))
	}
	p.waves = append(p.waves, wave)
	p.tracker.SetWaves(p.waves, p.now)
}

// list passes all known machines to the tracker, sorted by ID.
func (p *sessionRunner) list() {
	var list []machine.Machine
	for _, m := range p.machines {
		list = append(list, m)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	p.tracker.SetMachines(list)
}

// decide prints the actions of the tracker. It marks reports as stored at once and then asks for actions again.
func (p *sessionRunner) decide() {
	var stored []Record
	for _, action := range p.tracker.Decide(p.now, func(name endpoint.Name) Occupancy { return p.occupancies[name] }) {
		switch a := action.(type) {
		case Retire:
			fmt.Fprintf(&p.out, "retire %s %t\n", a.Worker, a.Retired)
		case Begin:
			fmt.Fprintf(&p.out, "begin %s of wave %d\n", a.Machine, a.Wave)
		case Report:
			fmt.Fprintf(&p.out, "report wave %d begun %v complete %t ordered %v\n",
				a.Record.Number, a.Record.Begun, a.Record.Complete, a.Record.Ordered)
			p.records[a.Record.Number] = a.Record
			stored = append(stored, a.Record)
		}
	}
	for _, record := range stored {
		p.tracker.Recorded(record)
	}
	if len(stored) > 0 {
		p.decide()
	}
}
