package standin

import (
	"encoding/json"
	"net"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sequoiacove/sequoiacove/pkg/description"
	"github.com/sequoiacove/sequoiacove/pkg/platform"
)

const platformDefaultListLimit = 100

// handle answers control calls at all times and data calls under the faults.
func (p *Platform) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == "/faults" && ctx.IsPost():
		p.handleFaults(ctx)
	case path == "/stats" && ctx.IsGet():
		replyJSON(ctx, fasthttp.StatusOK, p.Stats())
	case strings.HasPrefix(path, "/instances/"):
		p.handleInstance(ctx, strings.TrimPrefix(path, "/instances/"))
	default:
		p.handleData(ctx, path)
	}
}

func (p *Platform) handleFaults(ctx *fasthttp.RequestCtx) {
	var faults PlatformFaults
	if err := json.Unmarshal(ctx.PostBody(), &faults); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	p.SetFaults(faults)
	replyJSON(ctx, fasthttp.StatusOK, faults)
}

func (p *Platform) handleInstance(ctx *fasthttp.RequestCtx, id string) {
	switch {
	case ctx.IsDelete():
		p.DeleteInstance(id)
	case ctx.IsPut():
		var instance platform.Instance
		if err := json.Unmarshal(ctx.PostBody(), &instance); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		instance.ID = id
		p.PutInstance(instance)
	default:
		ctx.Error("use PUT or DELETE", fasthttp.StatusMethodNotAllowed)
		return
	}
	replyJSON(ctx, fasthttp.StatusOK, struct{}{})
}

// handleData carries out one call on the table, the objects or the list.
func (p *Platform) handleData(ctx *fasthttp.RequestCtx, path string) {
	p.mu.Lock()
	faults := p.faults
	p.mu.Unlock()
	if faults.Mode == PlatformSlow {
		time.Sleep(time.Duration(faults.DelayMS) * time.Millisecond)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.Mode == PlatformDown {
		p.stats.Dropped++
		platformDrop(ctx)
		return
	}
	if !ctx.IsPost() && !ctx.IsPut() {
		p.stats.Reads++
		p.read(ctx, path)
		return
	}
	p.stats.Writes++
	lose := p.faults.Mode == PlatformLoseAnswers
	if p.write(ctx, path) {
		p.countDrop()
	}
	if lose {
		platformDrop(ctx)
	}
}

// countDrop takes the store down after the configured number of writes.
func (p *Platform) countDrop() {
	if p.faults.DropAfterWrites == 0 {
		return
	}
	p.faults.DropAfterWrites--
	if p.faults.DropAfterWrites == 0 {
		p.faults.Mode = PlatformDown
	}
}

func (p *Platform) read(ctx *fasthttp.RequestCtx, path string) {
	args := ctx.QueryArgs()
	hash, isObject := strings.CutPrefix(path, "/objects/")
	switch {
	case path == "/table/rows":
		replyJSON(ctx, fasthttp.StatusOK, p.table.get(string(args.Peek("key"))))
	case path == "/table/list":
		limit := args.GetUintOrZero("limit")
		if limit == 0 {
			limit = platformDefaultListLimit
		}
		rows := p.table.scan(string(args.Peek("prefix")), string(args.Peek("after")), min(limit, platform.MaxListRows))
		replyJSON(ctx, fasthttp.StatusOK, map[string][]platform.Row{"rows": rows})
	case path == "/instances":
		replyJSON(ctx, fasthttp.StatusOK, map[string][]platform.Instance{"instances": p.list.read(p.now())})
	case isObject && p.objects[hash] != nil:
		ctx.SetBody(p.objects[hash])
	default:
		ctx.Error("not found", fasthttp.StatusNotFound)
	}
}

// write reports whether the write took effect.
func (p *Platform) write(ctx *fasthttp.RequestCtx, path string) bool {
	hash, isObject := strings.CutPrefix(path, "/objects/")
	switch {
	case path == "/table/transactions":
		return p.transact(ctx)
	case isObject && description.Hash(ctx.PostBody()) == hash:
		status := fasthttp.StatusOK
		if p.objects[hash] == nil {
			status = fasthttp.StatusCreated
			p.objects[hash] = append([]byte{}, ctx.PostBody()...)
		}
		ctx.SetStatusCode(status)
		return true
	default:
		ctx.Error("bad request", fasthttp.StatusBadRequest)
		return false
	}
}

func (p *Platform) transact(ctx *fasthttp.RequestCtx) bool {
	var tx platform.Transaction
	if err := json.Unmarshal(ctx.PostBody(), &tx); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return false
	}
	revision, failed := p.table.transact(tx)
	if failed != nil {
		replyJSON(ctx, fasthttp.StatusConflict, platform.Condition{Key: failed.Key, Revision: failed.Revision})
		return false
	}
	replyJSON(ctx, fasthttp.StatusOK, map[string]uint64{"revision": revision})
	return true
}

// replyJSON answers with a status and a body in JSON.
func replyJSON(ctx *fasthttp.RequestCtx, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(encoded)
}

// platformDrop closes the connection without an answer.
func platformDrop(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(net.Conn) {})
}
