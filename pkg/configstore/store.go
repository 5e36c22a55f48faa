// Package configstore accepts patches of the description and keeps their
// history in the platform's stores.
//
// The row config/head names the current version. A patch is accepted by one
// transaction that requires the head revision that was read and the absence of
// the row of its patch id, and that writes the head, the version row and the
// patch row together. Of two patches on one version, one is accepted and the
// other is refused. The patch row makes a repeated patch return the version
// that its first submission created.
package configstore

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/result"
	"github.com/sequoiacove/sequoiacove/pkg/table"
	"github.com/sequoiacove/sequoiacove/pkg/wait"
)

const (
	headKey       = "config/head"
	versionPrefix = "config/version/"
	patchPrefix   = "config/patch/"
	// MaxHistoryPage bounds one page of History.
	MaxHistoryPage = 200
)

// emptyBody is the description of version 0.
var emptyBody = []byte("{}")

// Store accepts patches and reads versions.
type Store struct {
	table   table.Table
	objects table.ObjectStore
	now     func() time.Time
	sleep   func(ctx context.Context, d time.Duration) error
}

// New returns a store; now gives the acceptance time of versions.
func New(table table.Table, objects table.ObjectStore, now func() time.Time) *Store {
	return &Store{table: table, objects: objects, now: now, sleep: wait.For}
}

// versionRecord is the value of the head row and of each version row.
type versionRecord struct {
	Number         uint64 `json:"version"`
	Hash           string `json:"hash"`
	PreviousHash   string `json:"previous_hash,omitempty"`
	AcceptedUnixMS int64  `json:"accepted_unix_ms"`
	PatchID        string `json:"patch_id"`
	Operator       string `json:"operator"`
}

func (r versionRecord) clusterVersion() cluster.Version {
	return cluster.Version{
		Number:         r.Number,
		Hash:           r.Hash,
		AcceptedUnixMS: r.AcceptedUnixMS,
		PatchID:        r.PatchID,
		Operator:       r.Operator,
	}
}

// patchRecord is the value of a patch row.
type patchRecord struct {
	Number uint64 `json:"version"`
	// Digest identifies the patch, so that another patch with the same id is
	// refused.
	Digest string `json:"digest"`
	// AcceptedUnixMS and Operator tell submissions of one patch apart.
	AcceptedUnixMS int64  `json:"accepted_unix_ms"`
	Operator       string `json:"operator"`
}

// head is the current version record with the revision of its row; a store
// without any version has a zero head.
type head struct {
	versionRecord
	revision uint64
}

// versionKey pads the number so that key order is version order.
func versionKey(number uint64) string { return fmt.Sprintf("%s%020d", versionPrefix, number) }

func patchKey(id string) string { return patchPrefix + id }

// Head returns the current version without its bodies; it costs one read.
func (s *Store) Head(ctx context.Context) (cluster.Version, error) {
	h, err := s.readHead(ctx)
	if err != nil {
		return cluster.Version{}, err
	}
	return h.clusterVersion(), nil
}

func (s *Store) readHead(ctx context.Context) (head, error) {
	row, err := s.table.Get(ctx, headKey)
	if err != nil || row.Revision == 0 {
		return head{}, err
	}
	record, err := decodeVersion(row)
	return head{record, row.Revision}, err
}

// Current returns the current version with its bodies.
func (s *Store) Current(ctx context.Context) (cluster.Version, error) {
	h, err := s.readHead(ctx)
	if err != nil {
		return cluster.Version{}, err
	}
	return s.loadBodies(ctx, h.versionRecord)
}

// Load returns a version with its body and the body of the version before.
func (s *Store) Load(ctx context.Context, number uint64) (cluster.Version, error) {
	if number == 0 {
		return cluster.Version{Body: emptyBody}, nil
	}
	row, err := s.table.Get(ctx, versionKey(number))
	if err != nil {
		return cluster.Version{}, err
	}
	if row.Revision == 0 {
		return cluster.Version{}, result.New(result.VersionNotFound, "the store has no version %d", number)
	}
	record, err := decodeVersion(row)
	if err != nil {
		return cluster.Version{}, err
	}
	if record.Number != number {
		return cluster.Version{}, result.New(result.StoreProtocol, "row of version %d holds version %d", number, record.Number)
	}
	return s.loadBodies(ctx, record)
}

// History returns up to limit versions below before, newest first and without
// bodies; before 0 starts at the current version.
func (s *Store) History(ctx context.Context, before uint64, limit int) ([]cluster.Version, error) {
	h, err := s.readHead(ctx)
	if err != nil {
		return nil, err
	}
	if before == 0 || before > h.Number+1 {
		before = h.Number + 1
	}
	count := min(uint64(max(1, min(limit, MaxHistoryPage))), before-1)
	if count == 0 {
		return nil, nil
	}
	rows, err := s.table.List(ctx, versionPrefix, versionKey(before-1-count), int(count))
	if err != nil {
		return nil, err
	}
	return decodeHistory(rows, before)
}

// decodeHistory reverses the rows of the versions below before, which must have
// no gap.
func decodeHistory(rows []table.Row, before uint64) ([]cluster.Version, error) {
	versions := make([]cluster.Version, 0, len(rows))
	for i := len(rows) - 1; i >= 0; i-- {
		record, err := decodeVersion(rows[i])
		if err != nil {
			return nil, err
		}
		if record.Number != before-1-uint64(len(versions)) {
			return nil, result.New(result.StoreProtocol, "history has a gap below version %d", before)
		}
		versions = append(versions, record.clusterVersion())
	}
	return versions, nil
}

// loadBodies reads the body of a version and that of the version before.
func (s *Store) loadBodies(ctx context.Context, record versionRecord) (cluster.Version, error) {
	v := record.clusterVersion()
	body, err := s.loadBody(ctx, record)
	if err != nil {
		return cluster.Version{}, err
	}
	v.Body = body
	if record.PreviousHash == "" {
		return v, nil
	}
	v.PreviousBody, err = s.objects.Get(ctx, record.PreviousHash)
	if err != nil {
		return cluster.Version{}, err
	}
	return v, nil
}

// loadBody returns the description of a version; the zero record has the empty one.
func (s *Store) loadBody(ctx context.Context, record versionRecord) ([]byte, error) {
	if record.Number == 0 {
		return emptyBody, nil
	}
	return s.objects.Get(ctx, record.Hash)
}

func decodeVersion(row table.Row) (versionRecord, error) {
	var record versionRecord
	if err := json.Unmarshal(row.Value, &record); err != nil {
		return versionRecord{}, result.New(result.StoreProtocol, "row %q: %v", row.Key, err)
	}
	if !record.valid() {
		return versionRecord{}, result.New(result.StoreProtocol, "row %q is not a version record", row.Key)
	}
	return record, nil
}

// valid tells whether the record has its hashes; only version 1 has no previous
// one.
func (r versionRecord) valid() bool {
	if r.Number == 0 || !table.ValidHash(r.Hash) {
		return false
	}
	if r.Number == 1 {
		return r.PreviousHash == ""
	}
	return table.ValidHash(r.PreviousHash)
}

func decodePatch(row table.Row) (patchRecord, error) {
	var record patchRecord
	if err := json.Unmarshal(row.Value, &record); err != nil || record.Number == 0 || !table.ValidHash(record.Digest) {
		return patchRecord{}, result.New(result.StoreProtocol, "row %q is not a patch record", row.Key)
	}
	return record, nil
}
