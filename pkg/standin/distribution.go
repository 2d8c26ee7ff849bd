package standin

import (
	"errors"
	"math"
	"math/rand/v2"
	"time"

	"radishturn.example/radishturn/pkg/settings"
)

// Distribution is a log-normal distribution of time spans.
type Distribution struct {
	Median settings.Duration `json:"median"`
	// Sigma is the standard deviation of the logarithm; 0 makes the time constant.
	Sigma float64 `json:"sigma,omitempty"`
}

// Check reports mistakes in the distribution.
func (d Distribution) Check() error {
	if d.Median < 0 || d.Sigma < 0 {
		return errors.New("serviceTime: median and sigma must not be negative")
	}
	return nil
}

// Sample draws a time span.
func (d Distribution) Sample() time.Duration {
	if d.Sigma == 0 {
		return d.Median.Std()
	}
	return time.Duration(float64(d.Median) * math.Exp(d.Sigma*rand.NormFloat64()))
}
