package gateway

import "thymebend/internal/loop"

// reloader takes changed files while the gateway runs.
type reloader struct {
	*core
	classes   *classTable
	cluster   *cluster
	discovery *discoveryWatch

	pending []string // files asked for and not yet read
}

// apply takes the configuration's new text: the address of discovery and the settings; the rest is fixed at
// the start. A faulty file changes nothing.
func (r *reloader) apply(raw []byte, err error) {
	fresh := r.cfg
	if err == nil {
		fresh, err = r.cfg.Reload(raw)
	}
	var indices []int
	if err == nil {
		indices, err = r.balancer.Reload(r.now, fresh.Settings.Config)
	}
	if err != nil {
		r.stats.configsRejected++
		r.log.Error().Err(err).Msg("reload: configuration rejected, nothing has changed")
		return
	}
	r.stats.configsAccepted++
	r.dispatchNeeded = true
	r.classes.apply(fresh.Settings, indices)
	r.log.Info().Stringer(fieldDiscovery, fresh.Discovery).Int(fieldClasses, len(indices)).Msg("reload")
	r.discovery.reload(fresh.Discovery)
}

// begin reads the files that a reload takes. They come in this order.
func (r *reloader) begin() {
	paths := []string{r.cfg.Path}
	if r.cfg.GossipPath != "" {
		paths = append(paths, r.cfg.GossipPath)
	}
	for _, path := range paths {
		r.pending = append(r.pending, path)
		r.emit(loop.Effect{Op: loop.ReadFile, Path: path})
	}
}

// fileRead takes the oldest file that is pending.
func (r *reloader) fileRead(e loop.Event) {
	path := r.pending[0]
	if r.pending = r.pending[1:]; path == r.cfg.GossipPath {
		r.cluster.reload(e.Data, e.Err)
		return
	}
	r.apply(e.Data, e.Err)
}
