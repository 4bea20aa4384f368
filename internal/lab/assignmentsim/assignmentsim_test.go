package assignmentsim

import "testing"

// Guards against figures that do not distinguish the strategies: fitted weights must have the lowest relative load, and
// rendezvous hashing must change fewer pairs than ranks when a gateway is removed.
func TestFiguresDistinguishStrategies(t *testing.T) {
	figures := make(map[Strategy]Figures)
	for _, strategy := range Strategies() {
		f, err := Measure(Case{Gateways: 30, Endpoints: 20, Zipf: true, Mixed: true, Seed: 1}, strategy)
		if err != nil {
			t.Fatal(err)
		}
		if f.Pairs == 0 || f.MaxUsers == 0 || f.MaxUsers > 36 {
			t.Errorf("%s: want pairs and 1 to 36 users per endpoint: %+v", strategy, f)
		}
		figures[strategy] = f
	}
	fitted := figures[Fitted]
	for _, other := range []Strategy{ByRank, Unweighted, UnknownDemand} {
		if figures[other].RelativeLoad <= fitted.RelativeLoad {
			t.Errorf("%s: relative load %.2f, fitted %.2f", other, figures[other].RelativeLoad, fitted.RelativeLoad)
		}
	}
	if figures[ByRank].MovedPerLostGateway <= fitted.MovedPerLostGateway {
		t.Errorf("changed pairs per pair of a removed gateway: %.1f by rank, %.1f fitted",
			figures[ByRank].MovedPerLostGateway, fitted.MovedPerLostGateway)
	}
}
