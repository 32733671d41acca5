// Package request describes urgent requests and their outcomes.
package request

import (
	"time"

	"auburnstack/core/account"
	"auburnstack/core/route"
)

// ID identifies a request of one account.
type ID string

// AttemptID identifies one dispatch of a request to one endpoint.
type AttemptID string

// MaxBody bounds the body of a request and of an answer in bytes.
const MaxBody = 1 << 20

// Request is one request of a caller after routing.
type Request struct {
	ID            ID
	ClientAccount account.Name
	Kind          route.Kind
	Class         route.Class
	// Deadline is the time by which the caller must have its answer.
	Deadline time.Time
	// Idempotent requests may be sent to another endpoint after an unknown outcome.
	Idempotent bool
	// CallerChoseID is set when the caller chose the ID and so may repeat the request.
	CallerChoseID bool
	Body          []byte
}
