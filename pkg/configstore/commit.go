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
	// maxCommitAttempts bounds how often one transaction is sent while its answer is lost.
	maxCommitAttempts = 3
	// commitRetryDelay lets a transaction that is still in flight take effect
	// before its patch row is read.
	commitRetryDelay = 100 * time.Millisecond
)

// transaction writes the three rows of a version or none of them.
func (c candidate) transaction() (table.Transaction, error) {
	record, err := json.Marshal(c.record)
	if err != nil {
		return table.Transaction{}, err
	}
	patch, err := json.Marshal(c.patchRecord())
	if err != nil {
		return table.Transaction{}, err
	}
	return table.Transaction{
		Conditions: []table.Condition{
			{Key: headKey, Revision: c.base.revision},
			{Key: patchKey(c.proposal.PatchID), Revision: 0},
		},
		Writes: []table.Write{
			{Key: headKey, Value: record},
			{Key: versionKey(c.record.Number), Value: record},
			{Key: patchKey(c.proposal.PatchID), Value: patch},
		},
	}, nil
}

// acceptResult returns the version that the draft becomes.
func (c candidate) acceptResult() AcceptResult {
	v := c.record.clusterVersion()
	v.Body = c.body
	if c.base.Number > 0 {
		v.PreviousBody = c.before
	}
	return AcceptResult{Version: v}
}

// commit sends the transaction. After a lost answer it reads the patch row and
// sends the same transaction again: its conditions let it take effect at most
// once, and a refusal proves that no copy can take effect any more.
func (s *Store) commit(ctx context.Context, c candidate) (AcceptResult, error) {
	tx, err := c.transaction()
	if err != nil {
		return AcceptResult{}, result.New(result.Internal, "encoding the transaction: %v", err)
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

// findCommitted returns the outcome if the patch row shows that the transaction, or
// another submission of the same patch, took effect.
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

// resolveStoreConflict handles a transaction whose condition did not hold.
func (s *Store) resolveStoreConflict(ctx context.Context, c candidate) (AcceptResult, error) {
	committed, found, err := s.findCommitted(ctx, c)
	if found {
		return committed, err
	}
	if err != nil {
		return AcceptResult{}, result.New(result.PatchOutcomeUnknown, "refused, and the patch id could not be read: %v", err)
	}
	// The current version is additional information; without it the refusal
	// stands all the same.
	current, err := s.Head(ctx)
	if err != nil {
		current = cluster.Version{}
	}
	return AcceptResult{Version: current},
		conflictError(c.base.Number, current.Number)
}
