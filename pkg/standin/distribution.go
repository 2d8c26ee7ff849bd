package standin

import (
	"errors"
	"math"
	"math/rand/v2"
	"time"

	"radishturn.example/radishturn/pkg/settings"
)

// Distribution is a log-normal distribution of durations.
type Distribution struct {
	Median settings.Duration `json:"median"`
	// Sigma is the standard deviation of the logarithm; with 0 every sample is the
	// median.
	Sigma float64 `json:"sigma,omitempty"`
}

// Check returns an error if a parameter is negative.
func (d Distribution) Check() error {
	if d.Median < 0 || d.Sigma < 0 {
		return errors.New("serviceTime: median and sigma must not be negative")
	}
	return nil
}

// Sample returns a random duration.
func (d Distribution) Sample() time.Duration {
	if d.Sigma == 0 {
		return d.Median.Std()
	}
	return time.Duration(float64(d.Median) * math.Exp(d.Sigma*rand.NormFloat64()))
}
