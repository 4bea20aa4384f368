package gateway

import "time"

// silenceBeforePause is the time from the end of a watch to the pause of new attempts. After this time the gateway
// is held responsible for knowing every change, unless a poll has failed since the watch ended. The pause lasts until
// a poll is answered or fails, but at most maxPause. It prevents attempts at an endpoint whose removal the gateway
// has not received because its poll waits in discovery's queue.
const silenceBeforePause = 2 * time.Second

// maxPause limits the pause of new attempts: a discovery that is silent for longer is considered out of order,
// and its last list is the best information available.
const maxPause = 2 * time.Second

// watchLost records that the watch has ended and starts the timer for the pause of attempts. There is no pause
// with a pushed list, which has no queue in which a poll could wait.
func (d *discoveryWatch) watchLost() {
	if d.discoveryPushed() {
		return
	}
	d.silentSince = d.now
	d.setTimer(timerSilence, 0, d.now+silenceBeforePause)
}

// pauseDue starts the pause of new attempts, or ends it if it has lasted maxPause.
func (d *discoveryWatch) pauseDue() {
	if d.now >= d.silentSince+silenceBeforePause+maxPause {
		d.endPause()
		return
	}
	d.log.Info().Dur(fieldSilent, d.now-d.silentSince).Msg("new attempts wait for discovery's answer")
	d.balancer.PauseAttempts(true)
	d.setTimer(timerSilence, 0, d.now+maxPause)
}

// endPause ends the pause, or cancels its timer: a poll has been answered or has failed since the end of the
// watch, or the pause has lasted maxPause.
func (d *discoveryWatch) endPause() {
	if d.silentSince == 0 {
		return
	}
	d.silentSince = 0
	d.stopTimer(timerSilence, 0)
	d.balancer.PauseAttempts(false)
	d.dispatchNeeded = true
}
