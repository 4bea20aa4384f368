package assignment

import (
	"cmp"
	"slices"
)

// maxAlternatives is the number of further endpoints, by score, that a gateway considers as replacements if it is a
// surplus user of one of its endpoints.
const maxAlternatives = 16

// limitUsers enforces MaxUsers. Each endpoint keeps the users with the best scores for it. The surplus users, in the
// order of their names, replace it by the next endpoint in the order of their scores that has fewer than MaxUsers
// users. If there is none, they use one endpoint less, but always keep at least one.
func (r Rule) limitUsers(gateways []Gateway, endpoints []Endpoint, pairs [][]pair) {
	users, surplus := r.surplusUsers(len(gateways), len(endpoints), pairs)
	for i, surplusEndpoints := range surplus {
		if len(surplusEndpoints) == 0 {
			continue
		}
		size := len(pairs[i])
		candidates := r.pick(gateways[i], endpoints, min(len(endpoints), size+maxAlternatives))[size:]
		for _, endpoint := range surplusEndpoints {
			next := slices.IndexFunc(candidates, func(p pair) bool { return users[p.endpoint] < r.MaxUsers })
			index := slices.IndexFunc(pairs[i], func(p pair) bool { return p.endpoint == endpoint })
			switch {
			case next >= 0:
				pairs[i][index] = candidates[next]
				users[candidates[next].endpoint]++
				candidates = slices.Delete(candidates, next, next+1)
			case len(pairs[i]) > 1:
				pairs[i] = slices.Delete(pairs[i], index, index+1)
			default:
				continue
			}
			users[endpoint]--
		}
	}
}

// surplusUsers returns the number of users of each endpoint and, for each gateway, the endpoints of which it is a
// surplus user: MaxUsers other users have better scores.
func (r Rule) surplusUsers(gateways, endpoints int, pairs [][]pair) (users []int, surplus [][]int) {
	type user struct {
		gateway int
		score   float64
	}
	byEndpoint := make([][]user, endpoints)
	for i, list := range pairs {
		for _, p := range list {
			byEndpoint[p.endpoint] = append(byEndpoint[p.endpoint], user{i, p.score})
		}
	}
	users, surplus = make([]int, endpoints), make([][]int, gateways)
	for j, list := range byEndpoint {
		users[j] = len(list)
		if len(list) <= r.MaxUsers {
			continue
		}
		slices.SortFunc(list, func(a, b user) int {
			return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.gateway, b.gateway))
		})
		for _, excess := range list[r.MaxUsers:] {
			surplus[excess.gateway] = append(surplus[excess.gateway], j)
		}
	}
	return users, surplus
}
