package allocator

import (
	"math"

	"github.com/plantainwheel/plantainwheel/internal/policy/prioritizer"
)

// Demand is the rate of requests of a class, in requests per second.
type Demand struct {
	Class
	// Rate is averaged over a second, Recent over a shorter time.
	Rate, Recent float64
}

const (
	// A recent rate counts in part from minDeviations standard deviations off the long average on, and alone from
	// maxDeviations on. A sudden switch would let the limits oscillate.
	minDeviations = 1.0
	maxDeviations = 2.5
	// recentVariance is the variance of a recent rate in relation to the rate, in requests per second, if it is updated each
	// 100 ms.
	recentVariance = 4.3
)

// change returns how far the recent rate counts instead of the long average: 0 if they differ by noise, up to 1 if the rate
// clearly rises, and down to -1 if it clearly falls.
func change(rate, recent float64) float64 {
	deviations := (recent - rate) / math.Sqrt(recentVariance*max(rate, recent, minReported))
	weight := min(max(math.Abs(deviations)-minDeviations, 0)/(maxDeviations-minDeviations), 1)
	return math.Copysign(weight, deviations)
}

// effective returns the demand that the admitted fractions are computed from, without child calls, which are part of the
// costs of other requests. The recent rate of a class counts as far as that rate, or the rate of all classes, changes in the
// same direction.
func effective(demand []Demand) []prioritizer.Demand {
	rate, recent := 0.0, 0.0
	for i := range demand {
		if d := &demand[i]; d.Rank != ChildCallRank {
			rate += d.Rate
			recent += d.Recent
		}
	}
	all := change(rate, recent)
	list := make([]prioritizer.Demand, 0, len(demand))
	for i := range demand {
		d := &demand[i]
		if d.Rank == ChildCallRank {
			continue
		}
		weight := math.Abs(change(d.Rate, d.Recent))
		if (all > 0) == (d.Recent > d.Rate) {
			weight = max(weight, math.Abs(all))
		}
		list = append(list, prioritizer.Demand{Class: d.Class, Rate: d.Rate + weight*(d.Recent-d.Rate)})
	}
	return list
}
