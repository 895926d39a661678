package srcapacity

import "slices"

// Exact returns the message and manifest sizes, which are the same in every run.
func Exact() []Cost {
	return []Cost{
		newCost("heartbeat exchange, 18 pools", "instance", "B", []int{7, 14, 20, 40}, func(n int) float64 { return heartbeatBytes(n, 18) }),
		newCost("heartbeat exchange, 7 instances", "pool", "B", []int{4, 8, 18, 36}, func(n int) float64 { return heartbeatBytes(7, n) }),
		newCost("ask, grant and release", "prefix block", "B", []int{0, 8, 32, 64}, func(n int) float64 { return float64(requestBytes(n)) }),
		newCost("manifest text (with a quarter as many endpoints)", "workspace", "B", []int{1000, 4000, 16000, 46000}, manifestBytes),
	}
}

// Timed returns the processor times and memory sizes, which depend on the machine.
func Timed() []Cost {
	return []Cost{
		newCost("heartbeat, one side, 18 pools", "instance", "ns", []int{7, 14, 20, 40}, func(n int) float64 { return heartbeatTime(n, 18) }),
		newCost("look at ownership, 40 instances", "pool", "ns", []int{9, 18, 36, 72}, func(n int) float64 { return ownershipTime(40, n) }),
		newCost("ask, grant and release in a pool", "endpoint", "ns", []int{3, 10, 30, 87}, requestTime),
		newCost("memory of a pool", "endpoint", "B", []int{10, 100, 1000, 4000}, poolMemory),
		newCost("change of one part of the manifest", "workspace", "ns", []int{1000, 4000, 16000, 46000}, manifestChange),
		newCost("memory of the manifest", "workspace", "B", []int{1000, 4000, 16000, 46000}, manifestMemory),
		newCost("memory of ended requests, 200 events each", "request", "B", []int{100, 400, 1600}, requestMemory),
		newCost("memory of ended requests without answers", "request", "B", []int{100, 400, 1600}, trimmedMemory),
		newCost("memory of recorded decisions", "step", "B", []int{1000, 4000, 16000}, recordMemory),
	}
}

// All returns the exact and the timed costs.
func All() []Cost { return slices.Concat(Exact(), Timed()) }

// Cost measures one cost of an instance at several sizes.
type Cost struct {
	Name     string
	sizeUnit string
	costUnit string
	sizes    []int
	measure  func(size int) float64
}

func newCost(name, sizeUnit, costUnit string, sizes []int, measure func(int) float64) Cost {
	return Cost{Name: name, sizeUnit: sizeUnit, costUnit: costUnit, sizes: sizes, measure: measure}
}

// Measure returns the cost at each size.
func (c Cost) Measure() Series {
	s := Series{Name: c.Name, Per: c.sizeUnit, Unit: c.costUnit}
	for _, n := range c.sizes {
		s.Points = append(s.Points, Point{Size: float64(n), Value: c.measure(n)})
	}
	return s
}
