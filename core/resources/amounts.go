// Package resources does arithmetic on the resources that tasks need and workers have.
package resources

// Amounts holds an amount of each kind of resource.
type Amounts struct {
	// CPU is measured in thousandths of a core.
	CPU int64 `json:",omitempty"`
	// Memory is measured in megabytes.
	Memory int64 `json:",omitempty"`
	// Accelerators is the number of whole accelerators.
	Accelerators int64 `json:",omitempty"`
}

// acceleratorCores is the number of CPU cores to which the method Cores equates one accelerator.
const acceleratorCores = 8

// Add returns the sum of two amounts.
func (a Amounts) Add(b Amounts) Amounts {
	return Amounts{CPU: a.CPU + b.CPU, Memory: a.Memory + b.Memory, Accelerators: a.Accelerators + b.Accelerators}
}

// Sub returns a minus b. Fields of the result may be negative.
func (a Amounts) Sub(b Amounts) Amounts {
	return Amounts{CPU: a.CPU - b.CPU, Memory: a.Memory - b.Memory, Accelerators: a.Accelerators - b.Accelerators}
}

// Max returns the larger amount of each resource.
func (a Amounts) Max(b Amounts) Amounts {
	return Amounts{
		CPU: max(a.CPU, b.CPU), Memory: max(a.Memory, b.Memory), Accelerators: max(a.Accelerators, b.Accelerators),
	}
}

// Times returns the amounts multiplied by n.
func (a Amounts) Times(n int) Amounts {
	return Amounts{CPU: a.CPU * int64(n), Memory: a.Memory * int64(n), Accelerators: a.Accelerators * int64(n)}
}

// Fits reports whether a fits into b: no resource has a larger amount in a than in b.
func (a Amounts) Fits(b Amounts) bool {
	return a.CPU <= b.CPU && a.Memory <= b.Memory && a.Accelerators <= b.Accelerators
}

// Count returns the number of times that the parameter need fits into a. The result is at most limit, and 0 if any
// amount in a is negative.
func (a Amounts) Count(need Amounts, limit int) int {
	if !need.Fits(a) {
		return 0
	}
	n := int64(limit)
	for _, pair := range [][2]int64{{a.CPU, need.CPU}, {a.Memory, need.Memory}, {a.Accelerators, need.Accelerators}} {
		if pair[1] > 0 {
			n = min(n, pair[0]/pair[1])
		}
	}
	return int(max(n, 0))
}

// Cores returns the amounts as an equivalent number of cores. An accelerator counts as acceleratorCores cores. Memory
// does not count.
func (a Amounts) Cores() float64 {
	return float64(a.CPU)/1000 + acceleratorCores*float64(a.Accelerators)
}
