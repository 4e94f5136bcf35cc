package load

import "sort"

// Demand is what a customer could use of a contended resource.
type Demand struct {
	Weight float64
	Amount float64
}

// FairShares divides the capacity by weighted max-min fairness: nobody gets more than its demand, and what one leaves
// goes to the others by weight. A capacity of 0 means that there is enough for all.
func FairShares(capacity float64, demands []Demand) []float64 {
	shares := make([]float64, len(demands))
	if capacity <= 0 {
		for i, d := range demands {
			shares[i] = d.Amount
		}
		return shares
	}
	order := make([]int, len(demands))
	weights := 0.0
	for i, d := range demands {
		order[i] = i
		weights += d.Weight
	}
	sort.SliceStable(order, func(a, b int) bool { return perWeight(demands[order[a]]) < perWeight(demands[order[b]]) })
	for _, i := range order {
		d := demands[i]
		share := 0.0
		if weights > 0 {
			share = min(d.Amount, capacity*d.Weight/weights)
		}
		shares[i] = share
		capacity -= share
		weights -= d.Weight
	}
	return shares
}

func perWeight(d Demand) float64 {
	if d.Weight <= 0 {
		return 0
	}
	return d.Amount / d.Weight
}
