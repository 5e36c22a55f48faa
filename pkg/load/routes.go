package load

import "github.com/sequoiacove/sequoiacove/platform/platformtest"

// Routes returns one route for each request class. The routes are copies of base
// with their own prefix and idempotency; the class is appended to the name.
func Routes(base platformtest.Route) []platformtest.Route {
	var list []platformtest.Route
	for _, class := range []string{ClassRead, ClassLong, ClassWrite} {
		r := base
		r.Name, r.Prefix, r.Idempotent = base.Name+class, "/"+class+"/", class != ClassWrite
		list = append(list, r)
	}
	return list
}
