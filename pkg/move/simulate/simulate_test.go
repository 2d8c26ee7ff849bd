package simulate_test

import (
	"fmt"
	"os"
	"runtime"
	"slices"
	"strconv"
	"sync"
	"testing"
	"text/tabwriter"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/move"
	"radishturn.example/radishturn/pkg/move/simulate"
)

func TestSimulate(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Simulated moves")
}

const (
	// movesEnv names the environment variable with the number of moves to
	// simulate for each scenario.
	movesEnv = "RADISHTURN_MOVES"
	// seedEnv names the environment variable with the first seed; 1 if unset.
	seedEnv = "RADISHTURN_SEED"
)

func movesPerScenario() int {
	if n, err := strconv.Atoi(os.Getenv(movesEnv)); err == nil {
		return n
	}
	return 4
}

func firstSeed() uint64 {
	seed, err := strconv.ParseUint(os.Getenv(seedEnv), 10, 64)
	if err != nil {
		return 1
	}
	return seed
}

// simulateAll runs n moves of a scenario with consecutive seeds from firstSeed.
func simulateAll(s simulate.Scenario, c simulate.VersionChoice, n int) []simulate.Result {
	results := make([]simulate.Result, n)
	var wait sync.WaitGroup
	slots := make(chan struct{}, min(2, runtime.GOMAXPROCS(0)))
	for i := range results {
		wait.Go(func() {
			slots <- struct{}{}
			results[i] = simulate.Run(s, c, firstSeed()+uint64(i))
			<-slots
		})
	}
	wait.Wait()
	return results
}

func printRow(w *tabwriter.Writer, s simulate.Scenario, c simulate.VersionChoice, results []simulate.Result) {
	var inTime, rolledBack int
	var harmed []float64
	var faultDurations []time.Duration
	for _, r := range results {
		if r.InTime {
			inTime++
		}
		if r.Phase == move.PhaseRolledBack {
			rolledBack++
			harmed = append(harmed, r.Harmed)
			faultDurations = append(faultDurations, r.FaultDuration)
		}
	}
	slices.Sort(harmed)
	slices.Sort(faultDurations)
	fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%s\t%s\n", s.Name, c, len(results), inTime, rolledBack, formatQuantiles(harmed), formatQuantiles(faultDurations))
}

// formatQuantiles formats the median, the 99th percentile and the maximum.
func formatQuantiles[T float64 | time.Duration](sorted []T) string {
	if len(sorted) == 0 {
		return "-"
	}
	at := func(q float64) any {
		v := sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
		if f, ok := any(v).(float64); ok {
			return fmt.Sprintf("%.0f", f)
		}
		return v
	}
	return fmt.Sprintf("%v / %v / %v", at(0.5), at(0.99), at(1))
}

// goodInTime is the minimum fraction of good versions that must finish in time.
const goodInTime = 0.995

func expectVerdict(s simulate.Scenario, c simulate.VersionChoice, results []simulate.Result) {
	GinkgoHelper()
	inTime := 0
	for i, r := range results {
		if s.Bad {
			Expect(r.Phase).To(Equal(move.PhaseRolledBack), "%s, %s, seed %d", s.Name, c, firstSeed()+uint64(i))
		}
		if r.InTime {
			inTime++
		}
	}
	if !s.Bad {
		Expect(float64(inTime)).To(BeNumerically(">=", goodInTime*float64(len(results))), "%s, %s", s.Name, c)
	}
}

var _ = Describe("simulated moves", func() {
	It("rolls bad versions back and lets good ones finish in time", func() {
		n := movesPerScenario()
		w := tabwriter.NewWriter(GinkgoWriter, 0, 4, 2, ' ', 0)
		fmt.Fprintln(w, "kind\tchoice\tmoves\tdone in time\ttaken back\tharmed p50/p99/max\tfault to no traffic p50/p99/max")
		defer w.Flush()
		for _, c := range []simulate.VersionChoice{simulate.ByCaller, simulate.ByRequest} {
			for _, s := range slices.Concat(simulate.GoodVersions(), simulate.BadVersions()) {
				results := simulateAll(s, c, n)
				printRow(w, s, c, results)
				expectVerdict(s, c, results)
			}
		}
	})

	// Seeds at which runs of 400 moves per scenario failed.
	DescribeTable("finishes moves that failed before a fix",
		func(scenario string, choice simulate.VersionChoice, seed int) {
			all := simulate.GoodVersions()
			i := slices.IndexFunc(all, func(s simulate.Scenario) bool { return s.Name == scenario })
			Expect(simulate.Run(all[i], choice, uint64(seed)).InTime).To(BeTrue())
		},
		Entry("an alarm persisted on a route without traffic of the old version", "zone lost at 100%", simulate.ByCaller, 302),
		Entry("the share was held without end", "poison request", simulate.ByCaller, 303),
		Entry("the share was held without end", "poison request", simulate.ByCaller, 357),
		Entry("the comparison updated the baseline too little", "zone lost at 100%", simulate.ByRequest, 10063),
	)

	It("gives the same result for the same seed", func() {
		s := simulate.BadVersions()[0]
		Expect(simulate.Run(s, simulate.ByCaller, 7)).To(Equal(simulate.Run(s, simulate.ByCaller, 7)))
	})
})
