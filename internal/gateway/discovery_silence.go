package gateway

import "time"

// silenceBeforePause is the time after the end of a watch from which changes count as notified, unless a poll
// has failed since. From then on attempts are paused until the poll is answered or fails: guards against
// attempts at an endpoint whose removal waits behind a poll in discovery's queue.
const silenceBeforePause = 2 * time.Second

// maxPause bounds that pause: a discovery that is silent for longer is out of order, and its last list is the
// best there is.
const maxPause = 2 * time.Second

// startSilence notes that the watch has ended. A pushed list has no queue in which a poll could wait.
func (d *discoveryWatch) startSilence() {
	if d.discoveryPushed() {
		return
	}
	d.silentSince = d.now
	d.setTimer(timerSilence, 0, d.now+silenceBeforePause)
}

// silenceDue begins the pause, or ends it.
func (d *discoveryWatch) silenceDue() {
	if d.now >= d.silentSince+silenceBeforePause+maxPause {
		d.endSilence()
		return
	}
	d.log.Info().Dur(fieldSilent, d.now-d.silentSince).Msg("new attempts wait for discovery's answer")
	d.balancer.PauseAttempts(true)
	d.setTimer(timerSilence, 0, d.now+maxPause)
}

// endSilence notes that a poll since the watch's end was answered, failed or took too long.
func (d *discoveryWatch) endSilence() {
	if d.silentSince == 0 {
		return
	}
	d.silentSince = 0
	d.stopTimer(timerSilence, 0)
	d.balancer.PauseAttempts(false)
	d.notified = true
}
