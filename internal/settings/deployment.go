package settings

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"thymebend/internal/balancer"
	"thymebend/internal/fielderror"
)

// The structs below are the settings as a deployment states them, each with its name, its default and its bounds
// in tags; values.go says how these are read. A time.Duration is stated in milliseconds. A setting without a
// default is 0, false or empty where it is absent, unless it is required.

// cluster is what holds for the gateway as a whole.
type cluster struct {
	// Gateways of the cluster, this one with them.
	Gateways int `setting:"balancers" required:"true"`
	// Rank of this gateway among them, from 0.
	Rank int `setting:"rank"`
	// Zone of this gateway, by its index.
	Zone int `setting:"zone"`

	// OverQuotaWeight of a request beyond its tenant's quota, as a share of its class's weight.
	OverQuotaWeight float64 `setting:"over_share_worth" default:"1"`
	// CountedBy says whether weight counts for each request or for the work that it takes.
	CountedBy string `setting:"counted_by" default:"request" oneof:"request,work"`
	// TotalGoalWeight is the weight, in the goal, of all that is served in time.
	TotalGoalWeight float64 `setting:"score_parts.whole" default:"1"`
	// WorstClassGoalWeight is the weight, in the goal, of the class that is served worst.
	WorstClassGoalWeight float64 `setting:"score_parts.worst_class"`
	// CrossZoneCost of an attempt in another zone, as a share of its request's weight.
	CrossZoneCost float64 `setting:"deductions.cross_zone"`

	// Discovery says whether endpoint lists are pushed, or come when they are asked for.
	Discovery string `setting:"registry_mode" default:"automatic" oneof:"automatic,subscribe"`
	// PollInterval at most between two polls of discovery.
	PollInterval time.Duration `setting:"guarantees.ask_within_ms" default:"10000"`
	// SlowStartFraction of its capacity that a starting endpoint has at least.
	SlowStartFraction float64 `setting:"guarantees.cold_from" default:"1"`
	// SlowStartDuration at most until a starting endpoint has its whole capacity.
	SlowStartDuration time.Duration `setting:"guarantees.warm_after_ms"`
	// OverloadMultiple of its capacity at which a starting endpoint fails.
	OverloadMultiple float64 `setting:"guarantees.fall_multiple" default:"1"`
	// OverloadWindow for which it must get that much to fail.
	OverloadWindow time.Duration `setting:"guarantees.overload_for_ms"`

	// ClientsMarkRetries says whether clients mark their retries.
	ClientsMarkRetries bool `setting:"clients.marks_retry"`
	// MaxAttempts for one request.
	MaxAttempts int `setting:"bounds.most_tries" default:"1" above:"0"`
	// CancelAllowed says whether attempts may be cancelled.
	CancelAllowed bool `setting:"bounds.cancel"`
	// RetryAfter says whether a rejection may carry a Retry-After.
	RetryAfter bool `setting:"bounds.retry_after"`
	// MaxRetryAfter is the longest Retry-After that clients observe.
	MaxRetryAfter time.Duration `setting:"bounds.max_retry_after_ms"`
	// DispatchInterval at least between two dispatches of queued requests.
	DispatchInterval time.Duration `setting:"tick_ms" default:"1"`
}

// class is one class of requests, at classes.N.
type class struct {
	// LatencyObjective within which an answer earns the whole weight.
	LatencyObjective time.Duration `setting:"aim_ms" required:"true"`
	// Deadline after which a client has given up.
	Deadline time.Duration `setting:"give_up_ms" required:"true" above:"0"`
	// Weight of a request.
	Weight float64 `setting:"worth" default:"1"`
	// LateWeight of an answer after the objective, as a share of the weight.
	LateWeight float64 `setting:"late_worth"`
	// DedupWindow in which endpoints drop repeats of a request with the same idempotency key.
	DedupWindow time.Duration `setting:"window_ms"`
	// Idempotency says whether a request may run more than once.
	Idempotency string `setting:"repeat" default:"once" oneof:"repeatable,by_key,once"`
	// DedupScope says which endpoints drop repeats together.
	DedupScope string `setting:"group" default:"cell" oneof:"all,zone,cell"`
}

// tenant is one of those who share the endpoints, at tenants.N.
type tenant struct {
	// Quota in requests a second over all gateways; 0 is none.
	Quota float64 `setting:"quota_per_s"`
}

// transport is what the gateway needs beside the balancer.
type transport struct {
	// ConnectTimeout after which a connection that is not up has failed.
	ConnectTimeout time.Duration `setting:"bounds.connect_timeout_ms" default:"1000"`
	// IdleTimeout after which an endpoint closes an idle connection.
	IdleTimeout time.Duration `setting:"bounds.conn_idle_ms" default:"30000"`
	// Peers says whether gateways may send each other datagrams.
	Peers bool `setting:"bounds.peers"`
	// MaxOpen requests held open at once.
	MaxOpen int `setting:"bounds.open_cap" default:"1048576"`
}

// Lists of words, and the fields of lists.
const (
	zonesPath         = "zones"
	reportColumnsPath = "report.columns"
	queueLengthColumn = "pending" // of the load reports
	classesPath       = "classes"
	tenantsPath       = "tenants"
	nameField         = "name"
)

var (
	clusterFields   = fieldsOf[cluster]()
	classFields     = fieldsOf[class]()
	tenantFields    = fieldsOf[tenant]()
	transportFields = fieldsOf[transport]()

	idempotencies = map[string]balancer.Idempotency{
		"repeatable": balancer.Idempotent, "by_key": balancer.KeyedIdempotent, "once": balancer.NonIdempotent,
	}
	dedupScopes = map[string]balancer.DedupScope{
		"all": balancer.DedupAll, "zone": balancer.DedupZone, "cell": balancer.DedupCell,
	}
)

// config reads what the balancer is told.
func (v *values) config() balancer.Config {
	var c cluster
	v.read("", clusterFields, &c)
	return balancer.Config{
		Gateways:             c.Gateways,
		Rank:                 c.Rank,
		Zone:                 c.Zone,
		OverQuotaWeight:      c.OverQuotaWeight,
		WeightByWork:         c.CountedBy == "work",
		TotalGoalWeight:      c.TotalGoalWeight,
		WorstClassGoalWeight: c.WorstClassGoalWeight,
		CrossZoneCost:        c.CrossZoneCost,
		PollDiscovery:        c.Discovery == "subscribe",
		PollInterval:         c.PollInterval,
		SlowStartFraction:    c.SlowStartFraction,
		SlowStartDuration:    c.SlowStartDuration,
		OverloadMultiple:     c.OverloadMultiple,
		OverloadWindow:       c.OverloadWindow,
		ClientsMarkRetries:   c.ClientsMarkRetries,
		MaxAttempts:          c.MaxAttempts,
		CancelAllowed:        c.CancelAllowed,
		RetryAfter:           c.RetryAfter,
		MaxRetryAfter:        c.MaxRetryAfter,
		DispatchInterval:     c.DispatchInterval,
		Classes:              v.classes(),
		Tenants:              v.tenants(),
	}
}

// classes reads all classes, up to the first fault. Of JSON, names are required and each is there once.
func (v *values) classes() (classes []balancer.Class) {
	for i := range v.count(classesPath, true) {
		prefix := join(classesPath, strconv.Itoa(i)) + "."
		classes = append(classes, v.class(prefix))
		if v.fault != nil {
			break
		}
		named := func(c balancer.Class) bool { return c.Name == classes[i].Name }
		if v.isJSON() && slices.ContainsFunc(classes[:i], named) {
			v.fail(fielderror.Inline(prefix+nameField, duplicateError(classes[i].Name)))
		}
	}
	return classes
}

func (v *values) class(prefix string) balancer.Class {
	name := v.byPath[prefix+nameField]
	if name == "" && v.isJSON() {
		v.fail(fielderror.Missing(prefix + nameField))
	}
	var c class
	v.read(prefix, classFields, &c)
	return balancer.Class{
		Name:             name,
		LatencyObjective: c.LatencyObjective,
		Deadline:         c.Deadline,
		Weight:           c.Weight,
		LateWeight:       c.LateWeight,
		DedupWindow:      c.DedupWindow,
		Idempotency:      idempotencies[c.Idempotency],
		DedupScope:       dedupScopes[c.DedupScope],
	}
}

// tenants reads all tenants, up to the first fault.
func (v *values) tenants() (tenants []balancer.Tenant) {
	var t tenant // each read sets all of it
	for i := range v.count(tenantsPath, false) {
		prefix := join(tenantsPath, strconv.Itoa(i)) + "."
		v.read(prefix, tenantFields, &t)
		tenants = append(tenants, balancer.Tenant{Name: v.byPath[prefix+nameField], Quota: t.Quota})
		if v.fault != nil {
			break
		}
	}
	return tenants
}

func (v *values) gateway() Gateway {
	var t transport
	v.read("", transportFields, &t)
	return Gateway{
		Zones:             v.list(zonesPath),
		ConnectTimeout:    t.ConnectTimeout,
		IdleTimeout:       t.IdleTimeout,
		Peers:             t.Peers,
		MaxOpenRequests:   t.MaxOpen,
		QueueLengthColumn: slices.Index(v.list(reportColumnsPath), queueLengthColumn),
	}
}

// duplicateError words that another class has a name already.
func duplicateError(name string) error { return fmt.Errorf("is %q %w", name, ErrDuplicate) }
