package caller

import (
	"crypto/rand"
	"io"
	"net/http"

	"github.com/kataras/iris/v12"

	"auburnstack/core/request"
)

// HTTP headers of callers' requests and of the replies to them.
const (
	HeaderRequest    = "Request-Id"
	HeaderIdempotent = "Idempotent"
	HeaderDeadline   = "Deadline"
	HeaderOutcome    = "Outcome"
)

// Reasons that only the callers' interface returns.
const (
	// Unauthorized means that the call has no valid credential.
	Unauthorized request.Reason = "Unauthorized"
	// BadSubmission means that the submitted job is invalid; the detail says why.
	BadSubmission request.Reason = "BadSubmission"
	// NoSuchJob means that the job does not exist or belongs to another account.
	NoSuchJob request.Reason = "NoSuchJob"
	// OtherJob means that a different job with the same ID was submitted before.
	OtherJob request.Reason = "OtherJob"
)

// Refusal is the body of every reply without a result.
type Refusal struct {
	// Outcome is NotRun or Unknown.
	Outcome string
	Reason  request.Reason
	Detail  string `json:",omitempty"`
}

func newRequestID() request.ID {
	return request.ID(rand.Text())
}

// readAll reads a body of at most limit bytes. For a larger body it fails with *http.MaxBytesError.
func readAll(ctx iris.Context, limit int64) ([]byte, error) {
	return io.ReadAll(http.MaxBytesReader(ctx.ResponseWriter(), ctx.Request().Body, limit))
}

// refuse replies that a request was not run or that its outcome is unknown.
func refuse(ctx iris.Context, status int, outcome request.Outcome) {
	refusal := Refusal{}
	switch o := outcome.(type) {
	case request.NotRun:
		refusal = Refusal{Outcome: "NotRun", Reason: o.Reason}
	case request.Unknown:
		refusal = Refusal{Outcome: "Unknown", Reason: o.Reason}
	}
	refuseWith(ctx, status, refusal)
}

func refuseWith(ctx iris.Context, status int, refusal Refusal) {
	ctx.Header(HeaderOutcome, refusal.Outcome)
	ctx.StatusCode(status)
	_ = ctx.JSON(refusal)
	ctx.StopExecution()
}

// notRunStatus returns the HTTP status for a request that was not run.
func notRunStatus(reason request.Reason) int {
	switch reason {
	case request.NoRoute:
		return http.StatusNotFound
	case request.RateLimited, request.QueueFull, request.DeadlineTooClose:
		return http.StatusTooManyRequests
	default:
		return http.StatusServiceUnavailable
	}
}

// unknownStatus returns the HTTP status for a request that may have run.
func unknownStatus(reason request.Reason) int {
	if reason == request.AlreadyClaimed {
		return http.StatusConflict
	}
	return http.StatusBadGateway
}
