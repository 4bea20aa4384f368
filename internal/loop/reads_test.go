package loop

import (
	"testing"
)

// Guards against buffers of full size for connections that are read in one Step, as in a shutdown with a crowd: each must
// use no more memory than its bytes.
func TestReadsInOneStepUseMemoryForTheirBytes(t *testing.T) {
	const connections, size = 8, 100
	addr, conns := listenPeer(t)
	readable := make(map[Conn]bool)
	delivered := 0
	runLoop(t, func(*syscalls) {}, func(e Event) (effects []Effect) {
		switch e.Kind {
		case Start:
			for c := range connections {
				effects = append(effects, Effect{Op: Dial, Conn: Conn(c + 1), Addr: addr})
			}
		case Connected:
			if _, err := (<-conns).Write(make([]byte, size)); err != nil {
				t.Fatal(err)
			}
		case Readable:
			if readable[e.Conn] = true; len(readable) < connections {
				return nil
			}
			for c := range connections {
				effects = append(effects, Effect{Op: Read, Conn: Conn(c + 1)})
			}
		case Data:
			if delivered++; delivered > 1 && cap(e.Data) >= ReadSize/2 { // the first is in the loop's own buffer
				t.Errorf("%d bytes are in a buffer of %d", len(e.Data), cap(e.Data))
			}
			if delivered == connections {
				return []Effect{{Op: Exit}}
			}
		}
		return effects
	})
}
