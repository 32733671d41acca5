package jobs

import (
	"strings"

	"auburnstack/core/account"
	"auburnstack/core/job"
)

// internalID prefixes a job's ID with its client account, so that IDs of different accounts cannot collide.
func internalID(owner account.Name, id job.ID) job.ID {
	return job.ID(string(owner) + ":" + string(id))
}

// withCallerID returns the record with the ID that the caller chose, without the client account.
func withCallerID(record job.Record) job.Record {
	_, id, _ := strings.Cut(string(record.ID), ":")
	record.ID = job.ID(id)
	return record
}
