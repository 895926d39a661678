package srlimit

// minModelSamples is the decayed number of samples needed to predict.
const minModelSamples = 5.0

// model predicts seconds from one variable by linear regression over recent samples. The
// fields are the decayed sums of the regression.
type model struct {
	n, x, y, xx, xy float64
	// variance is added to the variance of x.
	variance float64
}

func (m *model) observe(x, seconds float64) {
	f := 1 - 1/modelSamples
	m.n = m.n*f + 1
	m.x = m.x*f + x
	m.y = m.y*f + seconds
	m.xx = m.xx*f + x*x
	m.xy = m.xy*f + x*seconds
}

// slope returns the seconds for each unit of the variable, 0 when unknown.
func (m *model) slope() float64 {
	spread := m.n*m.xx - m.x*m.x + m.n*m.n*m.variance
	if m.n < minModelSamples || spread <= 0 {
		return 0
	}
	return max((m.n*m.xy-m.x*m.y)/spread, 0)
}

// predict returns the expected seconds, 0 when there are too few samples.
func (m *model) predict(x float64) float64 {
	if m.n < minModelSamples {
		return 0
	}
	slope := m.slope()
	return max((m.y-slope*m.x)/m.n, 0) + slope*x
}
