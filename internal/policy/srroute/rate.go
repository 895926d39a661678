package srroute

import sr "github.com/sassafrasrail/sassafrasrail"

const (
	// defaultPrefill and defaultDecode are tokens a second for unknown classes.
	defaultPrefill = 2000.0
	defaultDecode  = 30.0

	// rateDecay is applied to older samples at each new one.
	rateDecay = 0.995
	// seedWeight is how many samples the manifest's rates count for.
	seedWeight = 4.0
	// seedSpread is the batch size at which the second seed sample lies.
	seedSpread = 8.0
	// maxSurprise bounds a sample relative to the prediction.
	maxSurprise = 4.0
)

// line predicts seconds per token as a linear function of the batch size by
// decayed least squares around a seed that does not decay.
type line struct {
	seed             float64
	w, x, y, xx, xy  float64
	intercept, slope float64
}

func newLine(rate float64) line {
	return line{seed: 1 / rate, intercept: 1 / rate}
}

func (l *line) at(n float64) float64 {
	return l.intercept + l.slope*n
}

func (l *line) learn(n, seconds float64) {
	predicted := l.at(n)
	seconds = min(max(seconds, predicted/maxSurprise), predicted*maxSurprise)
	l.w = l.w*rateDecay + 1
	l.x = l.x*rateDecay + n
	l.y = l.y*rateDecay + seconds
	l.xx = l.xx*rateDecay + n*n
	l.xy = l.xy*rateDecay + n*seconds
	l.fit()
}

// fit solves the least squares with two seed samples, at 0 and at seedSpread.
func (l *line) fit() {
	half := seedWeight / 2
	w := l.w + seedWeight
	x := l.x + half*seedSpread
	y := l.y + seedWeight*l.seed
	xx := l.xx + half*seedSpread*seedSpread
	xy := l.xy + half*seedSpread*l.seed
	l.slope = max(0, (w*xy-x*y)/(w*xx-x*x))
	l.intercept = (y - l.slope*x) / w
	floor := l.seed / (maxSurprise * maxSurprise)
	if l.intercept < floor {
		l.intercept = floor
		l.slope = max(0, (xy-floor*x)/xx)
	}
}

// classKey names the requests of one target at one class.
type classKey struct {
	class  string
	target string
}

// classRates are the learned rates of a classKey.
type classRates struct {
	prefill line
	decode  line
	slots   int
	cache   int
}

func newClassRates(c sr.Class) *classRates {
	prefill, decode := c.Prefill, c.Decode
	if prefill <= 0 {
		prefill = defaultPrefill
	}
	if decode <= 0 {
		decode = defaultDecode
	}
	return &classRates{
		prefill: newLine(prefill),
		decode:  newLine(decode),
		slots:   max(1, c.Slots),
		cache:   c.Cache,
	}
}
