package request

// Outcome is the result of dispatching a request: Answered, NotRun or Unknown.
type Outcome interface {
	isOutcome()
}

// Answered means that the endpoint answered; Body is the complete answer.
type Answered struct {
	Body []byte
}

// NotRun means that the request did not run: it was never sent, or the endpoint refused it before running it.
type NotRun struct {
	Reason Reason
}

// Unknown means that the request may or may not have run.
type Unknown struct {
	Reason Reason
}

func (Answered) isOutcome() {}
func (NotRun) isOutcome()   {}
func (Unknown) isOutcome()  {}

// Reason is the reason for which a request has no answer.
type Reason string

// The reasons that are sent to callers.
const (
	NoRoute          Reason = "NoRoute"
	QueueFull        Reason = "QueueFull"
	RateLimited      Reason = "RateLimited"
	DeadlineTooClose Reason = "DeadlineTooClose"
	DeadlinePassed   Reason = "DeadlinePassed"
	NoEndpoint       Reason = "NoEndpoint"
	EndpointsBusy    Reason = "EndpointsBusy"
	EndpointFailed   Reason = "EndpointFailed"
	ConnectionLost   Reason = "ConnectionLost"
	Corrupted        Reason = "Corrupted"
	AlreadyClaimed   Reason = "AlreadyClaimed"
	StoreUnavailable Reason = "StoreUnavailable"
	Leaving          Reason = "Leaving"
	Canceled         Reason = "Canceled"
)

// MayRetry reports whether the request may be sent to an endpoint again: it has not run, or it may have run and is
// idempotent.
func MayRetry(r Request, outcome Outcome) bool {
	switch outcome.(type) {
	case NotRun:
		return true
	case Unknown:
		return r.Idempotent
	default:
		return false
	}
}
