/*
 * Replication of one table row from the store to an instance, while the row is
 * written, removed and written again. The instance lists the table, watches it
 * for changes, and takes snapshots and changes from a peer whose revision may be
 * older or newer than its own. Responses may be delayed and overtaken. Each write
 * increments the revision.
 *
 * Mutations (each must be refuted):
 *   ANY_REVISION  a late response older than the local revision is applied
 *   ACCEPT_GAP    changes that start after the local revision are applied
 *   NO_REMOVALS   a peer forwards rows but not removals
 *   STALE_RECORD  a peer that has listed the table again serves changes since a revision
 *                 before that, although it lacks the removals of rows that it never had
 */
#define WRITES 4

/* NOT_OLDER: the response is not older than the local revision.
 * NO_GAP: no change is missing between the local revision and the response.
 * FORWARDED: the sender includes the row, or its removal, in the response. */
#ifdef ANY_REVISION
#define NOT_OLDER true
#else
#define NOT_OLDER (response_to >= local_revision)
#endif
#ifdef ACCEPT_GAP
#define NO_GAP true
#else
#define NO_GAP (response_since <= local_revision)
#endif
#ifdef NO_REMOVALS
#define FORWARDED response_present
#else
#define FORWARDED true
#endif

byte revision;        /* current revision of the store */
bool present[8];      /* whether the row exists at each revision */
byte last_change[8];  /* revision of the row's last change as of each revision */

byte local_revision;  /* revision of the instance's copy */
bool local_present;
byte peer_revision;   /* revision of the peer's copy */
bool peer_present;
byte peer_removal;    /* revision of the row's last removal that the peer has recorded */
byte removals_after;  /* revision after which the peer has recorded all removals */

/* The response in flight, from the store or the peer. */
bool response_pending;
bool response_full;
byte response_since, response_to;
bool response_present;
byte response_last_change;  /* revision of the row's last change */
bool response_has_row;      /* the response contains the row or its removal */

proctype writer()
{
	do
	:: revision == WRITES -> break
	:: atomic { revision < WRITES ->
		revision++;
		if
		:: present[revision] = true; last_change[revision] = revision
		:: present[revision] = false; last_change[revision] = revision
		:: present[revision] = present[revision - 1]; last_change[revision] = last_change[revision - 1]
		fi }
	od
}

/* The peer replicates the store, with an arbitrary lag, by its changes or by listing the
 * table again, which skips revisions. */
proctype peer_sync()
{
	do
	:: atomic { peer_revision < revision -> peer_revision++; peer_present = present[peer_revision];
		if
		:: last_change[peer_revision] == peer_revision && !peer_present -> peer_removal = peer_revision
		:: else -> skip
		fi }
	:: atomic { peer_revision < revision -> peer_revision = revision;
		if
		:: peer_present && !present[peer_revision] -> peer_removal = peer_revision
		:: else -> skip
		fi;
		peer_present = present[peer_revision];
#ifndef STALE_RECORD
		removals_after = peer_revision
#endif
		}
	:: revision == WRITES && peer_revision == WRITES -> break
	od
}

inline apply_response()
{
	if
	:: response_full && response_to > local_revision ->
		local_present = response_present;
		local_revision = response_to
	:: !response_full && NOT_OLDER && NO_GAP ->
		if
		:: response_has_row && response_last_change > local_revision -> local_present = response_present
		:: else -> skip
		fi;
		local_revision = response_to
	:: else -> skip
	fi
}

proctype instance()
{
	byte previous_revision;
	do
	/* Request a full snapshot of the table from the store or the peer. */
	:: atomic { !response_pending -> response_pending = true; response_full = true; response_to = revision; response_present = present[revision] }
	:: atomic { !response_pending && peer_revision > 0 -> response_pending = true; response_full = true; response_to = peer_revision; response_present = peer_present }
	/* Request the changes since a revision. The revision may be older than the local
	 * one, because the watch started earlier, or newer after a restart. */
	:: atomic { !response_pending ->
		response_pending = true; response_full = false;
		if
		:: response_since = local_revision
		:: response_since = 0
		:: response_since = peer_revision
		fi;
		if
		:: response_since <= revision -> response_to = revision; response_present = present[revision]
		:: else -> response_to = response_since; response_present = present[response_since]
		fi;
		response_last_change = last_change[response_to];
		response_has_row = response_last_change > response_since && FORWARDED }
	/* Request the peer's changes. */
	:: atomic { !response_pending && local_revision >= removals_after && local_revision <= peer_revision ->
		response_pending = true; response_full = false; response_since = local_revision;
		response_to = peer_revision; response_present = peer_present;
		response_last_change = (peer_present -> last_change[peer_revision] : peer_removal);
		response_has_row = response_last_change > response_since && FORWARDED }
	/* While a response is in flight, the instance may copy the peer's revision. */
	:: atomic { response_pending && peer_revision > local_revision -> local_revision = peer_revision; local_present = peer_present }
	:: atomic { response_pending -> previous_revision = local_revision; apply_response(); response_pending = false;
		assert(local_revision >= previous_revision);
		assert(local_present == present[local_revision]) }
	:: atomic { !response_pending && local_revision == WRITES -> break }
	od
}

init
{
	atomic { run writer(); run peer_sync(); run instance() }
}
