package platform

import (
	"encoding/json"
	"net/netip"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

const (
	// maxConditions bounds the conditions of a transaction, and its writes.
	maxConditions = 16
	maxIDBytes    = 128
	// maxSlots bounds the slots of one upstream in the instance list.
	maxSlots = 100_000
	// maxExcerptBytes bounds the part of an answer that an error repeats.
	maxExcerptBytes = 120
)

// protocolError reports an answer that does not have the form of what was
// asked for.
func protocolError(what string, got answer) error {
	excerpt := got.body[:min(len(got.body), maxExcerptBytes)]
	return result.New(result.StoreProtocol, "%s: status %d, body %q", what, got.status, excerpt)
}

// decodeRow checks that the answer is the row that was asked for.
func decodeRow(key string, got answer) (Row, error) {
	var row Row
	if got.status != fasthttp.StatusOK || json.Unmarshal(got.body, &row) != nil {
		return Row{}, protocolError("row", got)
	}
	if row.Key != key || len(row.Value) > MaxValueBytes || row.Revision == 0 && len(row.Value) > 0 {
		return Row{}, protocolError("row", got)
	}
	return row, nil
}

// decodeList checks prefix, order and count of the rows.
func decodeList(prefix, after string, limit int, got answer) ([]Row, error) {
	var list struct {
		Rows []Row `json:"rows"`
	}
	if got.status != fasthttp.StatusOK || json.Unmarshal(got.body, &list) != nil || len(list.Rows) > limit {
		return nil, protocolError("list", got)
	}
	last := after
	for _, row := range list.Rows {
		if !strings.HasPrefix(row.Key, prefix) || row.Key <= last || row.Revision == 0 || len(row.Value) > MaxValueBytes {
			return nil, protocolError("list", got)
		}
		last = row.Key
	}
	return list.Rows, nil
}

func encodeTransaction(tx Transaction) ([]byte, error) {
	if len(tx.Writes) == 0 || len(tx.Writes) > maxConditions || len(tx.Conditions) > maxConditions {
		return nil, result.New(result.BadRequest, "a transaction has 1 to %d writes and up to as many conditions", maxConditions)
	}
	for _, c := range tx.Conditions {
		if err := checkKey(c.Key); err != nil {
			return nil, err
		}
	}
	for _, w := range tx.Writes {
		if err := checkKey(w.Key); err != nil {
			return nil, err
		}
		if len(w.Value) > MaxValueBytes {
			return nil, result.New(result.BadRequest, "row %q: value exceeds %d bytes", w.Key, MaxValueBytes)
		}
	}
	return json.Marshal(tx)
}

// decodeTransaction returns the revision or StoreConflict. Anything unexpected
// leaves the outcome unknown.
func decodeTransaction(got answer) (uint64, error) {
	var reply struct {
		Key      string `json:"key"`
		Revision uint64 `json:"revision"`
	}
	if err := json.Unmarshal(got.body, &reply); err != nil {
		return 0, protocolError("transaction", got)
	}
	switch {
	case got.status == fasthttp.StatusOK && reply.Revision > 0:
		return reply.Revision, nil
	case got.status == fasthttp.StatusConflict && reply.Key != "":
		return 0, result.New(result.StoreConflict, "row %q has revision %d", reply.Key, reply.Revision)
	default:
		return 0, protocolError("transaction", got)
	}
}

// decodeInstances leaves out records that are malformed, so that one of them
// does not hide all others.
func decodeInstances(got answer) ([]Instance, error) {
	var list struct {
		Instances []Instance `json:"instances"`
	}
	if got.status != fasthttp.StatusOK || json.Unmarshal(got.body, &list) != nil || len(list.Instances) > MaxInstances {
		return nil, protocolError("instances", got)
	}
	valid := make([]Instance, 0, len(list.Instances))
	for _, instance := range list.Instances {
		if instance.valid() {
			valid = append(valid, instance)
		}
	}
	return valid, nil
}

func (i Instance) valid() bool {
	if i.ID == "" || len(i.ID) > maxIDBytes || i.Slots < 0 || i.Slots > maxSlots {
		return false
	}
	if i.State != cluster.Serving && i.State != cluster.Leaving {
		return false
	}
	if _, err := netip.ParseAddrPort(i.Address); err != nil {
		return false
	}
	switch i.Role {
	case RoleUpstream:
		return i.Service != "" && len(i.Service) <= maxIDBytes
	case RoleEntry:
		_, err := netip.ParseAddrPort(i.AgentAddress)
		return err == nil
	default:
		return false
	}
}
