package gateway

import "thymebend/internal/loop"

// reloader applies changed files while the gateway runs.
type reloader struct {
	*core
	classes   *classTable
	cluster   *cluster
	discovery *discoveryWatch

	pending []string // files requested and not yet read
}

// apply applies the new text of the configuration file: the address of discovery and the settings. All else is
// fixed at the start of the process. A faulty file changes nothing.
func (r *reloader) apply(raw []byte, err error) {
	updated := r.cfg
	if err == nil {
		updated, err = r.cfg.Reload(raw)
	}
	var indices []int
	if err == nil {
		indices, err = r.balancer.Reload(r.now, updated.Settings.Config)
	}
	if err != nil {
		r.stats.configsRejected++
		r.log.Error().Err(err).Msg("reload: configuration rejected, nothing has changed")
		return
	}
	r.stats.configsAccepted++
	r.dispatchNeeded = true
	r.classes.apply(updated.Settings, indices)
	r.log.Info().Stringer(fieldDiscovery, updated.Discovery).Int(fieldClasses, len(indices)).Msg("reload")
	r.discovery.reload(updated.Discovery)
}

// begin requests the files that a reload reads. Their contents arrive in the same order.
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

// fileRead handles the content of the oldest pending file.
func (r *reloader) fileRead(e loop.Event) {
	path := r.pending[0]
	if r.pending = r.pending[1:]; path == r.cfg.GossipPath {
		r.cluster.reload(e.Data, e.Err)
		return
	}
	r.apply(e.Data, e.Err)
}
