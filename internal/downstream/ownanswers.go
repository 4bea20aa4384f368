package downstream

// maxOwnAnswersPerTurn is how many answers of the gateway itself one connection may get in one turn of the loop.
const maxOwnAnswersPerTurn = 16

// OwnAnswers counts the answers that the gateway itself has given on a connection in a turn of the loop: to malformed or
// rejected requests and to health checks. A client can pipeline thousands of them in one read.
type OwnAnswers struct {
	turn  uint64
	count int
}

// Add counts an answer in the given turn.
func (a *OwnAnswers) Add(turn uint64) {
	if a.turn != turn {
		*a = OwnAnswers{turn: turn}
	}
	a.count++
}

// UsedUp reports whether the connection has used its share of the given turn.
func (a *OwnAnswers) UsedUp(turn uint64) bool {
	return a.turn == turn && a.count >= maxOwnAnswersPerTurn
}
