package assignment

import (
	"cmp"
	"slices"
)

// alternatives is how many endpoints further down its list a gateway looks that is one too many at an endpoint.
const alternatives = 16

// limitUsers has each endpoint keep the users that score best for it, as many as it may have. The others, by name, go
// to the next endpoint on their list that has room; where none has, they use one endpoint less, but never none.
func (r Rule) limitUsers(gateways []Gateway, endpoints []Endpoint, pairs [][]pair) {
	users, leaving := r.surplusUsers(len(gateways), len(endpoints), pairs)
	for i, leave := range leaving {
		if len(leave) == 0 {
			continue
		}
		had := len(pairs[i])
		more := r.pick(gateways[i], endpoints, min(len(endpoints), had+alternatives))[had:]
		for _, left := range leave {
			next := slices.IndexFunc(more, func(p pair) bool { return users[p.endpoint] < r.MaxUsers })
			place := slices.IndexFunc(pairs[i], func(p pair) bool { return p.endpoint == left })
			switch {
			case next >= 0:
				pairs[i][place] = more[next]
				users[more[next].endpoint]++
				more = slices.Delete(more, next, next+1)
			case len(pairs[i]) > 1:
				pairs[i] = slices.Delete(pairs[i], place, place+1)
			default:
				continue
			}
			users[left]--
		}
	}
}

// surplusUsers counts the users of each endpoint, and lists for each gateway the endpoints where it is one too many.
func (r Rule) surplusUsers(gateways, endpoints int, pairs [][]pair) (users []int, leaving [][]int) {
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
	users, leaving = make([]int, endpoints), make([][]int, gateways)
	for j, list := range byEndpoint {
		users[j] = len(list)
		if len(list) <= r.MaxUsers {
			continue
		}
		slices.SortFunc(list, func(a, b user) int {
			return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.gateway, b.gateway))
		})
		for _, surplus := range list[r.MaxUsers:] {
			leaving[surplus.gateway] = append(leaving[surplus.gateway], j)
		}
	}
	return users, leaving
}
