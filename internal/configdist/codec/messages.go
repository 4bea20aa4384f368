package codec

import "thymebend/internal/configdist/content"

// MaxReason bounds the text of a rejection or failure, in bytes.
const MaxReason = 256

// Kind is what a frame holds.
type Kind uint8

// The kinds of frames: from a gateway, to a gateway, and between control machines.
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

// Message is what a frame holds: one of the types below, as a pointer.
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

// Verdict is what a gateway came to with a version.
type Verdict uint8

// The verdicts. Refused: the version was not taken, and the one in force is the last good one. Failed: it is in
// force, and the gateway fails with it.
const (
	Fine Verdict = iota
	Rejected
	Failed
	lastVerdict = Failed
)

// State is what a gateway tells of itself: its acknowledgement.
type State struct {
	InForce content.Ref
	Verdict Verdict
	Version uint64 // that the verdict is about
	Attempt uint64 // of its rollout
	Reason  string // at most MaxReason bytes
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
	s.Version, s.Attempt, s.Reason = r.Uint(), r.Uint(), r.String(MaxReason)
	return s
}

// Subscribe begins a session of a gateway with a control machine. It is answered by an Offer or a Page, or by Busy.
type Subscribe struct {
	Gateway, Zone string
	Session       uint64   // grows with each; what comes of an earlier one is dropped
	Services      []string // that the gateway serves, sorted, each once; none for all
	State         State
}

// Report is a gateway's acknowledgement, sent when something has changed and as a sign of life. It is answered by an
// Offer, a Page or Unknown.
type Report struct {
	Gateway string
	Session uint64
	State   State
}

// Fetch asks for a page of the changes from one version to another. It is answered by a Page or, where one of the two
// is not kept, by an Offer.
type Fetch struct {
	Gateway string
	Session uint64
	From    content.Ref // zero for a snapshot
	Target  uint64
	After   content.Cursor
}

// Offer says which version a gateway is to have in force.
type Offer struct {
	Session uint64
	Target  content.Ref
	Attempt uint64
}

// Page is a part of the changes from one version to another, of the services that the gateway serves.
type Page struct {
	Session uint64
	From    content.Ref // zero for a snapshot
	Target  content.Ref
	Attempt uint64
	Scope   content.Hash // of the gateway's services at Target
	After   content.Cursor
	Next    content.Cursor // where the next page begins, unless Last
	Last    bool
	Changes []content.Change
}

// UnknownSession tells a gateway that its session is not known: it is to subscribe again.
type UnknownSession struct{ Session uint64 }

// Busy tells a gateway that this control machine takes no more of them.
type Busy struct{ Session uint64 }

// RaftMessage is a message of the replicated log.
type RaftMessage struct{ Data []byte }

// GatewayReport is what a control machine tells its leader of one of its gateways.
type GatewayReport struct {
	Gateway, Zone string
	Session       uint64 // the highest one is where the gateway is subscribed
	State         State
	Target        uint64 // version that it was offered
	Affected      bool   // by what is between the released version and the newest one
	Silent        bool   // it has not been heard of lately
}

// GatewayReports are a control machine's reports to its leader: those that have changed, or all.
type GatewayReports struct {
	Head     uint64 // newest version that Touched is about
	Full     bool   // who is not listed is no longer subscribed there
	Gateways []GatewayReport
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
	m.Gateway, m.Zone, m.Session = r.String(content.MaxName), r.String(content.MaxName), r.Uint()
	m.Services, m.State = r.Strings(content.MaxName), r.state()
}

func (m *Report) appendBody(b []byte) []byte {
	return appendState(AppendUint(AppendString(b, m.Gateway), m.Session), &m.State)
}

func (m *Report) readBody(r *Reader) {
	m.Gateway, m.Session, m.State = r.String(content.MaxName), r.Uint(), r.state()
}

func (m *Fetch) appendBody(b []byte) []byte {
	b = AppendRef(AppendUint(AppendString(b, m.Gateway), m.Session), m.From)
	return AppendCursor(AppendUint(b, m.Target), m.After)
}

func (m *Fetch) readBody(r *Reader) {
	m.Gateway, m.Session, m.From = r.String(content.MaxName), r.Uint(), r.Ref()
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
func (m *RaftMessage) readBody(r *Reader)            { m.Data, r.rest = append([]byte(nil), r.rest...), nil }

func (m *GatewayReports) appendBody(b []byte) []byte {
	b = AppendUint(AppendBool(AppendUint(b, m.Head), m.Full), uint64(len(m.Gateways)))
	for i := range m.Gateways {
		g := &m.Gateways[i]
		b = appendState(AppendUint(AppendString(AppendString(b, g.Gateway), g.Zone), g.Session), &g.State)
		b = AppendBool(AppendBool(AppendUint(b, g.Target), g.Affected), g.Silent)
	}
	return b
}

func (m *GatewayReports) readBody(r *Reader) {
	m.Head, m.Full = r.Uint(), r.Bool()
	for range r.Count() {
		if r.failed {
			return
		}
		m.Gateways = append(m.Gateways, GatewayReport{Gateway: r.String(content.MaxName),
			Zone:    r.String(content.MaxName),
			Session: r.Uint(), State: r.state(), Target: r.Uint(), Affected: r.Bool(), Silent: r.Bool()})
	}
}
