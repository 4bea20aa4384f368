package simulation

import (
	"context"
	"slices"
)

// Shrink removes faults and requests from a plan as long as its run still breaks the rule. It tries to remove
// large parts first. It plays at most limit runs, and none once ctx is done. It returns the smallest plan found
// and the number of runs played.
func Shrink(ctx context.Context, p Plan, rule string, limit int) (Plan, int) {
	runs := 0
	breaks := func(q Plan) bool {
		runs++
		return slices.ContainsFunc(PlayContext(ctx, q, nil).Findings, func(f Finding) bool { return f.Rule == rule })
	}
	for reduced := true; reduced && runs < limit && ctx.Err() == nil; {
		reduced = false
		p.Faults = reduce(p.Faults, func(part []Fault) bool {
			q := p
			q.Faults = part
			return runs < limit && ctx.Err() == nil && breaks(q)
		}, &reduced)
		p.Requests = reduce(p.Requests, func(part []Request) bool {
			q := p
			q.Requests = part
			return runs < limit && ctx.Err() == nil && breaks(q)
		}, &reduced)
	}
	return p, runs
}

// reduce removes sublists from a list, long ones first, whenever enough accepts the remaining list. It sets
// *reduced if it has removed anything.
func reduce[T any](list []T, enough func([]T) bool, reduced *bool) []T {
	for size := max(1, len(list)/2); size >= 1; size /= 2 {
		for from := 0; from < len(list); {
			part := slices.Concat(list[:from], list[min(len(list), from+size):])
			if enough(part) {
				list, *reduced = part, true
				continue
			}
			from += size
		}
	}
	return list
}
