package srroute

import sr "github.com/sassafrasrail/sassafrasrail"

const (
	// defaultPrefill and defaultDecode are in tokens per second, for classes that state
	// none.
	defaultPrefill = 2000.0
	defaultDecode  = 30.0

	// rateDecay is the factor on the older samples at each new one.
	rateDecay = 0.995
	// seedWeight is the number of samples that the manifest's rate counts as.
	seedWeight = 4.0
	// seedBatch is the batch size of the second seed sample; the first is at 0.
	seedBatch = 8.0
	// maxOutlier bounds a sample relative to the prediction, as a factor either way.
	maxOutlier = 4.0
)

// linearModel predicts the seconds per token as a linear function of the batch size, by
// least squares over decayed samples and a seed that does not decay. w, x, y, xx and xy
// are the decayed sums, with the batch size as x and the seconds per token as y.
type linearModel struct {
	seed             float64
	w, x, y, xx, xy  float64
	intercept, slope float64
}

// newLinearModel returns a model seeded with a rate in tokens per second.
func newLinearModel(rate float64) linearModel {
	return linearModel{seed: 1 / rate, intercept: 1 / rate}
}

// predict returns the seconds per token at batch size n.
func (l *linearModel) predict(n float64) float64 {
	return l.intercept + l.slope*n
}

// addSample adds the seconds per token observed at batch size n.
func (l *linearModel) addSample(n, seconds float64) {
	predicted := l.predict(n)
	seconds = min(max(seconds, predicted/maxOutlier), predicted*maxOutlier)
	l.w = l.w*rateDecay + 1
	l.x = l.x*rateDecay + n
	l.y = l.y*rateDecay + seconds
	l.xx = l.xx*rateDecay + n*n
	l.xy = l.xy*rateDecay + n*seconds
	l.fit()
}

// fit solves the least squares with two seed samples, at 0 and at seedBatch. The
// intercept does not fall below the seed divided by the square of maxOutlier.
func (l *linearModel) fit() {
	half := seedWeight / 2
	w := l.w + seedWeight
	x := l.x + half*seedBatch
	y := l.y + seedWeight*l.seed
	xx := l.xx + half*seedBatch*seedBatch
	xy := l.xy + half*seedBatch*l.seed
	l.slope = max(0, (w*xy-x*y)/(w*xx-x*x))
	l.intercept = (y - l.slope*x) / w
	floor := l.seed / (maxOutlier * maxOutlier)
	if l.intercept < floor {
		l.intercept = floor
		l.slope = max(0, (xy-floor*x)/xx)
	}
}

// classKey identifies the requests for one target at endpoints of one class.
type classKey struct {
	class  string
	target string
}

// classRates holds the learned rates of a classKey, and the slots and the cache size in
// blocks of an endpoint of the class.
type classRates struct {
	prefill linearModel
	decode  linearModel
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
		prefill: newLinearModel(prefill),
		decode:  newLinearModel(decode),
		slots:   max(1, c.Slots),
		cache:   c.Cache,
	}
}
