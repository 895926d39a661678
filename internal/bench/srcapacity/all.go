package srcapacity

import "slices"

// Exact returns the costs that are the same in every run.
func Exact() []Cost {
	return []Cost{
		newCost("heartbeat exchange, 18 pools", "instance", "B", []int{7, 14, 20, 40}, func(n int) float64 { return heartbeatBytes(n, 18) }),
		newCost("heartbeat exchange, 7 instances", "pool", "B", []int{4, 8, 18, 36}, func(n int) float64 { return heartbeatBytes(7, n) }),
		newCost("ask, grant and release", "prefix block", "B", []int{0, 8, 32, 64}, func(n int) float64 { return float64(requestBytes(n)) }),
		newCost("manifest text (with a quarter as many endpoints)", "workspace", "B", []int{1000, 4000, 16000, 46000}, manifestBytes),
	}
}

// Timed returns the costs that depend on the machine.
func Timed() []Cost {
	return []Cost{
		newCost("heartbeat, one side, 18 pools", "instance", "ns", []int{7, 14, 20, 40}, func(n int) float64 { return heartbeatTime(n, 18) }),
		newCost("look at ownership, 40 instances", "pool", "ns", []int{9, 18, 36, 72}, func(n int) float64 { return takeoverTime(40, n) }),
		newCost("ask, grant and release in a pool", "endpoint", "ns", []int{3, 10, 30, 87}, decisionTime),
		newCost("memory of a pool", "endpoint", "B", []int{10, 100, 1000, 4000}, poolMemory),
		newCost("change of one part of the manifest", "workspace", "ns", []int{1000, 4000, 16000, 46000}, manifestChange),
		newCost("memory of the manifest", "workspace", "B", []int{1000, 4000, 16000, 46000}, manifestMemory),
		newCost("memory of ended requests, 200 events each", "request", "B", []int{100, 400, 1600}, requestMemory),
		newCost("memory of ended requests without answers", "request", "B", []int{100, 400, 1600}, trimmedMemory),
		newCost("memory of recorded decisions", "step", "B", []int{1000, 4000, 16000}, recordMemory),
	}
}

// All returns every cost.
func All() []Cost { return slices.Concat(Exact(), Timed()) }

// Cost is something to measure at several sizes.
type Cost struct {
	Name  string
	per   string
	unit  string
	sizes []int
	at    func(size int) float64
}

func newCost(name, per, unit string, sizes []int, at func(int) float64) Cost {
	return Cost{Name: name, per: per, unit: unit, sizes: sizes, at: at}
}

// Measure returns the cost at each size.
func (c Cost) Measure() Series {
	s := Series{Name: c.Name, Per: c.per, Unit: c.unit}
	for _, n := range c.sizes {
		s.Points = append(s.Points, Point{Size: float64(n), Value: c.at(n)})
	}
	return s
}
