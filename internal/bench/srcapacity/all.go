package srcapacity

import "slices"

// Exact returns the series that are the same in every run.
func Exact() []Series {
	return []Series{
		measure("heartbeat exchange, 18 pools", "instance", "B", []int{7, 14, 20, 40}, func(n int) float64 { return heartbeatBytes(n, 18) }),
		measure("heartbeat exchange, 7 instances", "pool", "B", []int{4, 8, 18, 36}, func(n int) float64 { return heartbeatBytes(7, n) }),
		measure("ask, grant and release", "prefix block", "B", []int{0, 8, 32, 64}, func(n int) float64 { return float64(requestBytes(n)) }),
		measure("manifest text (with a quarter as many endpoints)", "workspace", "B", []int{1000, 4000, 16000, 46000}, manifestBytes),
	}
}

// Timed returns the series that depend on the machine.
func Timed() []Series {
	return []Series{
		measure("heartbeat, one side, 18 pools", "instance", "ns", []int{7, 14, 20, 40}, func(n int) float64 { return heartbeatTime(n, 18) }),
		measure("look at ownership, 40 instances", "pool", "ns", []int{9, 18, 36, 72}, func(n int) float64 { return takeoverTime(40, n) }),
		measure("ask, grant and release in a pool", "endpoint", "ns", []int{3, 10, 30, 87}, decisionTime),
		measure("memory of a pool", "endpoint", "B", []int{10, 100, 1000, 4000}, poolMemory),
		measure("change of one part of the manifest", "workspace", "ns", []int{1000, 4000, 16000, 46000}, manifestChange),
		measure("memory of the manifest", "workspace", "B", []int{1000, 4000, 16000, 46000}, manifestMemory),
		measure("memory of ended requests, 200 events each", "request", "B", []int{100, 400, 1600}, requestMemory),
		measure("memory of recorded decisions", "step", "B", []int{1000, 4000, 16000}, recordMemory),
	}
}

// All returns every series.
func All() []Series { return slices.Concat(Exact(), Timed()) }

func measure(name, per, unit string, sizes []int, f func(int) float64) Series {
	s := Series{Name: name, Per: per, Unit: unit}
	for _, n := range sizes {
		s.Points = append(s.Points, Point{Size: float64(n), Value: f(n)})
	}
	return s
}
