// Package entry is the request path of an instance: the caller API, routing,
// forwarding to other entry instances and the state that its agent pushes.
//
// A request takes these steps. The caller API bounds and decodes it. Routing
// chooses a failure domain by the effective shares. In the own domain the
// instance that owns the pool of the service admits it; other instances forward
// it to the owner over the peer transport. A request that certainly did not run
// may go to the next instance of the domain or to another domain with credit. A
// request with an identifier first goes to the instance that issued it.
//
// The agent of the instance pushes snapshots. Each one replaces the view that
// requests read, so a request sees one consistent view. Without a snapshot for
// 3 s the entry is detached and gives up its pools if it knows another entry
// instance of its domain.
package entry
