package graph

// Bytes that a leader holds for a job in memory, by its parts. Measured with 8 jobs of 8,192 waiting tasks each: 432
// to 476 bytes for each task, and 1,800 for a job of one task beside its spec. A task that runs needs 168 more, its
// worker's name, and about 300 while its progress is stored.
const (
	jobFootprint  = 2 << 10
	taskFootprint = 768
	// stepFootprint is for a step in the submission, occurrenceFootprint for a step in one occurrence.
	stepFootprint       = 256
	occurrenceFootprint = 32
	afterFootprint      = 8
)

// Footprint returns an upper bound of the bytes that a leader needs to hold the job.
func (j *Job) Footprint() int64 {
	bytes, tasks := int64(jobFootprint+len(j.Spec)), int64(0)
	for i := range j.Steps {
		step := &j.Steps[i]
		tasks += int64(step.Tasks)
		bytes += int64(stepFootprint + afterFootprint*len(step.After))
		bytes += int64(len(step.Label) + len(step.DataRack) + len(step.Image))
	}
	return bytes + int64(j.Occurrences())*(int64(len(j.Steps))*occurrenceFootprint+tasks*taskFootprint)
}

// DecodedBytes returns an upper bound of the bytes that the job takes as it was submitted, before a leader plans it.
func (j *Job) DecodedBytes() int64 {
	bytes := int64(jobFootprint + len(j.Spec))
	for i := range j.Steps {
		step := &j.Steps[i]
		bytes += int64(stepFootprint + afterFootprint*cap(step.After))
		bytes += int64(len(step.Label) + len(step.DataRack) + len(step.Image))
	}
	return bytes
}
