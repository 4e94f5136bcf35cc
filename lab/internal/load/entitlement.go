package load

import "sort"

// Demand is the amount of a contended resource that a customer could use, with the customer's weight.
type Demand struct {
	Weight float64
	Amount float64
}

// FairShares divides the capacity by weighted max-min fairness: no customer gets more than its demand, and capacity that one
// does not use is divided among the others by weight. A capacity of 0 means unlimited.
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
	sort.SliceStable(order, func(a, b int) bool { return demandPerWeight(demands[order[a]]) < demandPerWeight(demands[order[b]]) })
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

func demandPerWeight(d Demand) float64 {
	if d.Weight <= 0 {
		return 0
	}
	return d.Amount / d.Weight
}
