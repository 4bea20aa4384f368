package membership

import (
	"slices"
	"testing"

	"thymebend/internal/gossipcodec"
)

func TestBroadcastQueueSendsLeastTransmittedFirst(t *testing.T) {
	q := newBroadcastQueue()
	for _, name := range []string{"b", "c", "d"} {
		q.put(gossipcodec.Claim{Name: name, Start: 1})
	}
	q.setTransmits("d", 1)
	transmit := func(limit int) (names []string) {
		header := gossipcodec.Append(nil,
			&gossipcodec.Message{Cluster: "f", From: "a", Start: 1, Kind: gossipcodec.Gossip})
		msg, err := gossipcodec.Parse(q.appendTo(header, func(gossipcodec.State) int { return limit }))
		if err != nil {
			t.Fatal(err)
		}
		for _, c := range msg.Claims {
			names = append(names, c.Name)
		}
		return names
	}
	if got := transmit(2); !slices.Equal(got, []string{"c", "b", "d"}) || q.len() != 2 {
		t.Errorf("first datagram has %v, %d claims remain; want [c b d] and 2", got, q.len())
	}
	q.put(gossipcodec.Claim{Name: "b", Start: 2}) // replaces the claim above
	q.drop("c")
	if got := transmit(1); !slices.Equal(got, []string{"b"}) || q.len() != 0 {
		t.Errorf("second datagram has %v, %d claims remain; want [b] and 0", got, q.len())
	}
}
