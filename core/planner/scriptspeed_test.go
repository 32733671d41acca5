package planner

import (
	"encoding/json"
	"fmt"

	qt "github.com/frankban/quicktest"

	"auburnstack/core/speed"
)

// replacePlanner replaces the planner with a new one that knows no job. The new one begins with the speeds that the
// earlier one has learned, as they are stored.
func (p *scriptRunner) replacePlanner() {
	stored, err := json.Marshal(p.planner.SpeedSummary(speed.MaxSummary, p.now))
	qt.Assert(p.t, err, qt.IsNil)
	learned := p.planner.speeds != nil
	settings := testSettings()
	settings.LearnSpeeds = p.learns
	p.planner = New(settings, p.policy)
	if !learned {
		return
	}
	var summary speed.Summary
	qt.Assert(p.t, json.Unmarshal(stored, &summary), qt.IsNil)
	qt.Assert(p.t, p.planner.RestoreSpeeds(summary, p.now), qt.IsNil)
}

// describe returns the forecast as the sessions show it, or nothing if there is none.
func (f SpeedForecast) describe() string {
	if f.Slowest == 0 {
		return ""
	}
	return fmt.Sprintf("slowest %.2f chance %.2f", f.Slowest, f.Chance)
}
