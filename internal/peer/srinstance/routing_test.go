package srinstance_test

import (
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/peer/srinstance"
)

func TestRoutingSurvivesEncoding(t *testing.T) {
	c := &sr.Routing{
		Version:    7,
		Routes:     []sr.Route{{Name: "r", Host: "a.example", Prefix: "/x/", Services: []sr.WeightedService{{Service: "s", Weight: 1}}}},
		Services:   map[string]sr.RoutedService{"s": {Name: "s", Slots: 8}},
		Workspaces: map[string]sr.RoutedWorkspace{"w": {Name: "w", Keys: []string{"k"}}},
		Keyed:      true,
	}
	data, err := srinstance.EncodeRouting(c)
	assert.NilError(t, err)
	decoded, err := srinstance.DecodeRouting(data)
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded, c)
	_, err = srinstance.DecodeRouting(data[:len(data)/2])
	assert.Assert(t, errors.Is(err, sr.ErrInvalid))
}
