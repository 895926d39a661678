package srfleet

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain fails when a test leaves a goroutine behind.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
