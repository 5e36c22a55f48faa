// Package configstore accepts patches to the description and keeps the version
// history in the platform's table and object store.
//
// The row config/head holds the current version. The patched description is
// stored as an object, named by its hash, before the patch is committed. A patch
// is committed by one transaction that writes the head row, the version row and
// the patch row. The transaction is conditional on the revision of the head row
// being unchanged since it was read and on the patch id having no row. Of two
// concurrent patches to the same version, one is accepted and the other is
// rejected with a version conflict. The patch row makes submissions idempotent:
// submitting a patch again returns the version that the first submission created.
package configstore

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"
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
	// MaxHistoryPage is the maximum number of versions that History returns.
	MaxHistoryPage = 200
)

// emptyBody is the description of version 0, the base of the first patch.
var emptyBody = []byte("{}")

// Store accepts patches to the description and reads its versions.
type Store struct {
	table   table.Table
	objects table.ObjectStore
	now     func() time.Time
	sleep   func(ctx context.Context, d time.Duration) error
	recent  recentVersions
	// onRestore reports attempts to write back versions.
	onRestore atomic.Pointer[func(written []uint64, err error)]
}

// New returns a store. now is the clock for the acceptance time of versions.
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
	// Digest is that of the patch row. Rows of older releases lack it.
	Digest string `json:"digest,omitempty"`
}

// recordOf returns the record of a version.
func recordOf(v cluster.Version) versionRecord {
	return versionRecord{
		Number:         v.Number,
		Hash:           v.Hash,
		PreviousHash:   v.PreviousHash,
		AcceptedUnixMS: v.AcceptedUnixMS,
		PatchID:        v.PatchID,
		Operator:       v.Operator,
		Digest:         v.Digest,
	}
}

func (r versionRecord) clusterVersion() cluster.Version {
	return cluster.Version{
		PreviousHash:   r.PreviousHash,
		Digest:         r.Digest,
		Number:         r.Number,
		Hash:           r.Hash,
		AcceptedUnixMS: r.AcceptedUnixMS,
		PatchID:        r.PatchID,
		Operator:       r.Operator,
	}
}

// patchRecord is the value of a patch row.
type patchRecord struct {
	Version uint64 `json:"version"`
	// Digest is the digest of the proposal. A proposal with the same patch id and
	// another digest is rejected.
	Digest string `json:"digest"`
	// AcceptedUnixMS and Operator are those of the submission that was committed. A
	// submission of the same patch with another time or operator was not the one
	// committed; it is reported as a replay.
	AcceptedUnixMS int64  `json:"accepted_unix_ms"`
	Operator       string `json:"operator"`
}

// head is the current version record and the revision of the head row. It is
// zero while the store has no version.
type head struct {
	versionRecord
	revision uint64
}

// versionKey pads the number with zeros so that keys sort by version.
func versionKey(number uint64) string { return fmt.Sprintf("%s%020d", versionPrefix, number) }

func patchKey(id string) string { return patchPrefix + id }

// Head returns the current version without Body and PreviousBody. It needs a single
// read.
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

// Current returns the current version with Body and PreviousBody.
func (s *Store) Current(ctx context.Context) (cluster.Version, error) {
	h, err := s.readHead(ctx)
	if err != nil {
		return cluster.Version{}, err
	}
	return s.loadBodies(ctx, h.versionRecord)
}

// Load returns a version with its body and the body of the previous version.
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
		return cluster.Version{}, result.New(result.StoreProtocol, "the row of version %d contains version %d", number, record.Number)
	}
	return s.loadBodies(ctx, record)
}

// History returns up to limit versions with numbers below before, newest first
// and without bodies. If before is 0, it starts at the current version. limit is
// clamped to the range 1 to MaxHistoryPage.
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

// decodeHistory decodes the rows of the versions below before and returns them
// newest first. It returns an error if a version is missing.
func decodeHistory(rows []table.Row, before uint64) ([]cluster.Version, error) {
	versions := make([]cluster.Version, 0, len(rows))
	for i := len(rows) - 1; i >= 0; i-- {
		record, err := decodeVersion(rows[i])
		if err != nil {
			return nil, err
		}
		if record.Number != before-1-uint64(len(versions)) {
			return nil, result.New(result.StoreProtocol, "history below version %d has a gap", before)
		}
		versions = append(versions, record.clusterVersion())
	}
	return versions, nil
}

// loadBodies returns the version of record with its body and the body of the
// previous version.
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

// loadBody returns the description of a version; version 0 has an empty one.
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

// valid reports whether the version number is not 0 and the hashes are well
// formed. Version 1 has no previous hash; every other version has one.
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
	if err := json.Unmarshal(row.Value, &record); err != nil || record.Version == 0 || !table.ValidHash(record.Digest) {
		return patchRecord{}, result.New(result.StoreProtocol, "row %q is not a patch record", row.Key)
	}
	return record, nil
}
