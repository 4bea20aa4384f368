// Command toyserver plays discovery and two hosts on loopback, enough to try the gateway by hand. The hosts
// answer after a short while and report how many requests wait at them.
package main

import (
	"fmt"
	"io"
	"log"
	"net/http"
	"sync/atomic"
	"time"
)

const list = `{"seq":1,"whole":true,"hosts":[` +
	`{"host":"toy-1","dial":"127.0.0.1:9001","site":"suva","class":"toy","block":0,"health":"up","share":1.0,"born_ms":0},` +
	`{"host":"toy-2","dial":"127.0.0.1:9002","site":"suva","class":"toy","block":0,"health":"up","share":1.0,"born_ms":0}]}`

func main() {
	failed := make(chan error)
	go func() { failed <- http.ListenAndServe("127.0.0.1:8500", http.HandlerFunc(discovery)) }()
	for name, at := range map[string]string{"toy-1": "127.0.0.1:9001", "toy-2": "127.0.0.1:9002"} {
		go func() { failed <- http.ListenAndServe(at, host(name)) }()
	}
	log.Print("discovery on 127.0.0.1:8500, hosts on 127.0.0.1:9001 and 127.0.0.1:9002")
	log.Fatal(<-failed)
}

// discovery answers with the list, and keeps a watch open with an empty line every 2 s.
func discovery(w http.ResponseWriter, r *http.Request) {
	fmt.Fprintln(w, list)
	for r.URL.Query().Get("stream") == "1" {
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(2 * time.Second):
			fmt.Fprintln(w)
		}
	}
}

// host serves one request at a time, in 20 ms each.
func host(name string) http.Handler {
	turn := make(chan bool, 1)
	var holding atomic.Int64
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer holding.Add(-1)
		waiting := holding.Add(1) - 1
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		turn <- true
		time.Sleep(20 * time.Millisecond)
		<-turn
		w.Header().Set("Endpoint-Load-Metrics", fmt.Sprintf("TEXT inflight=%d, queue=%d, eps=0", waiting+1, waiting))
		fmt.Fprintf(w, "%s served %s %s for %s, %d bytes\n", name, r.Method, r.URL, r.Header.Get("X-Trace-Id"), len(body))
	})
}
