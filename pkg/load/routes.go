package load

import "github.com/sequoiacove/sequoiacove/platform/platformtest"

// Routes returns a route for each class of requests, like base but for the
// name, the prefix and whether its requests are idempotent. The names begin
// with that of base.
func Routes(base platformtest.Route) []platformtest.Route {
	var list []platformtest.Route
	for _, class := range []string{ClassRead, ClassLong, ClassWrite} {
		r := base
		r.Name, r.Prefix, r.Idempotent = base.Name+class, "/"+class+"/", class != ClassWrite
		list = append(list, r)
	}
	return list
}
