// Package request describes urgent requests and their outcomes.
package request

import (
	"time"

	"auburnstack/core/account"
	"auburnstack/core/route"
)

// ID identifies a request among the requests of one client account.
type ID string

// AttemptID identifies one attempt to send a request to an endpoint.
type AttemptID string

// MaxBody is the maximum size in bytes of the body of a request and of an answer.
const MaxBody = 1 << 20

// Request is a caller's request after its route has been found.
type Request struct {
	ID            ID
	ClientAccount account.Name
	Kind          route.Kind
	Class         route.Class
	// Deadline is the time by which the caller must have its answer.
	Deadline time.Time
	// Idempotent is set if the request may be sent to another endpoint after an unknown outcome.
	Idempotent bool
	// CallerChoseID is set if the caller chose the ID, so that it may send the same request again.
	CallerChoseID bool
	Body          []byte
}
