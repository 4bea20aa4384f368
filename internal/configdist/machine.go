package configdist

import (
	"time"

	"thymebend/internal/raft"
)

// stateMachine applies the entries of the replicated log to a Store. It implements raft.StateMachine.
type stateMachine struct {
	store   *Store
	pending map[uint64]bool // IDs of the commands that were proposed here and have no result yet
	results []Result        // of commands applied since the last Take
	changed bool            // the store has changed since the last Take
}

// Apply implements raft.StateMachine. An entry that is not a valid command changes nothing; this is the same at each
// replica.
func (m *stateMachine) Apply(e raft.Entry) error {
	command, err := ParseCommand(e.Data)
	if err != nil {
		return nil
	}
	result := m.store.Apply(&command, e.Term)
	m.changed = m.changed || result.Err == nil
	if command.ID != 0 && m.pending[command.ID] {
		delete(m.pending, command.ID)
		m.results = append(m.results, result)
	}
	return nil
}

// Snapshot implements raft.StateMachine.
func (m *stateMachine) Snapshot() ([]byte, error) { return m.store.Snapshot(), nil }

// Restore implements raft.StateMachine.
func (m *stateMachine) Restore(data []byte) error {
	store, err := RestoreStore(data)
	if err == nil {
		m.store, m.changed = store, true
	}
	return err
}

// Validate implements raft.StateMachine.
func (m *stateMachine) Validate(data []byte) error {
	_, err := RestoreStore(data)
	return err
}

// LeadershipChanged implements raft.StateMachine.
func (m *stateMachine) LeadershipChanged(_ time.Duration, leads bool) {
	if !leads {
		clear(m.pending)
	}
}
