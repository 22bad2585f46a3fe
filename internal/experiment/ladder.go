package experiment

import (
	"context"

	"github.com/jayproxy/jayproxy/internal/load"
)

// inTimeShare is the share of first tokens that must arrive within load.Objective
// for a load to count as sustained.
const inTimeShare = 0.95

// SustainedLoad is the highest offered load at which a policy met the objective.
type SustainedLoad struct {
	Mix    string `json:"mix"`
	Policy string `json:"policy"`
	// Share is the load relative to what the least-load policy can serve; 0 means that
	// the policy did not meet the objective at any load.
	Share float64 `json:"share"`
	// Rate is the load in calls per second.
	Rate float64 `json:"rate"`
}

// Ladder runs each policy at each load in Plan.Shares. It returns the report and the
// highest load that each policy sustained.
func (p Plan) Ladder(ctx context.Context) (Report, []SustainedLoad, error) {
	report, err := p.Run(ctx)
	if err != nil {
		return report, nil, err
	}
	var sustained []SustainedLoad
	for _, mix := range p.Mixes {
		for _, policy := range p.Policies {
			best := SustainedLoad{Mix: mix, Policy: policy}
			for _, result := range report.Results {
				if result.MixName == mix && result.Policy == policy && result.InTime >= inTimeShare && result.Share > best.Share {
					best.Share, best.Rate = result.Share, result.Rate
				}
			}
			sustained = append(sustained, best)
		}
	}
	return report, sustained, nil
}

// GreedyComparison compares the p99 time to first token of the other workspaces with
// and without a greedy workspace.
type GreedyComparison struct {
	Mix     string  `json:"mix"`
	Policy  string  `json:"policy"`
	Factor  float64 `json:"factor"`
	Without float64 `json:"others_p99_without_ms"`
	With    float64 `json:"others_p99_with_ms"`
}

// RunGreedy runs each policy with and without one workspace that sends factor times
// its share of the calls.
func (p Plan) RunGreedy(ctx context.Context, factor float64) ([]GreedyComparison, []Result, error) {
	var comparisons []GreedyComparison
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
			comparisons = append(comparisons, GreedyComparison{
				Mix: name, Policy: policy, Factor: factor,
				Without: results[0].Others.FirstToken.P99, With: results[1].Others.FirstToken.P99,
			})
		}
	}
	return comparisons, all, nil
}
