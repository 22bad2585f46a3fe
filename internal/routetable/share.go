package routetable

// ShareWeights returns the weights by which workspaces share capacity that does not suffice
// for all, by their accounts. A workspace with a usage cap weighs as much as its cap
// relative to the mean cap in the same unit, and one without a cap as much as the mean.
// Priorities are not part of the weight, since more urgent requests always go first. It
// returns nil if the table has fewer than two workspaces, or neither caps nor priorities.
func (t *Table) ShareWeights() map[uint32]float64 {
	var sums, counts [2]float64
	configured := false
	for i := range t.Workspaces {
		w := &t.Workspaces[i]
		configured = configured || w.HasPriority || w.Usage.Cap.Limited()
		if w.Usage.Cap.Limited() {
			sums[w.Usage.unit()] += w.Usage.Cap.Rate
			counts[w.Usage.unit()]++
		}
	}
	if !configured || len(t.Workspaces) < 2 {
		return nil
	}
	weights := make(map[uint32]float64, len(t.Workspaces))
	for i := range t.Workspaces {
		w := &t.Workspaces[i]
		weights[uint32(w.Account)] = 1
		if w.Usage.Cap.Limited() {
			unit := w.Usage.unit()
			weights[uint32(w.Account)] = w.Usage.Cap.Rate * counts[unit] / sums[unit]
		}
	}
	return weights
}

// unit returns 1 if requests count by their tokens, else 0.
func (u *Usage) unit() int {
	if u.CountsTokens {
		return 1
	}
	return 0
}
