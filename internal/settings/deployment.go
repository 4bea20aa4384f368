package settings

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"thymebend/internal/balancer"
	"thymebend/internal/fielderror"
)

// The structs below define the settings of a deployment. Tags give each setting's name, default and bounds; type field
// in values.go describes the tags. A time.Duration is given in milliseconds. An absent setting without a default is 0,
// false or empty, unless it is required.

// cluster holds the settings that are not per class or tenant and that configure the balancer.
type cluster struct {
	// Gateways is the number of gateways in the cluster, including this one.
	Gateways int `setting:"balancers" required:"true"`
	// Rank of this gateway in the cluster, from 0 to Gateways-1.
	Rank int `setting:"rank"`
	// Zone of this gateway, as the index of the zone.
	Zone int `setting:"zone"`

	// OverQuotaWeight is the weight of a request above its tenant's quota, as a share of its class's weight.
	OverQuotaWeight float64 `setting:"over_share_worth" default:"1"`
	// CountedBy determines whether weight is counted per request or by the work that a request takes.
	CountedBy string `setting:"counted_by" default:"request" oneof:"request,work"`
	// TotalGoalWeight is the weight, in the goal, of all requests that are served in time.
	TotalGoalWeight float64 `setting:"score_parts.whole" default:"1"`
	// WorstClassGoalWeight is the weight, in the goal, of the class that is served worst.
	WorstClassGoalWeight float64 `setting:"score_parts.worst_class"`
	// CrossZoneCost is the cost of an attempt in another zone, as a share of the request's weight.
	CrossZoneCost float64 `setting:"deductions.cross_zone"`

	// Discovery determines whether discovery pushes endpoint lists (automatic) or sends them on request (subscribe).
	Discovery string `setting:"registry_mode" default:"automatic" oneof:"automatic,subscribe"`
	// PollInterval is the longest time between two polls of discovery.
	PollInterval time.Duration `setting:"guarantees.ask_within_ms" default:"10000"`
	// SlowStartFraction is the least share of its capacity that a starting endpoint has.
	SlowStartFraction float64 `setting:"guarantees.cold_from" default:"1"`
	// SlowStartDuration is the longest time until a starting endpoint has its full capacity.
	SlowStartDuration time.Duration `setting:"guarantees.warm_after_ms"`
	// OverloadMultiple is the load, as a multiple of its present capacity, at which a starting endpoint fails.
	OverloadMultiple float64 `setting:"guarantees.fall_multiple" default:"1"`
	// OverloadWindow is how long a starting endpoint must receive that load to fail.
	OverloadWindow time.Duration `setting:"guarantees.overload_for_ms"`

	// ClientsMarkRetries is true if clients mark their retries.
	ClientsMarkRetries bool `setting:"clients.marks_retry"`
	// MaxAttempts is the maximum number of attempts for one request.
	MaxAttempts int `setting:"bounds.most_tries" default:"1" above:"0"`
	// CancelAllowed permits the cancellation of attempts.
	CancelAllowed bool `setting:"bounds.cancel"`
	// RetryAfter permits a Retry-After in rejections.
	RetryAfter bool `setting:"bounds.retry_after"`
	// MaxRetryAfter is the longest Retry-After that clients obey.
	MaxRetryAfter time.Duration `setting:"bounds.max_retry_after_ms"`
	// DispatchInterval is the shortest time between two dispatches of queued requests.
	DispatchInterval time.Duration `setting:"tick_ms" default:"1"`
}

// class holds the settings of one class of requests, at classes.N.
type class struct {
	// LatencyObjective is the latency up to which an answer earns the full weight.
	LatencyObjective time.Duration `setting:"aim_ms" required:"true"`
	// Deadline is the time after which a client abandons its request.
	Deadline time.Duration `setting:"give_up_ms" required:"true" above:"0"`
	// Weight of a request.
	Weight float64 `setting:"worth" default:"1"`
	// LateWeight is the weight of an answer after the objective, as a share of the weight.
	LateWeight float64 `setting:"late_worth"`
	// DedupWindow is how long endpoints drop repeats of a request with the same idempotency key.
	DedupWindow time.Duration `setting:"window_ms"`
	// Idempotency determines whether a request may run more than once.
	Idempotency string `setting:"repeat" default:"once" oneof:"repeatable,by_key,once"`
	// DedupScope determines which endpoints share the keys by which they drop repeats.
	DedupScope string `setting:"group" default:"cell" oneof:"all,zone,cell"`
}

// tenant holds the settings of one tenant, at tenants.N. The tenants share the endpoints.
type tenant struct {
	// Quota in requests per second over all gateways; 0 means no quota.
	Quota float64 `setting:"quota_per_s"`
}

// transport holds the settings that the gateway uses outside the balancer.
type transport struct {
	// ConnectTimeout is the time after which a connection that is not established has failed.
	ConnectTimeout time.Duration `setting:"bounds.connect_timeout_ms" default:"1000"`
	// IdleTimeout is the time after which an endpoint closes an idle connection.
	IdleTimeout time.Duration `setting:"bounds.conn_idle_ms" default:"30000"`
	// Peers permits datagrams between gateways.
	Peers bool `setting:"bounds.peers"`
	// MaxOpenRequests is the maximum number of requests open at the same time.
	MaxOpenRequests int `setting:"bounds.open_cap" default:"1048576"`
}

// Paths and field names of the settings that the structs above do not define: lists, and names in lists.
const (
	zonesPath         = "zones"
	reportColumnsPath = "report.columns"
	queueLengthColumn = "pending" // the column of load reports that holds the queue length
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

// config reads the configuration of the balancer.
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

// classes reads all classes, up to the first fault. In JSON, each class must have a name that no other class has.
func (v *values) classes() (classes []balancer.Class) {
	for i := range v.count(classesPath, true) {
		prefix := join(classesPath, strconv.Itoa(i)) + "."
		classes = append(classes, v.class(prefix))
		if v.fault != nil {
			break
		}
		sameName := func(c balancer.Class) bool { return c.Name == classes[i].Name }
		if v.isJSON() && slices.ContainsFunc(classes[:i], sameName) {
			v.fail(fielderror.Inline(prefix+nameField, duplicateError(classes[i].Name)))
		}
	}
	return classes
}

// class reads the class whose settings have this path prefix.
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
	var t tenant // reused: read sets every field
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

// gateway reads the settings that the gateway uses outside the balancer.
func (v *values) gateway() Gateway {
	var t transport
	v.read("", transportFields, &t)
	return Gateway{
		Zones:             v.list(zonesPath),
		ConnectTimeout:    t.ConnectTimeout,
		IdleTimeout:       t.IdleTimeout,
		Peers:             t.Peers,
		MaxOpenRequests:   t.MaxOpenRequests,
		QueueLengthColumn: slices.Index(v.list(reportColumnsPath), queueLengthColumn),
	}
}

// duplicateError returns the cause for a class with the name of an earlier class.
func duplicateError(name string) error { return fmt.Errorf("is %q, %w", name, ErrDuplicate) }
