/*
 * What an instance knows of one row of the store, which is written, removed
 * and written again. It lists the table, watches for changes, and takes
 * changes from a peer that may know less or more. Answers are delivered late
 * and in any order. Revisions rise with each write.
 *
 * Mutations (each must be refuted):
 *   ANY_REVISION  a late answer is applied although more is known
 *   ACCEPT_GAP    changes are applied that start after what is known
 *   NO_REMOVALS   a peer passes on rows but not removals
 */
#define WRITES 4

#ifdef ANY_REVISION
#define NEWER true
#else
#define NEWER (answer_to >= own)
#endif
#ifdef ACCEPT_GAP
#define CONNECTED true
#else
#define CONNECTED (answer_since <= own)
#endif
#ifdef NO_REMOVALS
#define PASSED answer_present
#else
#define PASSED true
#endif

byte revision;            /* of the store */
bool present[8];          /* state of the row after each revision */
byte changed[8];          /* revision of the row's last change by then */

byte own;                 /* revision that the instance knows */
bool own_present;
byte peer;                /* revision that the peer knows */
bool peer_present;

/* One answer under way, from the store or the peer. */
bool pending;
bool answer_full;
byte answer_since, answer_to;
bool answer_present;
byte answer_change;       /* revision of the row's last change */
bool answer_touches;      /* the answer holds the row or its removal */

proctype writer()
{
	do
	:: revision == WRITES -> break
	:: atomic { revision < WRITES ->
		revision++;
		if
		:: present[revision] = true; changed[revision] = revision
		:: present[revision] = false; changed[revision] = revision
		:: present[revision] = present[revision - 1]; changed[revision] = changed[revision - 1]
		fi }
	od
}

/* The peer follows the store at its own pace. */
proctype other()
{
	do
	:: atomic { peer < revision -> peer++; peer_present = present[peer] }
	:: revision == WRITES && peer == WRITES -> break
	od
}

inline apply()
{
	if
	:: answer_full && answer_to > own ->
		own_present = answer_present;
		own = answer_to
	:: !answer_full && NEWER && CONNECTED ->
		if
		:: answer_touches && answer_change > own -> own_present = answer_present
		:: else -> skip
		fi;
		own = answer_to
	:: else -> skip
	fi
}

proctype instance()
{
	byte before;
	do
	/* Ask for the whole table, of the store or of the peer. */
	:: atomic { !pending -> pending = true; answer_full = true; answer_to = revision; answer_present = present[revision] }
	:: atomic { !pending && peer > 0 -> pending = true; answer_full = true; answer_to = peer; answer_present = peer_present }
	/* Ask for the changes since a revision; a watch under way may have been
	 * asked before the instance learned more or, after a restart, less. */
	:: atomic { !pending ->
		pending = true; answer_full = false;
		if
		:: answer_since = own
		:: answer_since = 0
		:: answer_since = peer
		fi;
		if
		:: answer_since <= revision -> answer_to = revision; answer_present = present[revision]
		:: else -> answer_to = answer_since; answer_present = present[answer_since]
		fi;
		answer_change = changed[answer_to];
		answer_touches = answer_change > answer_since && PASSED }
	/* What is known may rise while an answer is under way. */
	:: atomic { pending && peer > own -> own = peer; own_present = peer_present }
	:: atomic { pending -> before = own; apply(); pending = false;
		assert(own >= before);
		assert(own_present == present[own]) }
	:: atomic { !pending && own == WRITES -> break }
	od
}

init
{
	atomic { run writer(); run other(); run instance() }
}
