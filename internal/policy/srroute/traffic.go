package srroute

const (
	// trafficCells is the number of counters per row.
	trafficCells = 8192
	// trafficRows is the number of independent counters per block.
	trafficRows = 2
	// trafficAsks is the number of asks after which all counts are halved.
	trafficAsks = 2048
	// trafficLeast is the least number of asks by which a prefix is common.
	trafficLeast = 4
)

// traffic estimates by a count-min sketch how large a share of the asks has a
// prefix block. It counts the blocks at indices one below a power of two.
type traffic struct {
	cells [trafficRows][trafficCells]uint16
	asks  int
}

func (s *traffic) add(workspace uint64, blocks []uint64) {
	if s.asks >= trafficAsks {
		s.halve()
	}
	s.asks++
	s.increment(workspace)
	for i := 0; i < len(blocks); i = 2*i + 1 {
		s.increment(blocks[i])
	}
}

func (s *traffic) increment(key uint64) {
	for row := range s.cells {
		c := &s.cells[row][cell(key, row)]
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

func (s *traffic) count(block uint64) int {
	least := s.cells[0][cell(block, 0)]
	for row := 1; row < trafficRows; row++ {
		least = min(least, s.cells[row][cell(block, row)])
	}
	return int(least)
}

// key returns the first block of the chain with at most share of the asks of
// its workspace, so that a common prefix is divided by what follows it.
func (s *traffic) key(workspace uint64, blocks []uint64, share float64) uint64 {
	bound := max(trafficLeast, int(share*float64(s.count(workspace))))
	for i := 0; i < len(blocks); i = 2*i + 1 {
		if s.count(blocks[i]) <= bound {
			return blocks[i]
		}
	}
	return blocks[len(blocks)-1]
}

func cell(block uint64, row int) int {
	return int(mix(block+uint64(row)*0x9e3779b97f4a7c15) % trafficCells)
}
