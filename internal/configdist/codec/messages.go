package codec

import "thymebend/internal/configdist/content"

// MaxReasonBytes is the maximum length of the reason of a rejection or failure, in bytes.
const MaxReasonBytes = 256

// Kind is the type of the message in a frame.
type Kind uint8

// The kinds of frames: first those that gateways send (Subscribe to Fetch), then those sent to gateways (Offer to
// Busy), then those between control machines (RaftMessage and GatewayReports).
const (
	KindSubscribe Kind = iota + 1
	KindReport
	KindFetch
	KindOffer
	KindPage
	KindUnknownSession
	KindBusy
	KindRaftMessage
	KindGatewayReports
	lastKind = KindGatewayReports
)

// Message is the content of a frame: a pointer to one of the message types below.
type Message interface {
	Kind() Kind
	appendBody(b []byte) []byte
	readBody(r *Reader)
}

func newMessage(k Kind) Message {
	switch k {
	case KindSubscribe:
		return &Subscribe{}
	case KindReport:
		return &Report{}
	case KindFetch:
		return &Fetch{}
	case KindOffer:
		return &Offer{}
	case KindPage:
		return &Page{}
	case KindUnknownSession:
		return &UnknownSession{}
	case KindBusy:
		return &Busy{}
	case KindRaftMessage:
		return &RaftMessage{}
	case KindGatewayReports:
		return &GatewayReports{}
	}
	return nil
}

// Verdict is a gateway's result for a version of the configuration.
type Verdict uint8

// The verdicts. The first one means that no problem is known. Rejected: the gateway did not apply the version and
// keeps the last valid one in force. Failed: the version is in force and the gateway fails with it.
const (
	Healthy Verdict = iota
	Rejected
	Failed
	lastVerdict = Failed
)

// State is the state of a gateway's configuration, which acknowledges versions to the control machine.
type State struct {
	InForce content.Ref
	Verdict Verdict
	Version uint64 // number of the version that the verdict is about
	Attempt uint64 // number of the rollout attempt of that version
	Reason  string // of a rejection or failure, at most 256 bytes
}

func appendState(b []byte, s *State) []byte {
	b = AppendUint(AppendRef(b, s.InForce), uint64(s.Verdict))
	return AppendString(AppendUint(AppendUint(b, s.Version), s.Attempt), s.Reason)
}

func (r *Reader) state() State {
	s := State{InForce: r.Ref()}
	if v := r.Uint(); v <= uint64(lastVerdict) {
		s.Verdict = Verdict(v)
	} else {
		r.fail()
	}
	s.Version, s.Attempt, s.Reason = r.Uint(), r.Uint(), r.String(MaxReasonBytes)
	return s
}

// Subscribe starts a session of a gateway with a control machine. The answer is an Offer, a Page or Busy.
type Subscribe struct {
	Gateway, Zone string
	Session       uint64   // increases with each session; messages of earlier sessions are dropped
	Services      []string // served by the gateway, sorted and distinct; empty for all services
	State         State
}

// Report is a gateway's acknowledgement, sent when its state has changed and periodically as a heartbeat. The answer
// is an Offer, a Page or UnknownSession.
type Report struct {
	Gateway string
	Session uint64
	State   State
}

// Fetch requests a page of the changes from one version to another. The answer is a Page, or an Offer if the control
// machine no longer stores one of the two versions.
type Fetch struct {
	Gateway string
	Session uint64
	From    content.Ref    // zero for a snapshot
	Target  uint64         // version number
	After   content.Cursor // end of the previous page
}

// Offer announces to a gateway the version that it should apply.
type Offer struct {
	Session uint64
	Target  content.Ref
	Attempt uint64
}

// Page holds a part of the changes from one version to another, restricted to the services that the gateway serves.
type Page struct {
	Session uint64
	From    content.Ref // zero for a snapshot
	Target  content.Ref
	Attempt uint64
	Scope   content.Hash // hash of the gateway's services at Target
	After   content.Cursor
	Next    content.Cursor // start of the next page, unless Last
	Last    bool
	Changes []content.Change
}

// UnknownSession notifies a gateway that its session is unknown, so that it subscribes again.
type UnknownSession struct{ Session uint64 }

// Busy notifies a gateway that this control machine accepts no more gateways.
type Busy struct{ Session uint64 }

// RaftMessage carries a message of the replicated log between control machines.
type RaftMessage struct{ Data []byte }

// GatewayReport describes one gateway in a control machine's reports to the leader.
type GatewayReport struct {
	Gateway, Zone string
	Session       uint64 // of several reports of a gateway, the one with the highest session is current
	State         State
	Target        uint64 // number of the version that was offered to it
	Affected      bool   // whether its services differ between the released version and the newest one
	Silent        bool   // the control machine has received nothing from it recently
}

// GatewayReports holds a control machine's reports to the leader: either the changed ones or, if Full, all.
type GatewayReports struct {
	NewestVersion uint64 // number of the newest version, to which Affected refers
	Full          bool   // gateways that are not listed are no longer subscribed to the control machine
	Gateways      []GatewayReport
}

// Kind implements Message.
func (*Subscribe) Kind() Kind { return KindSubscribe }

// Kind implements Message.
func (*Report) Kind() Kind { return KindReport }

// Kind implements Message.
func (*Fetch) Kind() Kind { return KindFetch }

// Kind implements Message.
func (*Offer) Kind() Kind { return KindOffer }

// Kind implements Message.
func (*Page) Kind() Kind { return KindPage }

// Kind implements Message.
func (*UnknownSession) Kind() Kind { return KindUnknownSession }

// Kind implements Message.
func (*Busy) Kind() Kind { return KindBusy }

// Kind implements Message.
func (*RaftMessage) Kind() Kind { return KindRaftMessage }

// Kind implements Message.
func (*GatewayReports) Kind() Kind { return KindGatewayReports }

func (m *Subscribe) appendBody(b []byte) []byte {
	b = AppendUint(AppendString(AppendString(b, m.Gateway), m.Zone), m.Session)
	return appendState(AppendStrings(b, m.Services), &m.State)
}

func (m *Subscribe) readBody(r *Reader) {
	m.Gateway, m.Zone, m.Session = r.String(content.MaxNameBytes), r.String(content.MaxNameBytes), r.Uint()
	m.Services, m.State = r.Strings(content.MaxNameBytes), r.state()
}

func (m *Report) appendBody(b []byte) []byte {
	return appendState(AppendUint(AppendString(b, m.Gateway), m.Session), &m.State)
}

func (m *Report) readBody(r *Reader) {
	m.Gateway, m.Session, m.State = r.String(content.MaxNameBytes), r.Uint(), r.state()
}

func (m *Fetch) appendBody(b []byte) []byte {
	b = AppendRef(AppendUint(AppendString(b, m.Gateway), m.Session), m.From)
	return AppendCursor(AppendUint(b, m.Target), m.After)
}

func (m *Fetch) readBody(r *Reader) {
	m.Gateway, m.Session, m.From = r.String(content.MaxNameBytes), r.Uint(), r.Ref()
	m.Target, m.After = r.Uint(), r.Cursor()
}

func (m *Offer) appendBody(b []byte) []byte {
	return AppendUint(AppendRef(AppendUint(b, m.Session), m.Target), m.Attempt)
}

func (m *Offer) readBody(r *Reader) { m.Session, m.Target, m.Attempt = r.Uint(), r.Ref(), r.Uint() }

func (m *Page) appendBody(b []byte) []byte {
	b = AppendRef(AppendRef(AppendUint(b, m.Session), m.From), m.Target)
	b = append(AppendUint(b, m.Attempt), m.Scope[:]...)
	b = AppendBool(AppendCursor(AppendCursor(b, m.After), m.Next), m.Last)
	return AppendChanges(b, m.Changes)
}

func (m *Page) readBody(r *Reader) {
	m.Session, m.From, m.Target, m.Attempt, m.Scope = r.Uint(), r.Ref(), r.Ref(), r.Uint(), r.Hash()
	m.After, m.Next, m.Last, m.Changes = r.Cursor(), r.Cursor(), r.Bool(), r.Changes()
}

func (m *UnknownSession) appendBody(b []byte) []byte { return AppendUint(b, m.Session) }
func (m *UnknownSession) readBody(r *Reader)         { m.Session = r.Uint() }
func (m *Busy) appendBody(b []byte) []byte           { return AppendUint(b, m.Session) }
func (m *Busy) readBody(r *Reader)                   { m.Session = r.Uint() }
func (m *RaftMessage) appendBody(b []byte) []byte    { return append(b, m.Data...) }
func (m *RaftMessage) readBody(r *Reader) {
	m.Data, r.remaining = append([]byte(nil), r.remaining...), nil
}

func (m *GatewayReports) appendBody(b []byte) []byte {
	b = AppendUint(AppendBool(AppendUint(b, m.NewestVersion), m.Full), uint64(len(m.Gateways)))
	for i := range m.Gateways {
		g := &m.Gateways[i]
		b = appendState(AppendUint(AppendString(AppendString(b, g.Gateway), g.Zone), g.Session), &g.State)
		b = AppendBool(AppendBool(AppendUint(b, g.Target), g.Affected), g.Silent)
	}
	return b
}

func (m *GatewayReports) readBody(r *Reader) {
	m.NewestVersion, m.Full = r.Uint(), r.Bool()
	for range r.Count() {
		if r.failed {
			return
		}
		m.Gateways = append(m.Gateways, GatewayReport{Gateway: r.String(content.MaxNameBytes),
			Zone:    r.String(content.MaxNameBytes),
			Session: r.Uint(), State: r.state(), Target: r.Uint(), Affected: r.Bool(), Silent: r.Bool()})
	}
}
