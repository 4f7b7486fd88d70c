package settler_test

import (
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/policy/settler"
	"gotest.tools/v3/assert"
)

// TestProofs checks for each case of testdata/cases.txt whether a read proves what is newest.
func TestProofs(t *testing.T) {
	raw, err := os.ReadFile("testdata/cases.txt")
	assert.NilError(t, err)
	for line := range strings.Lines(string(raw)) {
		if strings.HasPrefix(line, "#") {
			continue
		}
		fields := strings.Split(line, "|")
		for i := range fields {
			fields[i] = strings.TrimSpace(fields[i])
		}
		t.Run(strings.ReplaceAll(fields[0], " ", "-"), func(t *testing.T) {
			s := &settler.Settler{Period: 2 * time.Second, MaxPeriod: 5 * time.Second}
			for _, event := range strings.Fields(fields[1]) {
				apply(t, s, event)
			}
			sentAt := ms(t, fields[2])
			proves := s.Proves(sentAt, int64(ms(t, fields[3])/time.Millisecond))
			assert.Equal(t, proves, fields[4] == "yes")
			if proves {
				assert.Equal(t, s.Remaining(sentAt), time.Duration(0))
			}
		})
	}
}

func apply(t *testing.T, s *settler.Settler, event string) {
	t.Helper()
	text, what, _ := strings.Cut(event, ":")
	now := ms(t, text)
	switch {
	case what == "behind" || what == "ahead":
		s.SetBehind(what == "behind")
	case what[0] == 'e':
		s.Observe(now, int64(ms(t, what[1:])/time.Millisecond))
	default:
		s.Vouch(now, int64(ms(t, what[1:])/time.Millisecond))
	}
}

func ms(t *testing.T, text string) time.Duration {
	t.Helper()
	n, err := strconv.Atoi(text)
	assert.NilError(t, err)
	return time.Duration(n) * time.Millisecond
}
