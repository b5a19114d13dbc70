package workspace

import "math"

// Weights holds the weights of workspaces by name. It must not be changed.
type Weights map[string]float64

// Of returns the weight of a workspace, 1 if it is not known.
func (w Weights) Of(name string) float64 {
	if weight, found := w[name]; found {
		return weight
	}
	return 1
}

// Weights returns the weights by which a capacity that is short is divided between the workspaces.
func (d *Directory) Weights() Weights {
	if d == nil {
		return nil
	}
	return d.weights
}

// weightsOf returns the stated weights. If no workspace states one, it returns the rates of the
// quotas relative to their mean, so that a request without a workspace counts as an average one. If
// a workspace has no quota, or the quotas have different units, all weights are 1.
func weightsOf(list []Workspace) Weights {
	weights := make(Weights, len(list))
	mean, stated, comparable := 0.0, false, true
	for i := range list {
		w := &list[i]
		weights[w.Name] = 1
		if w.Weight > 0 {
			weights[w.Name], stated = w.Weight, true
		}
		comparable = comparable && w.Quota.Limited() && w.Quota.Unit == list[0].Quota.Unit
		mean += w.Quota.PerSecond / float64(len(list))
	}
	if stated || !comparable || math.IsInf(mean, 1) {
		return weights
	}
	for i := range list {
		weights[list[i].Name] = list[i].Quota.PerSecond / mean
	}
	return weights
}
