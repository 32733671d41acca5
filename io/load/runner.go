package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"auburnstack/core/job"
	"auburnstack/core/request"
	"auburnstack/core/route"
	"auburnstack/core/shape"
	"auburnstack/io/caller"
	"auburnstack/io/endpoint"
	"auburnstack/io/jobs"
)

const (
	// callTimeout is the timeout of one call of a caller.
	callTimeout = 15 * time.Second
	// maxSubmitAttempts is the maximum number of attempts to submit a job. After an unknown outcome or a temporary
	// refusal, the submission is repeated.
	maxSubmitAttempts = 20
	// pollInterval is the time between two queries of a job's status.
	pollInterval = 500 * time.Millisecond
	// maxRedials is the maximum number of further VMs tried for a call whose connection could not be opened.
	maxRedials = 3
	// retryInterval is the time between two attempts to submit a job.
	retryInterval = 300 * time.Millisecond
	// directStream selects the random number stream of direct calls.
	directStream = 1 << 20
)

// Runner sends the load of a plan.
type Runner struct {
	plan    Plan
	http    *http.Client
	vmIndex atomic.Uint64

	mu     sync.Mutex
	report Report
	calls  sync.WaitGroup
}

// NewRunner returns a Runner that sends the plan's load when Run is called.
func NewRunner(plan Plan) *Runner {
	return &Runner{plan: plan, http: &http.Client{
		Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 64},
	}}
}

// Run sends the whole load, waits for accepted jobs to end and returns the results of all calls. While it sends the
// load, it prints interim totals to the given writer.
func (r *Runner) Run(ctx context.Context, progress io.Writer) Report {
	sending, cancel := context.WithTimeout(ctx, r.plan.Duration)
	defer cancel()
	var sources sync.WaitGroup
	for i, a := range r.plan.Accounts {
		random := func(stream int) *rand.Rand {
			return rand.New(rand.NewPCG(uint64(r.plan.Seed), uint64(i*4+stream)))
		}
		sources.Go(func() {
			r.sendArrivals(sending, random(0), a.UrgentRate, func(n int) { r.request(ctx, a, a.Urgent, n, false) })
		})
		sources.Go(func() {
			r.sendArrivals(sending, random(1), a.OnceOnlyRate, func(n int) { r.request(ctx, a, a.OnceOnly, n, true) })
		})
		sources.Go(func() {
			r.sendArrivals(sending, random(2), a.GangRate, func(n int) {
				r.job(ctx, a, a.Gang, fmt.Sprintf("gang-%d", n), "Gang", a.GangShape, a.GangTime)
			})
		})
		sources.Go(func() {
			r.sendArrivals(sending, random(3), a.BatchRate, func(n int) {
				r.job(ctx, a, a.Batch, fmt.Sprintf("batch/%d", n), "Batch", shape.Shape{Members: 1, Accelerators: 1}, a.BatchTime)
			})
		})
	}
	direct := newDirectCaller(r.plan.Direct)
	defer direct.Close()
	if len(direct.clients) > 0 {
		random := rand.New(rand.NewPCG(uint64(r.plan.Seed), directStream))
		sources.Go(func() {
			r.sendArrivals(sending, random, r.plan.Direct.Rate, func(n int) { r.addDirect(direct.call(ctx, n)) })
		})
	}
	go r.showProgress(sending, progress)
	sources.Wait()
	r.calls.Wait()
	return r.report
}

func (r *Runner) addDirect(result DirectResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Direct = append(r.report.Direct, result)
}

func (r *Runner) showProgress(ctx context.Context, w io.Writer) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(5 * time.Second):
		}
		r.mu.Lock()
		c := r.report.Count()
		r.mu.Unlock()
		fmt.Fprintf(w, "load: %d answered, %d not run, %d unknown, %d jobs ended\n",
			c.Answered, c.NotRun, c.Unknown, c.JobsFinished)
	}
}

// sendArrivals calls the function work at exponentially distributed intervals until ctx is done, on average as many
// times per second as rate says. It does not wait for earlier calls of work to end.
func (r *Runner) sendArrivals(ctx context.Context, random *rand.Rand, rate float64, work func(n int)) {
	if rate == 0 {
		return
	}
	for n := 0; ; n++ {
		wait := time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
			r.calls.Go(func() { work(n) })
		}
	}
}

// nextVMAddress returns the address at which the next VM serves callers. It selects the VMs in round-robin order, as a
// load balancer would.
func (r *Runner) nextVMAddress() netip.AddrPort {
	return r.plan.Callers[r.vmIndex.Add(1)%uint64(len(r.plan.Callers))]
}

// payload is the input that the stand-in workers expect.
type payload struct {
	Duration time.Duration
	Echo     string
}

func (r *Runner) request(ctx context.Context, a AccountPlan, kind route.Kind, n int, once bool) {
	id := request.ID(fmt.Sprintf("%s-%s-%d", a.Name, kind, n))
	body, _ := json.Marshal(payload{Duration: a.UrgentTime, Echo: string(id)})
	result := RequestResult{ClientAccount: a.Name, ID: id, Kind: kind, OnceOnly: once, Sent: time.Now()}
	header := http.Header{caller.HeaderRequest: {string(id)}}
	status, answer, err := r.call(ctx, a, http.MethodPost, "/v1/requests/"+string(kind), header, body)
	result.Took = time.Since(result.Sent)
	switch {
	case err != nil:
		result.Outcome, result.Reason = "Unknown", err.Error()
	case status == http.StatusOK:
		result.Outcome = "Answered"
		result.Wrong = string(answer) != "answer to "+string(body)
	default:
		var refusal caller.Refusal
		_ = json.Unmarshal(answer, &refusal)
		result.Outcome, result.Reason = refusal.Outcome, string(refusal.Reason)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Requests = append(r.report.Requests, result)
}

// job submits a job until a VM accepts it or rejects it for good, at most maxSubmitAttempts times. It polls an accepted
// job until the job ends, for at most the plan's Duration and Settle together, and records the result.
func (r *Runner) job(
	ctx context.Context, a AccountPlan, kind route.Kind, id, class string, wanted shape.Shape, duration time.Duration,
) {
	input, _ := json.Marshal(payload{Duration: duration})
	body, _ := json.Marshal(jobs.Submission{ID: job.ID(id), Kind: kind, Shape: wanted, Payload: input})
	result := JobResult{ClientAccount: a.Name, ID: job.ID(id), Shape: wanted, Sent: time.Now(), Class: class}
	for range maxSubmitAttempts {
		record, status, err := r.callJob(ctx, a, http.MethodPost, "/v1/jobs", body)
		if err == nil && status == http.StatusOK {
			result.Accepted, result.State = true, record.State
			break
		}
		if status == http.StatusUnprocessableEntity || status == http.StatusConflict {
			break
		}
		time.Sleep(retryInterval)
	}
	if result.Accepted {
		r.follow(ctx, a, &result)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Jobs = append(r.report.Jobs, result)
}

func (r *Runner) follow(ctx context.Context, a AccountPlan, result *JobResult) {
	deadline := time.Now().Add(r.plan.Duration + r.plan.Settle)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		record, status, err := r.callJob(ctx, a, http.MethodGet, "/v1/jobs/"+string(result.ID), nil)
		if err == nil && status == http.StatusOK {
			result.State, result.Ended = record.State, record.Ended
			if record.State.Final() {
				result.Wrong = string(record.Result) != fmt.Sprintf("result of %s:%s", a.Name, result.ID)
				return
			}
		}
		time.Sleep(pollInterval)
	}
}

func (r *Runner) callJob(
	ctx context.Context, a AccountPlan, method, path string, body []byte,
) (record job.Record, status int, err error) {
	status, answer, err := r.call(ctx, a, method, path, http.Header{}, body)
	if err == nil && status == http.StatusOK {
		err = json.Unmarshal(answer, &record)
	}
	return record, status, err
}

func (r *Runner) call(
	ctx context.Context, a AccountPlan, method, path string, header http.Header, body []byte,
) (status int, answer []byte, err error) {
	url := "http://" + r.nextVMAddress().String() + path
	message, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	message.GetBody = nil
	message.Header = header
	message.Header.Set("Authorization", "Bearer "+a.Credential)
	response, err := r.http.Do(message)
	for range maxRedials {
		if !endpoint.NeverSent(err) {
			break
		}
		// A load balancer passes a call on to the next VM if the first one does not accept the connection.
		message.URL.Host = r.nextVMAddress().String()
		message.Body = io.NopCloser(bytes.NewReader(body))
		response, err = r.http.Do(message)
	}
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err = io.ReadAll(response.Body)
	return response.StatusCode, answer, err
}
