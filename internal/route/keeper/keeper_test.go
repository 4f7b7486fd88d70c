package keeper_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/route/keeper"
	"github.com/plantainwheel/plantainwheel/internal/route/matcher"
	"gotest.tools/v3/assert"
)

var errInvalid = errors.New("invalid configuration")

func decode(raw []byte) (matcher.Config, error) {
	var c matcher.Config
	if _, err := fmt.Sscanf(string(raw), "v%d", &c.Version); err != nil {
		return c, errInvalid
	}
	return c, nil
}

// TestVersionNeverDecreases checks that neither an older version nor an invalid configuration replaces the current
// one.
func TestVersionNeverDecreases(t *testing.T) {
	k := &keeper.Keeper{Decode: decode}
	assert.Assert(t, k.Table() == nil)
	for _, c := range []struct {
		raw     string
		applied bool
		invalid bool
		want    uint64
	}{
		{"v3", true, false, 3}, {"v2", false, false, 3}, {"v3", false, false, 3}, {"junk", false, true, 3}, {"v9", true, false, 9}, {"v4", false, false, 9},
	} {
		_, applied, err := k.Apply([]byte(c.raw))
		assert.Equal(t, applied, c.applied, c.raw)
		assert.Equal(t, errors.Is(err, errInvalid), c.invalid, c.raw)
		_, version := k.Record()
		assert.Equal(t, version, c.want)
	}
}

// TestConfirmationNeverDecreases checks that a late answer to an early query does not raise the configuration's age.
func TestConfirmationNeverDecreases(t *testing.T) {
	k := &keeper.Keeper{Decode: decode}
	k.Confirm(10 * time.Second)
	k.Confirm(8 * time.Second)
	assert.Equal(t, k.Age(12*time.Second), 2*time.Second)
}
