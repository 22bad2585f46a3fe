package experiment

import (
	"context"

	"github.com/jayproxy/jayproxy/internal/load"
)

// inTimeShare of first tokens must come within the objective for a load to
// count as carried.
const inTimeShare = 0.95

// SustainedLoad is the highest offered load at which a policy kept the objective.
type SustainedLoad struct {
	Mix    string `json:"mix"`
	Policy string `json:"policy"`
	// Share of what least load can carry by its prefill; 0: not even the lowest.
	Share float64 `json:"share"`
	Rate  float64 `json:"rate"`
}

// Ladder runs each policy at each load and returns the highest that it carried,
// and the results themselves. Plan.Shares are the steps.
func (p Plan) Ladder(ctx context.Context) (Report, []SustainedLoad, error) {
	report, err := p.Run(ctx)
	if err != nil {
		return report, nil, err
	}
	var carried []SustainedLoad
	for _, mix := range p.Mixes {
		for _, policy := range p.Policies {
			best := SustainedLoad{Mix: mix, Policy: policy}
			for _, result := range report.Results {
				if result.MixName == mix && result.Policy == policy && result.InTime >= inTimeShare && result.Share > best.Share {
					best.Share, best.Rate = result.Share, result.Rate
				}
			}
			carried = append(carried, best)
		}
	}
	return report, carried, nil
}

// GreedyComparison compares the p99 of the others with and without a greedy workspace.
type GreedyComparison struct {
	Mix     string  `json:"mix"`
	Policy  string  `json:"policy"`
	Factor  float64 `json:"factor"`
	Without float64 `json:"others_p99_without_ms"`
	With    float64 `json:"others_p99_with_ms"`
}

// RunGreedy runs each policy with and without a workspace at factor times its share.
func (p Plan) RunGreedy(ctx context.Context, factor float64) ([]GreedyComparison, []Result, error) {
	var greeds []GreedyComparison
	var all []Result
	for _, name := range p.Mixes {
		mix := load.Mixes()[name]
		rate, err := p.leastLoadRate(ctx, mix)
		if err != nil {
			return nil, nil, err
		}
		for _, policy := range p.Policies {
			spec := p.spec(mix)
			spec.Policy, spec.Entries, spec.Share, spec.Rate = policy, p.Entries[0], p.Shares[0], p.Shares[0]*rate
			greedy := spec
			greedy.Greedy = factor
			results, err := p.runAll(ctx, []Spec{spec, greedy})
			if err != nil {
				return nil, nil, err
			}
			all = append(all, results...)
			greeds = append(greeds, GreedyComparison{
				Mix: name, Policy: policy, Factor: factor,
				Without: results[0].Others.FirstToken.P99, With: results[1].Others.FirstToken.P99,
			})
		}
	}
	return greeds, all, nil
}
