package configstore

import (
	"context"
	"encoding/json"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/result"
	"github.com/sequoiacove/sequoiacove/pkg/table"
)

// The platform's store may come back from an older copy of itself (package revision). Its head
// is then older than the versions in force. The instances that remember the lost versions
// write them back before a patch is accepted on the older head, which would give out a number
// twice.

// maxRestoreAttempts is the maximum number of times that Restore tries to write. Its
// transaction takes effect at most once, because it requires that the head is unchanged and
// that the versions have no rows.
const maxRestoreAttempts = 4

// maxRestoredVersions is the maximum number of versions that one transaction writes back. Each
// needs two rows, with a condition and a write for each, and the store takes 100 entries.
const maxRestoredVersions = 20

// OnRestore sets the function that is called for each attempt to write back versions, with the
// numbers of those that were written, or with the error.
func (s *Store) OnRestore(report func(written []uint64, err error)) { s.onRestore.Store(&report) }

// Restore writes back the remembered versions that the store has lost: their bodies, version
// rows and patch rows and the head. It returns the numbers of the versions that it wrote, and
// none if the head of the store is not older than the newest remembered version. Versions that
// nobody remembers leave a gap in the history. It also stores the bodies of the last submitted
// patches again.
func (s *Store) Restore(ctx context.Context) (written []uint64, err error) {
	for attempt := 1; ; attempt++ {
		numbers, err := s.tryRestore(ctx)
		if report := s.onRestore.Load(); report != nil && (err != nil || len(numbers) > 0) {
			(*report)(numbers, err)
		}
		written = append(written, numbers...)
		if len(numbers) == maxRestoredVersions {
			attempt = 0
			continue
		}
		if err == nil || attempt == maxRestoreAttempts || result.CodeOf(err) == result.HistoryDiverged || s.sleep(ctx, commitRetryDelay) != nil {
			return written, err
		}
	}
}

func (s *Store) tryRestore(ctx context.Context) ([]uint64, error) {
	if err := s.storeSubmitted(ctx); err != nil {
		return nil, err
	}
	h, err := s.readHead(ctx)
	if err != nil {
		return nil, err
	}
	if s.recent.differsFrom(h) {
		return nil, result.New(result.HistoryDiverged, "version %d in the store is another one than that in force", h.Number)
	}
	lost := s.recent.after(h.Number)
	if len(lost) == 0 {
		return nil, nil
	}
	lost = lost[:min(len(lost), maxRestoredVersions)]
	if first := lost[0]; h.Number > 0 && first.Number == h.Number+1 && first.PreviousHash != h.Hash {
		return nil, result.New(result.HistoryDiverged, "version %d in the store is not the one that version %d is based on", h.Number, first.Number)
	}
	if err := s.storeBodies(ctx, lost); err != nil {
		return nil, err
	}
	tx, err := restoration(h, lost)
	if err != nil {
		return nil, err
	}
	if _, err = s.table.Transact(ctx, tx); err != nil {
		return nil, err
	}
	numbers := make([]uint64, 0, len(lost))
	for _, v := range lost {
		numbers = append(numbers, v.Number)
	}
	return numbers, nil
}

// storeSubmitted stores the bodies of submitted patches again, whose transactions may take
// effect although the store has lost the bodies.
func (s *Store) storeSubmitted(ctx context.Context) error {
	for _, b := range s.recent.submittedBodies() {
		if err := s.objects.Put(ctx, b.hash, b.body); err != nil {
			return err
		}
	}
	return nil
}

// storeBodies stores the known bodies of the versions and of the one before the first.
func (s *Store) storeBodies(ctx context.Context, versions []cluster.Version) error {
	for _, v := range versions {
		if len(v.Body) > 0 {
			if err := s.objects.Put(ctx, v.Hash, v.Body); err != nil {
				return err
			}
		}
		if len(v.PreviousBody) > 0 {
			if err := s.objects.Put(ctx, v.PreviousHash, v.PreviousBody); err != nil {
				return err
			}
		}
	}
	return nil
}

// restoration returns the transaction that writes versions, of which the last one becomes the
// head. A version whose digest is not known gets no patch row.
func restoration(h head, versions []cluster.Version) (table.Transaction, error) {
	tx := table.Transaction{Conditions: []table.Condition{{Key: headKey, Revision: h.revision}}}
	var record []byte
	for _, v := range versions {
		var err error
		if record, err = json.Marshal(recordOf(v)); err != nil {
			return tx, err
		}
		addRow(&tx, versionKey(v.Number), record)
		if v.Digest == "" {
			continue
		}
		patch, err := json.Marshal(patchRecord{Version: v.Number, Digest: v.Digest, AcceptedUnixMS: v.AcceptedUnixMS, Operator: v.Operator})
		if err != nil {
			return tx, err
		}
		addRow(&tx, patchKey(v.PatchID), patch)
	}
	tx.Writes = append(tx.Writes, table.Write{Key: headKey, Value: record})
	return tx, nil
}

// addRow adds the write of a row that must not exist yet.
func addRow(tx *table.Transaction, key string, value []byte) {
	tx.Conditions = append(tx.Conditions, table.Condition{Key: key})
	tx.Writes = append(tx.Writes, table.Write{Key: key, Value: value})
}

// currentHead returns the head of the store. If this instance remembers a newer version, the
// store has lost it, and it is written back first. If the store has another version in its
// place, the patch was made for a description that the store does not have: HistoryDiverged is
// returned once, and what this instance remembers gives way to what the store has.
func (s *Store) currentHead(ctx context.Context) (head, error) {
	h, err := s.readHead(ctx)
	if err != nil || h.Number >= s.recent.newest() && !s.recent.differsFrom(h) {
		return h, err
	}
	_, err = s.Restore(ctx)
	if result.CodeOf(err) == result.HistoryDiverged {
		s.recent.forgetAfter(h)
		return head{}, err
	}
	if err != nil {
		return head{}, result.New(result.StoreUnavailable, "the store has lost versions of the description, and writing them back failed: %s", result.Detail(err))
	}
	return s.readHead(ctx)
}
