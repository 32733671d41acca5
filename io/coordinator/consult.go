package coordinator

import (
	"context"
	"time"

	"auburnstack/core/planner"
	"auburnstack/io/adviser"
)

// consultMargin is added to the time that the adviser takes for a question.
const consultMargin = time.Second

// consulted is the adviser's answer.
type consulted struct {
	question planner.Consult
	advice   adviser.Advice
	answered bool
}

func (consulted) isEvent() {}

// consult asks the adviser; the planner has one question open at a time.
func (t *term) consult(question planner.Consult) {
	limit := consultMargin
	if job, known := t.planner.Queue(question.Step.Job); known && job.Advice != nil {
		limit += job.Advice.AnswerTime(len(question.Workers))
	}
	t.spawn(func() {
		ctx, cancel := context.WithTimeout(t.role.Context(), limit)
		defer cancel()
		begun := time.Now()
		advice, err := t.config.Adviser.Consult(ctx, question.Step, question.Workers)
		if err != nil {
			t.config.Log.Warn("no advice", "step", question.Step.String(), "workers", len(question.Workers),
				"error", err.Error())
		} else {
			t.config.Log.Info("advised", "step", question.Step.String(), "workers", len(question.Workers),
				"permitted", len(advice.Tickets), "took", time.Since(begun).String())
		}
		t.post(consulted{question: question, advice: advice, answered: err == nil})
	})
}
