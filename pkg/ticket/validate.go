package ticket

import (
	"maps"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/guavatrack/guavatrack/internal/strictjson"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

const (
	// MaxObjects is the maximum number of objects that one ticket may touch, so
	// that the ticket fits into one transaction of the table service.
	MaxObjects = 90
	// maxNameBytes is the maximum length of an object's name in bytes.
	maxNameBytes = 200
)

// Validate checks the values of a ticket, and the references between objects as
// they would be after applying the ticket to the current configuration. It
// modifies neither. The error is a [strictjson.FieldErrors] with the path of
// every wrong value.
func Validate(t Ticket, current *Snapshot) error {
	v := checkContents(t)
	v.current = current
	v.checkReferences()
	return sortedProblems(v.FieldErrors)
}

// checkContents checks a ticket without regard to the current configuration.
func checkContents(t Ticket) *validator {
	v := &validator{ticket: t}
	if t.Number == 0 {
		v.Add("number", "must be 1 or more")
	}
	switch touched := len(t.Pools) + len(t.Deployments) + len(t.Services); {
	case touched == 0:
		v.Add("", "touches no pool, deployment or service")
	case touched > MaxObjects:
		v.Add("", "touches %d objects, more than %d; split the ticket", touched, MaxObjects)
	}
	v.checkPools()
	v.checkDeployments()
	v.checkServices()
	return v
}

// validator is the state shared by the checks of one ticket.
type validator struct {
	strictjson.FieldErrors
	ticket  Ticket
	current *Snapshot
}

// checkName checks the name of an object or adapter.
func (v *validator) checkName(path, name string) {
	switch {
	case name == "":
		v.Add(path, "the name is empty")
	case len(name) > maxNameBytes:
		v.Add(path, "the name has %d bytes, more than %d", len(name), maxNameBytes)
	case strings.ContainsFunc(name, func(r rune) bool { return r <= ' ' || r == 0x7f || strings.ContainsRune(":/?#%\"\\", r) }):
		v.Add(path, `the name contains a space, a control character or one of :/?#%%"\`)
	}
}

func (v *validator) checkPools() {
	for id, pool := range v.ticket.Pools {
		path := strictjson.Join("pools", string(id))
		v.checkName(path, string(id))
		if pool != nil && pool.Kind != EnginePool && pool.Kind != ServicePool {
			v.Add(strictjson.Join(path, "kind"), "is %q, must be %q or %q", pool.Kind, EnginePool, ServicePool)
		}
		if pool != nil && pool.Kind == ServicePool && pool.ChecksFencing {
			v.Add(strictjson.Join(path, "checksFencing"), "plain services take no orders, so they check no fencing number")
		}
	}
}

func (v *validator) checkDeployments() {
	for id, deployment := range v.ticket.Deployments {
		path := strictjson.Join("deployments", string(id))
		v.checkName(path, string(id))
		if deployment == nil {
			continue
		}
		v.checkDeployment(path, deployment)
		v.checkReplicas(strictjson.Join(path, "replicas"), deployment.Replicas)
		v.checkPrices(strictjson.Join(path, "prices"), deployment.Prices)
		for adapter, spec := range deployment.Adapters {
			inner := strictjson.Join(strictjson.Join(path, "adapters"), string(adapter))
			v.checkName(inner, string(adapter))
			if spec.Size <= 0 {
				v.Add(strictjson.Join(inner, "size"), "must be more than 0B")
			}
		}
	}
}

func (v *validator) checkDeployment(path string, d *Deployment) {
	if d.Version == "" {
		v.Add(strictjson.Join(path, "version"), "is missing")
	}
	if d.Size <= 0 {
		v.Add(strictjson.Join(path, "size"), "must be more than 0B")
	}
	if d.Accelerators < 1 {
		v.Add(strictjson.Join(path, "accelerators"), "is %d, must be 1 or more", d.Accelerators)
	}
	if d.Class != Interactive && d.Class != Diagnosis && d.Class != Batch {
		v.Add(strictjson.Join(path, "class"), "is %q, must be %q, %q or %q", d.Class, Interactive, Diagnosis, Batch)
	}
	if d.Timeout <= 0 {
		v.Add(strictjson.Join(path, "timeout"), "must be more than 0s")
	}
	if d.Concurrency < 1 {
		v.Add(strictjson.Join(path, "concurrency"), "is %d, must be 1 or more", d.Concurrency)
	}
	seen := make(map[fleet.Region]bool)
	for i, region := range d.Regions {
		inner := indexPath(strictjson.Join(path, "regions"), i)
		if region == "" {
			v.Add(inner, "is empty")
		}
		if seen[region] {
			v.Add(inner, "%q is listed twice", region)
		}
		seen[region] = true
	}
}

func (v *validator) checkReplicas(path string, r Replicas) {
	for _, count := range []struct {
		name  string
		value int
	}{{"min", r.Min}, {"max", r.Max}, {"surge", r.Surge}} {
		if count.value < 0 {
			v.Add(strictjson.Join(path, count.name), "is %d, must not be negative", count.value)
		}
	}
	if r.Max >= 0 && r.Min > r.Max {
		v.Add(strictjson.Join(path, "max"), "is %d, less than min, which is %d", r.Max, r.Min)
	}
}

func (v *validator) checkPrices(path string, p Prices) {
	for _, price := range []struct {
		name  string
		value float64
	}{{"coldStartSecond", p.ColdStartSecond}, {"acceleratorHour", p.AcceleratorHour}} {
		if price.value < 0 || math.IsNaN(price.value) || math.IsInf(price.value, 0) {
			v.Add(strictjson.Join(path, price.name), "is %v, must be 0 or more", price.value)
		}
	}
}

func (v *validator) checkServices() {
	for id, service := range v.ticket.Services {
		path := strictjson.Join("services", string(id))
		v.checkName(path, string(id))
		if service == nil {
			continue
		}
		prefix := service.Prefix
		if len(prefix) < 3 || !strings.HasPrefix(prefix, "/") || !strings.HasSuffix(prefix, "/") || strings.Contains(prefix, "//") {
			v.Add(strictjson.Join(path, "prefix"), "is %q, must start and end with / and name something in between", prefix)
		}
		if prefix == "/v1/" || strings.HasPrefix(prefix, "/v1/") {
			v.Add(strictjson.Join(path, "prefix"), "/v1/ is taken by models")
		}
		v.checkRoutes(strictjson.Join(path, "routes"), service.Routes)
	}
}

// methods lists the HTTP methods that a route may have.
var methods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

func (v *validator) checkRoutes(path string, routes []Route) {
	type call struct{ method, path string }
	seen := make(map[call]int)
	for i, route := range routes {
		inner := indexPath(path, i)
		if !slices.Contains(methods, route.Method) {
			v.Add(strictjson.Join(inner, "method"), "is %q, must be one of %s", route.Method, strings.Join(methods, ", "))
		}
		if !strings.HasPrefix(route.Path, "/") {
			v.Add(strictjson.Join(inner, "path"), "is %q, must start with /", route.Path)
		}
		if route.Timeout <= 0 {
			v.Add(strictjson.Join(inner, "timeout"), "must be more than 0s")
		}
		key := call{route.Method, route.Path}
		if first, repeated := seen[key]; repeated {
			v.Add(inner, "%s %s is already routed by %s", route.Method, route.Path, indexPath(path, first))
			continue
		}
		seen[key] = i
	}
}

// applyChanges returns a copy of the current objects with a ticket's changes
// applied; a nil value deletes the object.
func applyChanges[K comparable, V any](current, changes map[K]*V) map[K]*V {
	after := maps.Clone(current)
	if after == nil {
		after = make(map[K]*V)
	}
	for id, value := range changes {
		if value == nil {
			delete(after, id)
			continue
		}
		after[id] = value
	}
	return after
}

// checkReferences checks the references to pools and the uniqueness of service
// prefixes in the configuration that the ticket would produce.
func (v *validator) checkReferences() {
	after := Snapshot{
		Pools:       applyChanges(v.current.Pools, v.ticket.Pools),
		Deployments: applyChanges(v.current.Deployments, v.ticket.Deployments),
		Services:    applyChanges(v.current.Services, v.ticket.Services),
	}
	for id, deployment := range after.Deployments {
		path := strictjson.Join(strictjson.Join("deployments", string(id)), "pool")
		v.checkPoolReference(path, deployment.Pool, EnginePool, after.Pools)
	}
	owners := make(map[string]fleet.ServiceID)
	for _, id := range slices.Sorted(maps.Keys(after.Services)) {
		service := after.Services[id]
		path := strictjson.Join("services", string(id))
		v.checkPoolReference(strictjson.Join(path, "pool"), service.Pool, ServicePool, after.Pools)
		if owner, taken := owners[service.Prefix]; taken {
			v.Add(strictjson.Join(path, "prefix"), "%q is taken by the service %q", service.Prefix, owner)
			continue
		}
		owners[service.Prefix] = id
	}
}

func (v *validator) checkPoolReference(path string, id fleet.PoolID, want PoolKind, pools map[fleet.PoolID]*Pool) {
	pool, found := pools[id]
	deleted := func() bool { p, named := v.ticket.Pools[id]; return named && p == nil }
	switch {
	case id == "":
		v.Add(path, "is missing")
	case !found && deleted():
		v.Add(path, "the ticket deletes the pool %q, which is still in use here", id)
	case !found:
		v.Add(path, "there is no pool %q", id)
	case pool.Kind != want && (pool.Kind == EnginePool || pool.Kind == ServicePool):
		v.Add(path, "the pool %q is of kind %q, must be %q", id, pool.Kind, want)
	}
}

// indexPath appends an array index to a field path.
func indexPath(path string, index int) string { return path + "[" + strconv.Itoa(index) + "]" }
