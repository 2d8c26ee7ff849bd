package move

// histogramDecay is the fraction of the old version's latency counts kept from one
// window to the next.
const histogramDecay = 0.98

// histogram holds exponentially decayed latency counts in the buckets of
// view.Outcome.
type histogram []float64

// add decays the histogram and adds the counts of a window.
func (h *histogram) add(buckets []float64) {
	for len(*h) < len(buckets) {
		*h = append(*h, 0)
	}
	for i := range *h {
		(*h)[i] *= histogramDecay
		if i < len(buckets) {
			(*h)[i] += buckets[i]
		}
	}
}

// quantileBucket returns the index of the bucket that contains quantile q, or -1
// if h is empty.
func (h histogram) quantileBucket(q float64) int {
	total := sum(h)
	if total == 0 {
		return -1
	}
	var below float64
	for i, n := range h {
		below += n
		if below >= q*total {
			return i
		}
	}
	return len(h) - 1
}

// above returns the sum of the buckets after the given one.
func above(buckets []float64, bucket int) float64 {
	if bucket+1 >= len(buckets) {
		return 0
	}
	return sum(buckets[bucket+1:])
}

func sum(values []float64) float64 {
	var total float64
	for _, v := range values {
		total += v
	}
	return total
}
