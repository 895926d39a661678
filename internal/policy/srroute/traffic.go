package srroute

const (
	// trafficCells is the number of counters per row.
	trafficCells = 8192
	// trafficRows is the number of rows, each with an independent counter for a key.
	trafficRows = 2
	// maxTrafficAsks is the number of asks at which all counts are halved.
	maxTrafficAsks = 2048
	// minTrafficAsks is the number of asks up to which a prefix never counts as common,
	// and the number expected at a pool below which the concentration of a workspace's
	// asks is not assessed.
	minTrafficAsks = 4
)

// traffic counts the asks by workspace and by prefix block in a count-min sketch. Of the
// prefix blocks it counts those whose index is one below a power of two.
type traffic struct {
	cells [trafficRows][trafficCells]uint16
	asks  int
}

// add counts an ask.
func (s *traffic) add(workspace uint64, blocks []uint64) {
	if s.asks >= maxTrafficAsks {
		s.halve()
	}
	s.asks++
	s.increment(workspace)
	for i := 0; i < len(blocks); i = 2*i + 1 {
		s.increment(blocks[i])
	}
}

// increment adds one to the counters of key, which saturate at 1<<15.
func (s *traffic) increment(key uint64) {
	for row := range s.cells {
		c := &s.cells[row][cellIndex(key, row)]
		*c += 1 - *c>>15
	}
}

func (s *traffic) halve() {
	s.asks /= 2
	for row := range s.cells {
		for i := range s.cells[row] {
			s.cells[row][i] /= 2
		}
	}
}

// count returns the estimated count of key, which collisions with other keys can only
// raise.
func (s *traffic) count(key uint64) int {
	minimum := s.cells[0][cellIndex(key, 0)]
	for row := 1; row < trafficRows; row++ {
		minimum = min(minimum, s.cells[row][cellIndex(key, row)])
	}
	return int(minimum)
}

// firstUncommon returns the first counted block of the chain that is in at most the given
// share of the workspace's asks, or the last block when there is none. So asks with a
// common prefix are divided by the blocks that follow it.
func (s *traffic) firstUncommon(workspace uint64, blocks []uint64, share float64) uint64 {
	bound := max(minTrafficAsks, int(share*float64(s.count(workspace))))
	for i := 0; i < len(blocks); i = 2*i + 1 {
		if s.count(blocks[i]) <= bound {
			return blocks[i]
		}
	}
	return blocks[len(blocks)-1]
}

func cellIndex(key uint64, row int) int {
	return int(mix(key+uint64(row)*0x9e3779b97f4a7c15) % trafficCells)
}
