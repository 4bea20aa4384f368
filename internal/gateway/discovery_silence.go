package gateway

import "time"

// silenceBeforePause is how long after the end of a watch a change counts as told, unless a call since then
// has failed: a call that waits in discovery's queue does not put it off. From then on nothing new is sent
// until that call's fate is known.
const silenceBeforePause = 2 * time.Second

// maxPause bounds that wait: a discovery that is mute for longer is out of order, and its last list is the
// best there is.
const maxPause = 2 * time.Second

// startSilence notes that the watch has ended.
func (d *discoveryWatch) startSilence() {
	if d.discoveryPushed() {
		return
	}
	d.silentSince = d.now
	d.setTimer(timerSilence, 0, d.now+silenceBeforePause)
}

// silenceDue begins the wait for the call's fate, or ends it.
func (d *discoveryWatch) silenceDue() {
	if d.now >= d.silentSince+silenceBeforePause+maxPause {
		d.endSilence()
		return
	}
	d.log.Info().Dur(fieldSilent, d.now-d.silentSince).Msg("new attempts wait for discovery's answer")
	d.balancer.PauseAttempts(true)
	d.setTimer(timerSilence, 0, d.now+maxPause)
}

// endSilence notes that a call since the watch's end was answered, failed or took too long.
func (d *discoveryWatch) endSilence() {
	if d.silentSince == 0 {
		return
	}
	d.silentSince = 0
	d.stopTimer(timerSilence, 0)
	d.balancer.PauseAttempts(false)
	d.notified = true
}
