package simulation

// idleLink is an idle client connection.
type idleLink struct {
	end     *End
	gateway *gatewayNode
}
