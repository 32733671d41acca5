// Package resources counts what tasks need and what workers have.
package resources

// Amounts is a quantity of each kind of resource.
type Amounts struct {
	// CPU is in thousandths of a core.
	CPU int64 `json:",omitempty"`
	// Memory is in megabytes.
	Memory int64 `json:",omitempty"`
	// Accelerators is a count of whole accelerators.
	Accelerators int64 `json:",omitempty"`
}

// acceleratorCores is the number of cores that one accelerator weighs when different resources are compared.
const acceleratorCores = 8

// Add returns the sum of two quantities.
func (a Amounts) Add(b Amounts) Amounts {
	return Amounts{CPU: a.CPU + b.CPU, Memory: a.Memory + b.Memory, Accelerators: a.Accelerators + b.Accelerators}
}

// Sub returns what is left of a after b is taken; fields may be negative.
func (a Amounts) Sub(b Amounts) Amounts {
	return Amounts{CPU: a.CPU - b.CPU, Memory: a.Memory - b.Memory, Accelerators: a.Accelerators - b.Accelerators}
}

// Times returns n times the quantity.
func (a Amounts) Times(n int) Amounts {
	return Amounts{CPU: a.CPU * int64(n), Memory: a.Memory * int64(n), Accelerators: a.Accelerators * int64(n)}
}

// Fits tells whether a is available within b.
func (a Amounts) Fits(b Amounts) bool {
	return a.CPU <= b.CPU && a.Memory <= b.Memory && a.Accelerators <= b.Accelerators
}

// Count returns how often need fits into a, at most limit times.
func (a Amounts) Count(need Amounts, limit int) int {
	n := int64(limit)
	for _, pair := range [][2]int64{{a.CPU, need.CPU}, {a.Memory, need.Memory}, {a.Accelerators, need.Accelerators}} {
		if pair[1] > 0 {
			n = min(n, pair[0]/pair[1])
		}
	}
	return int(max(n, 0))
}

// Cores weighs the quantity as cores, with an accelerator counted as several.
func (a Amounts) Cores() float64 {
	return float64(a.CPU)/1000 + acceleratorCores*float64(a.Accelerators)
}
