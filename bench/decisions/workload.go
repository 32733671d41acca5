package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"auburnstack/core/domain"
	"auburnstack/core/job"
	"auburnstack/core/pool"
	"auburnstack/core/route"
	"auburnstack/core/shape"
)

// arrival is a job of a seeded sequence. The scheduler is not told the run time of the job.
type arrival struct {
	at      time.Duration
	id      job.ID
	pool    pool.Name
	class   route.Class
	shape   shape.Shape
	runtime time.Duration
}

// workload describes a site and the load on it.
type workload struct {
	name    string
	domains []domain.Name
	// workers is the number of workers in each failure domain.
	// rackSize is the number of workers in each rack.
	workers      int
	rackSize     int
	accelerators int
	// pools is the number of pools. Each pool has the given number of blocks, and each block has the shape blockShape.
	pools      int
	blockShape shape.Shape
	blocks     int
	// gangSizes lists the possible numbers of members of a gang. Each long job draws one of these numbers at random.
	gangSizes []int
	// load is the ratio of the work offered to the work that all accelerators can do in the time that the field
	// duration sets.
	load     float64
	duration time.Duration
	// The second failure domain is taken out at outFrom and brought back in at outTo.
	outFrom, outTo time.Duration
}

func kingston() workload {
	return workload{
		name: "kingston", domains: []domain.Name{"North", "East", "South", "West"}, workers: 12, rackSize: 6,
		accelerators: 8, pools: 4, blockShape: shape.Shape{Members: 2, Accelerators: 8}, blocks: 3,
		gangSizes: []int{1, 1, 2, 2, 4, 6}, load: 0.85, duration: 24 * time.Hour,
		outFrom: 8 * time.Hour, outTo: 11 * time.Hour,
	}
}

func association() workload {
	p := kingston()
	p.name = "association"
	p.domains = []domain.Name{"Suva", "Lautoka", "Labasa"}
	p.workers, p.rackSize = 16, 8
	return p
}

// twoYears returns a workload of the size of one region at the capacity target: 11 failure domains, 20,000 workers.
func twoYears() workload {
	p := kingston()
	p.name = "two-years"
	p.domains = nil
	for i := range 11 {
		p.domains = append(p.domains, domain.Name(fmt.Sprintf("D%02d", i)))
	}
	p.workers, p.rackSize, p.accelerators = 1818, 40, 1
	p.pools, p.blockShape, p.blocks = 1100, shape.Shape{Members: 1, Accelerators: 1}, 8
	p.gangSizes = []int{1, 1, 1, 4, 16, 64, 256, 1024}
	return p
}

// Mean run times of the classes.
const (
	urgentRuntime = 2 * time.Minute
	longRuntime   = 2 * time.Hour
	batchRuntime  = 10 * time.Minute
)

// sequence draws arrivals until the sum of their work reaches the work that the field load sets.
func (p workload) sequence(seed uint64) []arrival {
	random := rand.New(rand.NewPCG(seed, 7))
	capacity := float64(len(p.domains)*p.workers*p.accelerators) * p.duration.Seconds() * p.load
	var all []arrival
	offered := 0.0
	for offered < capacity {
		a := p.drawArrival(random, len(all))
		offered += float64(a.shape.Total()) * a.runtime.Seconds()
		all = append(all, a)
	}
	spreadArrivals(all, random, p.duration)
	return all
}

func (p workload) drawArrival(random *rand.Rand, n int) arrival {
	a := arrival{
		id: job.ID(fmt.Sprintf("j%07d", n)), pool: pool.Name(fmt.Sprintf("P%04d", random.IntN(p.pools))),
		shape: shape.Shape{Members: 1, Accelerators: 1 + random.IntN(p.accelerators)},
	}
	mean := batchRuntime
	switch draw := random.Float64(); {
	case draw < 0.2:
		a.class, mean = route.Urgent, urgentRuntime
	case draw < 0.5:
		a.class, mean = route.Long, longRuntime
		a.shape = shape.Shape{Members: p.gangSizes[random.IntN(len(p.gangSizes))], Accelerators: p.accelerators}
	default:
		a.class = route.Batch
	}
	a.runtime = max(time.Duration(random.ExpFloat64()*float64(mean)), time.Second)
	return a
}

// spreadArrivals distributes arrivals over the given duration: half of them at random times, half in bursts of one
// minute that begin at random times.
func spreadArrivals(all []arrival, random *rand.Rand, duration time.Duration) {
	burst := time.Duration(0)
	for i := range all {
		if i%40 == 0 {
			burst = time.Duration(random.Float64() * float64(duration))
		}
		if i%2 == 0 {
			all[i].at = time.Duration(random.Float64() * float64(duration))
			continue
		}
		all[i].at = min(burst+time.Duration(random.Float64()*float64(time.Minute)), duration)
	}
}

// tables returns the text of the pools table. If out is set, the table marks the second failure domain as taken out.
func (p workload) tables(out bool) string {
	text := ""
	for i := range p.pools {
		domains := ""
		for d := range p.domains {
			if d > 0 {
				domains += ", "
			}
			domains += string(p.domains[(i+d)%len(p.domains)])
		}
		text += fmt.Sprintf("[Pool.P%04d]\nClientAccount = A\nShape = %s\nCount = %d\nFailureDomains = %s\n",
			i, p.blockShape, p.blocks, domains)
	}
	if out {
		text += fmt.Sprintf("[FailureDomain.%s]\nState = Out\n", p.domains[1])
	}
	return text
}
