// Package admin is the operators' interface at the second address: requests, one on each connection, and their
// answers.
package admin

import (
	"encoding/json"

	"thymebend/internal/http1"
)

// Request is what an operator requests.
type Request uint8

// The requests. NoRequest is one not yet complete, BadRequest one for which Feed returns the answer.
const (
	NoRequest Request = iota
	ReadinessRequest
	StatsRequest
	ClusterRequest
	BadRequest
)

func textResponse(status int, text string) []byte {
	return http1.AppendResponse(nil, status, nil, []byte(text+"\n"), false)
}

// ReadinessResponse encodes whether this process accepts clients, and if not why.
func ReadinessResponse(ready bool, reason string) []byte {
	if ready {
		return textResponse(200, "ready")
	}
	return textResponse(503, reason)
}

// NoClusterResponse encodes the answer of a gateway without a cluster file.
func NoClusterResponse() []byte { return textResponse(404, "no fleet: LB_FLEET names no file") }

func jsonResponse(document any) []byte {
	body, err := json.Marshal(document)
	if err != nil { // strings and finite numbers always encode
		return textResponse(500, err.Error())
	}
	return http1.AppendResponse(nil, 200, []http1.Field{{Name: "Content-Type", Value: "application/json"},
		{Name: "Cache-Control", Value: "no-store"}}, append(body, '\n'), false)
}
