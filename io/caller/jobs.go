package caller

import (
	"encoding/json"
	"net/http"

	"github.com/kataras/iris/v12"
	"github.com/pkg/errors"

	"auburnstack/core/job"
	"auburnstack/core/request"
	"auburnstack/io/jobs"
)

func (s *Server) serveSubmit(ctx iris.Context) {
	body, err := readAll(ctx, maxJobBody)
	if err != nil {
		refuse(ctx, http.StatusRequestEntityTooLarge, request.NotRun{Reason: request.Reason(tooLarge)})
		return
	}
	var submission jobs.Submission
	if err := json.Unmarshal(body, &submission); err != nil {
		refuseWith(ctx, http.StatusBadRequest, Refusal{Outcome: "NotRun", Reason: BadSubmission, Detail: err.Error()})
		return
	}
	record, err := s.jobs.Submit(ctx.Request().Context(), ownerOf(ctx), submission)
	s.replyJob(ctx, record, err)
}

func (s *Server) serveStatus(ctx iris.Context) {
	record, err := s.jobs.Status(ctx.Request().Context(), ownerOf(ctx), job.ID(ctx.Params().Get("id")))
	s.replyJob(ctx, record, err)
}

func (s *Server) serveCancel(ctx iris.Context) {
	record, err := s.jobs.Cancel(ctx.Request().Context(), ownerOf(ctx), job.ID(ctx.Params().Get("id")))
	s.replyJob(ctx, record, err)
}

// replyJob replies with the job's record or, if err is set, with the HTTP status for this error.
func (s *Server) replyJob(ctx iris.Context, record job.Record, err error) {
	var invalid *jobs.InvalidError
	switch {
	case err == nil:
		_ = ctx.JSON(record)
	case errors.As(err, &invalid):
		refuseWith(ctx, http.StatusUnprocessableEntity,
			Refusal{Outcome: "NotRun", Reason: BadSubmission, Detail: invalid.Error()})
	case errors.Is(err, jobs.ErrNotFound):
		refuse(ctx, http.StatusNotFound, request.NotRun{Reason: NoSuchJob})
	case errors.Is(err, jobs.ErrMismatch):
		refuse(ctx, http.StatusConflict, request.NotRun{Reason: OtherJob})
	case errors.Is(err, jobs.ErrWithdrawn):
		refuse(ctx, http.StatusConflict, request.NotRun{Reason: request.Canceled})
	case errors.Is(err, jobs.ErrLeaving):
		refuse(ctx, http.StatusServiceUnavailable, request.NotRun{Reason: request.Leaving})
	default:
		refuseWith(ctx, http.StatusBadGateway,
			Refusal{Outcome: "Unknown", Reason: request.StoreUnavailable, Detail: "repeat the call with the same ID"})
	}
}
