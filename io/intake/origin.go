package intake

import (
	"auburnstack/core/answer"
	"auburnstack/core/graph"
)

// noJob is the answer to a call about a job that its queue does not have.
var noJob = answer.Answer{Kind: answer.NoJob, Reason: "no such job was accepted"}

// rejectOther returns the answer to a call whose ID is that of another queue's or another account's job, and true. Such
// a call must neither show nor change the job: a queue may be open to callers who have no access to the job's queue.
func (c *call) rejectOther(origin graph.Origin) (answer.Answer, bool) {
	switch {
	case !origin.SameQueue(c.origin()):
		return noJob, true
	case origin.ClientAccount != c.account && !c.queue.Anonymous:
		return answer.Answer{Kind: answer.Forbidden, Reason: "the job belongs to another account"}, true
	default:
		return answer.Answer{}, false
	}
}

// origin returns the origin of a submission that the call is or may be about.
func (c *call) origin() graph.Origin {
	return graph.Origin{Queue: c.queue.Name, Address: c.queue.Address(), ClientAccount: c.account}
}

// canceledOrigin returns the origin of the submissions that a cancellation concerns: those of the caller's account, or
// of any caller in a queue that asks for no key.
func (c *call) canceledOrigin() graph.Origin {
	origin := c.origin()
	if c.queue.Anonymous {
		origin.ClientAccount = ""
	}
	return origin
}
