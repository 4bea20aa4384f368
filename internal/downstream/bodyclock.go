package downstream

import (
	"time"

	"thymebend/internal/http1"
)

// The client's timeout of a request begins with the request's last byte. While the gateway reads a streamed body no further,
// that byte may wait in the client's kernel, where the gateway cannot see it: the client has written it, and its kernel
// cannot send it because the receive buffer of the gateway's machine is full. This file estimates from the receive buffer
// when the client may have written the last byte.

// clientSendBuffer is an upper bound of the bytes that a client has written and that its kernel has not yet sent, because
// the receive buffer of the gateway's machine is full.
const clientSendBuffer = 4 << 20

// sendDelay is the time in which bytes that a client has written arrive while its kernel may send.
const sendDelay = 20 * time.Millisecond

// bodyClock estimates the earliest time at which the client may have written the last byte of a streamed body. The
// estimate moves forward only on evidence that the body was not yet written completely: that the client was able to send,
// had sent all that it had written, and that was not all of the body. A pause of the gateway is no such evidence, and neither
// is a receive buffer that is not full: a sender waits for room for a whole segment, and the kernel counts a segment as
// a whole until its last byte is read. So the client is known to be able to send only from a moment at which the
// receive buffer was empty until it is found full.
type bodyClock struct {
	notBefore time.Duration // the client cannot have written the last byte before this time

	canSend      bool          // the receive buffer was empty at canSendSince and was not found full since
	canSendSince time.Duration // the bytes that the client had written by then arrive within sendDelay

	unread        int           // bytes in the receive buffer when it was last looked at, without those read since
	checkedAt     time.Duration // when it was last looked at
	readSinceLook bool          // bytes were read since then
	blocked       bool          // the client may have written more than has arrived
}

// begin starts the estimate for a body whose first part was received. The client wrote that part's last byte no earlier than
// sentAt.
func (b *bodyClock) begin(sentAt time.Duration) {
	*b = bodyClock{notBefore: sentAt, readSinceLook: true}
}

// wasAbleToSend reports whether all that the client had written before the given time has arrived by then.
func (b *bodyClock) wasAbleToSend(at time.Duration) bool {
	return b.canSend && at-b.canSendSince >= sendDelay
}

// read records that n bytes were read, in a read that was short if it could have returned more. A short read has emptied the
// receive buffer, unless the last look found more bytes: a system call may return less than is available.
func (b *bodyClock) read(now time.Duration, n int, short bool, body *http1.Reader) {
	b.readSinceLook = true
	b.unread = max(0, b.unread-n)
	if !short || b.unread > 0 {
		return
	}
	b.checkedAt, b.blocked = now, false
	b.bufferEmpty(now)
	if b.wasAbleToSend(now) && !body.Complete() {
		b.notBefore = now
	}
}

// bufferEmpty records that the receive buffer is empty now.
func (b *bodyClock) bufferEmpty(now time.Duration) {
	if !b.canSend {
		b.canSend, b.canSendSince = true, now
	}
}

// look records that the given number of bytes waits in the receive buffer, and whether it may be so full that the client
// cannot send.
func (b *bodyClock) look(now time.Duration, unread int, full bool, body *http1.Reader) {
	grown := unread > b.unread
	if grown && b.wasAbleToSend(b.checkedAt) {
		b.notBefore = b.checkedAt
	}
	// Bytes that arrive during a pause show that the client is still sending.
	b.blocked = full && (b.blocked || b.readSinceLook || !grown)
	b.unread, b.checkedAt, b.readSinceLook = unread, now, false
	switch {
	case full:
		b.canSend = false
	case unread == 0:
		b.bufferEmpty(now)
	}
	if b.wasAbleToSend(now) && !body.MayEndWithin(unread) || !body.MayEndWithin(unread+clientSendBuffer) {
		b.notBefore = now
	}
}

// waiting returns how many bytes the client may have written that were not read.
func (b *bodyClock) waiting() int {
	if b.blocked {
		return b.unread + clientSendBuffer
	}
	return b.unread
}

// ObserveUnread records that the given number of bytes now waits in the kernel's receive buffer, and whether the buffer
// may be so full that the client cannot send. A negative number is unknown.
func (c *Conn) ObserveUnread(now time.Duration, size int, full bool) {
	if c.Upload && size >= 0 {
		c.bodyClock.look(now, size, full, &c.reader)
	}
}

// MayBeBlocked reports whether the client may be kept from sending because the gateway reads its streamed body no further.
func (c *Conn) MayBeBlocked() bool { return c.Upload && c.bodyClock.blocked }

// BodySent returns the earliest time at which the client may have written the last byte of a streamed body that has been
// received completely.
func (c *Conn) BodySent() time.Duration { return c.bodyClock.notBefore }

// UploadDeadline returns when the client's timeout ends for a request whose body is being streamed. It returns false while
// the client has not yet sent the last byte, as far as is known: its timeout has then not begun.
func (c *Conn) UploadDeadline(clientTimeout time.Duration) (deadline time.Duration, begun bool) {
	if c.reader.Complete() || c.ReadingPaused && c.reader.MayEndWithin(c.bodyClock.waiting()) {
		return c.bodyClock.notBefore + clientTimeout, true
	}
	return 0, false
}
