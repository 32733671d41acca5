package coordinator

import (
	"context"
	"time"

	"auburnstack/core/planner"
	"auburnstack/io/adviser"
)

// consultTimeoutMargin is the time that is added to the adviser's response time, as the configuration states it. The
// sum is the timeout of a request to the adviser.
const consultTimeoutMargin = time.Second

// consultAnswered reports the adviser's response to a question, or that the adviser did not respond.
type consultAnswered struct {
	question planner.Consult
	advice   adviser.Advice
	answered bool
}

func (consultAnswered) isEvent() {}

// consult sends a question to the adviser. The planner asks only one question at a time.
func (t *term) consult(question planner.Consult) {
	timeout := consultTimeoutMargin
	if queue, known := t.planner.Queue(question.Step.Job); known && queue.Advice != nil {
		timeout += queue.Advice.AnswerTime(len(question.Workers))
	}
	t.spawn(func() {
		ctx, cancel := context.WithTimeout(t.role.Context(), timeout)
		defer cancel()
		start := time.Now()
		advice, err := t.config.Adviser.Consult(ctx, question.Step, question.Workers)
		if err != nil {
			t.config.Log.Warn("advice request failed", "step", question.Step.String(), "workers", len(question.Workers),
				"error", err.Error())
		} else {
			t.config.Log.Info("advised", "step", question.Step.String(), "workers", len(question.Workers),
				"permitted", len(advice.Tickets), "took", time.Since(start).String())
		}
		t.post(consultAnswered{question: question, advice: advice, answered: err == nil})
	})
}
