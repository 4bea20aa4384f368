package membership

import (
	"testing"
	"time"

	"thymebend/internal/gossipcodec"
)

func TestSendLimiterLetsAcksOverdraw(t *testing.T) {
	l := sendLimiter{tokens: sendBurst}
	count := func(kind gossipcodec.Kind) (n int) {
		for l.allow(0, kind) {
			n++
		}
		return n
	}
	if n := count(gossipcodec.Gossip); n != sendBurst {
		t.Errorf("%d gossip datagrams at once, want %v", n, sendBurst)
	}
	if n := count(gossipcodec.Ack); n != sendBurst {
		t.Errorf("%d acks beyond the burst, want %v", n, sendBurst)
	}
	if !l.allow(3*time.Second, gossipcodec.Gossip) {
		t.Error("no gossip datagram allowed after 3 s of refilling")
	}
}
