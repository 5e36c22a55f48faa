package configstore

import (
	"context"
	"encoding/json"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/result"
	"github.com/sequoiacove/sequoiacove/pkg/table"
)

const (
	// maxCommitAttempts is the maximum number of times that a transaction is sent
	// while its outcome is unknown.
	maxCommitAttempts = 3
	// commitRetryDelay gives a transaction that is still in flight time to take
	// effect before its patch row is read.
	commitRetryDelay = 100 * time.Millisecond
)

// transaction returns the transaction that commits the candidate. It writes the
// head, version and patch rows if the head is unchanged and the patch id and the version are
// unused, and nothing otherwise.
func (c candidate) transaction() (table.Transaction, error) {
	record, err := json.Marshal(c.record)
	if err != nil {
		return table.Transaction{}, err
	}
	patch, err := json.Marshal(c.patchRecord())
	if err != nil {
		return table.Transaction{}, err
	}
	tx := table.Transaction{
		Conditions: []table.Condition{
			{Key: headKey, Revision: c.base.revision},
			{Key: patchKey(c.proposal.PatchID), Revision: 0},
			// The head row may have the same revision again with other content after the store
			// has come back from an older copy. Then these rows exist, or the row of the patch
			// that created the base, below, does not.
			{Key: versionKey(c.record.Number), Revision: 0},
			{Key: versionKey(c.record.Number + 1), Revision: 0},
		},
		Writes: []table.Write{
			{Key: headKey, Value: record},
			{Key: versionKey(c.record.Number), Value: record},
			{Key: patchKey(c.proposal.PatchID), Value: patch},
		},
	}
	if c.base.Number > 0 {
		tx.Conditions = append(tx.Conditions, table.Condition{Key: c.basePatch.Key, Revision: c.basePatch.Revision})
	}
	return tx, nil
}

// acceptResult returns the result for a committed candidate.
func (c candidate) acceptResult() AcceptResult {
	v := c.record.clusterVersion()
	v.Body = c.body
	if c.base.Number > 0 {
		v.PreviousBody = c.baseBody
	}
	return AcceptResult{Version: v}
}

// commit sends the transaction. While the outcome is unknown, it reads the patch
// row and, unless that row exists, sends the same transaction again. Because of
// its conditions, the transaction takes effect at most once, no matter how often
// it is sent. Once the store rejects one copy, no copy that is still in flight can
// take effect either.
func (s *Store) commit(ctx context.Context, c candidate) (AcceptResult, error) {
	tx, err := c.transaction()
	if err != nil {
		return AcceptResult{}, result.New(result.Internal, "cannot encode the transaction: %v", err)
	}
	mayHaveTakenEffect := false
	for attempt := 1; ; attempt++ {
		_, err = s.table.Transact(ctx, tx)
		switch code := result.CodeOf(err); {
		case err == nil:
			return c.acceptResult(), nil
		case code == result.StoreConflict:
			return s.resolveStoreConflict(ctx, c)
		case result.OutcomeOf(err) == result.NotRun && !mayHaveTakenEffect:
			return AcceptResult{}, err
		}
		mayHaveTakenEffect = true
		if attempt == maxCommitAttempts || s.sleep(ctx, commitRetryDelay) != nil {
			return AcceptResult{}, result.New(result.PatchOutcomeUnknown, "the store did not confirm the transaction: %v", err)
		}
		if committed, found, err := s.findCommitted(ctx, c); found {
			return committed, err
		}
	}
}

// findCommitted returns the result if the patch row shows that this transaction
// or another submission of the same patch was committed.
func (s *Store) findCommitted(ctx context.Context, c candidate) (AcceptResult, bool, error) {
	record, found, err := s.findPatchRecord(ctx, c.proposal)
	if err == nil && found && record == c.patchRecord() {
		return c.acceptResult(), true, nil
	}
	if err != nil || !found {
		return AcceptResult{}, found, err
	}
	return s.findReplay(ctx, c.proposal)
}

// resolveStoreConflict handles a transaction that the store rejected because a
// condition did not hold. An earlier attempt may have been committed, so it
// reads the patch row before it returns a VersionConflict error.
func (s *Store) resolveStoreConflict(ctx context.Context, c candidate) (AcceptResult, error) {
	committed, found, err := s.findCommitted(ctx, c)
	if found {
		return committed, err
	}
	if err != nil {
		return AcceptResult{}, result.New(result.PatchOutcomeUnknown, "transaction rejected, and reading the patch record failed: %v", err)
	}
	// The current version only adds detail to the error; if it cannot be read,
	// the result is still a version conflict.
	current, err := s.Head(ctx)
	if err != nil {
		current = cluster.Version{}
	}
	return AcceptResult{Version: current},
		conflictError(c.base.Number, current.Number)
}
