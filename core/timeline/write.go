package timeline

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/pkg/errors"
)

// WriteText writes one line with aligned columns for each event.
func WriteText(w io.Writer, events []Event) error {
	for _, event := range events {
		_, err := fmt.Fprintf(w, "%s %-12s %-12s %-18s %-24s %s\n",
			event.Stamp.Time().Format("15:04:05.000"), event.FailureDomain, event.VM, event.Kind, event.Subject, event.Detail)
		if err != nil {
			return errors.WithStack(err)
		}
	}
	return nil
}

// traceEvent is one event in the Trace Event Format, the JSON format that the trace viewers of browsers read. The field
// Process holds the failure domain of the event, and the field Thread holds its VM.
type traceEvent struct {
	Name      string         `json:"name"`
	Phase     string         `json:"ph"`
	Scope     string         `json:"s"`
	Timestamp int64          `json:"ts"`
	Process   string         `json:"pid"`
	Thread    string         `json:"tid"`
	Arguments traceArguments `json:"args"`
}

// traceArguments holds the details that a trace viewer shows for an event.
type traceArguments struct {
	Subject string `json:"subject"`
	Detail  string `json:"detail"`
}

// traceFile is the content of a file in the Trace Event Format.
type traceFile struct {
	TraceEvents []traceEvent `json:"traceEvents"`
}

// WriteTrace writes events as JSON in the Trace Event Format, which the trace viewers of browsers can open.
func WriteTrace(w io.Writer, events []Event) error {
	file := traceFile{TraceEvents: []traceEvent{}}
	for _, event := range events {
		file.TraceEvents = append(file.TraceEvents, traceEvent{
			Name:      string(event.Kind) + " " + event.Subject,
			Phase:     "i",
			Scope:     "t",
			Timestamp: event.Stamp.Time().UnixMicro(),
			Process:   string(event.FailureDomain),
			Thread:    string(event.VM),
			Arguments: traceArguments{Subject: event.Subject, Detail: event.Detail},
		})
	}
	return errors.WithStack(json.NewEncoder(w).Encode(file))
}
