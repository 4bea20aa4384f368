package gateway

import "time"

// silenceBeforePause is the time after the end of a watch from which changes count as notified, unless a poll
// has failed since. From then on attempts are paused until the poll is answered or fails: guards against
// attempts at an endpoint whose removal waits behind a poll in discovery's queue.
const silenceBeforePause = 2 * time.Second

// maxPause bounds that pause: a discovery that is silent for longer is out of order, and its last list is the
// best there is.
const maxPause = 2 * time.Second

// watchLost notes that the watch has ended, and starts the time until attempts are paused. A pushed
// list has no queue in which a poll could wait.
func (d *discoveryWatch) watchLost() {
	if d.discoveryPushed() {
		return
	}
	d.silentSince = d.now
	d.setTimer(timerSilence, 0, d.now+silenceBeforePause)
}

// pauseDue begins the pause of new attempts, or ends it after maxPause.
func (d *discoveryWatch) pauseDue() {
	if d.now >= d.silentSince+silenceBeforePause+maxPause {
		d.pollSettled()
		return
	}
	d.log.Info().Dur(fieldSilent, d.now-d.silentSince).Msg("new attempts wait for discovery's answer")
	d.balancer.PauseAttempts(true)
	d.setTimer(timerSilence, 0, d.now+maxPause)
}

// pollSettled ends the pause: a poll since the end of the watch was answered, failed or took too long.
func (d *discoveryWatch) pollSettled() {
	if d.silentSince == 0 {
		return
	}
	d.silentSince = 0
	d.stopTimer(timerSilence, 0)
	d.balancer.PauseAttempts(false)
	d.dispatchNeeded = true
}
