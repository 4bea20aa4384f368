// Package admin speaks to the operators at the second address: calls, one a connection, and their answers.
package admin

import (
	"encoding/json"

	"thymebend/internal/http1"
)

// Request is what an operator asks.
type Request uint8

// The calls. NoRequest is not yet complete, BadRequest has its answer already.
const (
	NoRequest Request = iota
	ReadinessRequest
	StatsRequest
	ClusterRequest
	BadRequest
)

func textResponse(status int, words string) []byte {
	return http1.AppendResponse(nil, status, nil, []byte(words+"\n"), false)
}

// ReadinessResponse encodes whether this process takes clients.
func ReadinessResponse(yes bool, why string) []byte {
	if yes {
		return textResponse(200, "ready")
	}
	return textResponse(503, why)
}

// NoClusterResponse answers where there is no fleet file.
func NoClusterResponse() []byte { return textResponse(404, "no fleet: LB_FLEET names no file") }

func jsonResponse(f any) []byte {
	body, err := json.Marshal(f)
	if err != nil { // maps of numbers: cannot be
		return textResponse(500, err.Error())
	}
	return http1.AppendResponse(nil, 200, []http1.Field{{Name: "Content-Type", Value: "application/json"},
		{Name: "Cache-Control", Value: "no-store"}}, append(body, '\n'), false)
}
