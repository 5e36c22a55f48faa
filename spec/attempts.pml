/*
 * One request at an instance of the platform, which may try two upstreams.
 * An upstream may run it and answer, run it and lose the answer, refuse it,
 * or be unreachable; a late second answer to an earlier request may arrive
 * on a kept connection first.
 *
 * Mutations (each must be refuted):
 *   RETRY_UNKNOWN  a request that must not be repeated is sent again after a
 *                  lost answer
 *   LAST_DECIDES   the last attempt alone decides whether the request ran
 *   TRUST_FOREIGN  an answer is taken without comparing its identifier
 */
#define ATTEMPTS 2

mtype = { none, answered, not_run, unknown };

bool idempotent;
byte runs;

/* Outcome of one attempt, as the instance sees it. */
inline attempt(outcome)
{
	bool foreign = false;
	/* A refusal of another request may wait on a kept connection. */
	if
	:: foreign = true
	:: skip
	fi;
	if
	:: runs++; outcome = answered
	:: runs++; outcome = unknown
	:: outcome = not_run
	fi;
#ifdef TRUST_FOREIGN
	if
	:: foreign -> outcome = not_run
	:: else -> skip
	fi;
#endif
	foreign = false
}

active proctype instance()
{
	byte tries = 0;
	bool may_have_run = false;
	mtype last = none;
	mtype reply = none;
	if
	:: idempotent = true
	:: idempotent = false
	fi;
	do
	:: reply != none -> break
	:: reply == none && tries < ATTEMPTS ->
		attempt(last);
		tries++;
		if
		:: last != not_run -> may_have_run = true
		:: else -> skip
		fi;
		if
		:: last == answered -> reply = answered
#ifdef RETRY_UNKNOWN
		:: last == unknown -> skip
#else
		:: last == unknown && idempotent -> skip
		:: last == unknown && !idempotent -> reply = unknown
#endif
		:: last == not_run -> skip
		fi
	:: reply == none && tries == ATTEMPTS ->
		if
#ifdef LAST_DECIDES
		:: last == not_run -> reply = not_run
		:: last != not_run -> reply = unknown
#else
		:: !may_have_run -> reply = not_run
		:: may_have_run -> reply = unknown
#endif
		fi
	od;
	/* At most once. */
	assert(idempotent || runs <= 1);
	/* "Not run" is true. */
	assert(reply != not_run || runs == 0);
	/* An answer is of this request. */
	assert(reply != answered || runs > 0)
}
