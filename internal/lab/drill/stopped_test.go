package drill

import (
	"io"
	"net"
	"strings"
	"testing"
)

// The rule on stopped clients can fail: whoever reads and says nothing is found, who answers or closes
// is not.
func TestStoppedClientsHear(t *testing.T) {
	for name, c := range map[string]struct {
		serve func(conn net.Conn)
		heard bool
	}{
		"mute":    {func(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) }, false},
		"answers": {func(conn net.Conn) { _, _ = io.WriteString(conn, "HTTP/1.1 408 Request Timeout\r\n\r\n") }, true},
		"closes":  {func(conn net.Conn) { _, _ = conn.Read(make([]byte, 100)) }, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ln, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer ln.Close()
			go func() {
				conn, err := ln.Accept()
				if err == nil {
					c.serve(conn)
					_ = conn.Close()
				}
			}()
			client := stoppedClient{id: "a", pieces: []string{"GET /vi", "ew HT"}}
			if heard := client.heard(ln.Addr().String()); heard != c.heard {
				t.Errorf("heard %v, want %v", heard, c.heard)
			}
		})
	}
}

// What a process logged as suppressed is found though it did not live to tell.
func TestViolationsAreReadFromLogs(t *testing.T) {
	r := &rig{}
	found := r.logged("gateway-0", `{"level":"info","message":"started"}`+"\n"+
		`{"level":"error","rule":"ran twice","id":"7","detail":"attempt 0 may have run","message":"suppressed: it would break an invariant"}`+"\n")
	if len(found) != 1 || found[0].Rule != HeldBack || found[0].ID != "gateway-0" ||
		!strings.Contains(found[0].Detail, "ran twice") {
		t.Errorf("%+v", found)
	}
}
