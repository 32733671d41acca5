package graph

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Run numbers the runs of a task, counted from 1. Each start of the task is a new run; the number of the run is stored
// before the start and never decreases.
type Run int64

// TaskID identifies a task of a job.
type TaskID struct {
	Job        ID
	Occurrence int
	Step       int
	Index      int
}

// ErrTaskID reports a text that is not a valid task ID.
var ErrTaskID = errors.New("the text names no task")

// taskIDFields is the number of dot-separated fields in the text of a task ID.
const taskIDFields = 4

// ParseTaskID parses the text that TaskID.String returns.
func ParseTaskID(text string) (TaskID, error) {
	fields := strings.Split(text, ".")
	if len(fields) != taskIDFields {
		return TaskID{}, errors.WithMessage(ErrTaskID, text)
	}
	var numbers [taskIDFields - 1]int
	for i, field := range fields[1:] {
		n, err := strconv.Atoi(field)
		if err != nil || n < 0 {
			return TaskID{}, errors.WithMessage(ErrTaskID, text)
		}
		numbers[i] = n
	}
	return TaskID{Job: ID(fields[0]), Occurrence: numbers[0], Step: numbers[1], Index: numbers[2]}, nil
}

// String returns the job's ID, occurrence, step and index, separated by dots.
func (t TaskID) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Occurrence, t.Step, t.Index)
}

// ParentStep returns the ID of the step that the task belongs to.
func (t TaskID) ParentStep() StepID {
	return StepID{Job: t.Job, Occurrence: t.Occurrence, Step: t.Step}
}

// StepID identifies a step of one occurrence of a job.
type StepID struct {
	Job        ID
	Occurrence int
	Step       int
}

// String returns the job's ID, occurrence and step, separated by dots.
func (s StepID) String() string {
	return fmt.Sprintf("%s.%d.%d", s.Job, s.Occurrence, s.Step)
}
