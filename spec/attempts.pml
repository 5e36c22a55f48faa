/*
 * One request at an instance, which sends it to at most two upstreams, one after
 * the other. An upstream may execute the request and respond, execute it although its
 * response is lost, refuse it, or be unreachable. On a reused connection, a late
 * duplicate of the response to an earlier request may arrive first.
 *
 * Mutations (each must be refuted):
 *   RETRY_UNKNOWN  a non-idempotent request whose outcome is unknown (the response
 *                  was lost) is sent again, although it may have been executed
 *   LAST_DECIDES   the request is reported as not executed if its last attempt was
 *                  refused, even if an earlier attempt may have executed it
 *   TRUST_FOREIGN  a late duplicate response to an earlier request is accepted as the
 *                  response to this request, because its request identifier is not
 *                  checked; the model covers a duplicate refusal
 */
#define MAX_ATTEMPTS 2

mtype = { none, answered, not_run, unknown };

bool idempotent;
byte executions;

/* One attempt; outcome is what the instance observes. */
inline send_attempt(outcome)
{
	bool stale_response = false;
	/*
	 * On a reused connection, a late duplicate of the response to an earlier request
	 * may arrive first. TRUST_FOREIGN below models the duplicate of a refusal.
	 */
	if
	:: stale_response = true
	:: skip
	fi;
	if
	:: executions++; outcome = answered
	:: executions++; outcome = unknown
	:: outcome = not_run
	fi;
#ifdef TRUST_FOREIGN
	if
	:: stale_response -> outcome = not_run
	:: else -> skip
	fi;
#endif
	stale_response = false
}

active proctype instance()
{
	byte attempts = 0;
	bool may_have_run = false;
	mtype last_outcome = none;
	mtype result = none;
	if
	:: idempotent = true
	:: idempotent = false
	fi;
	do
	:: result != none -> break
	:: result == none && attempts < MAX_ATTEMPTS ->
		send_attempt(last_outcome);
		attempts++;
		if
		:: last_outcome != not_run -> may_have_run = true
		:: else -> skip
		fi;
		if
		:: last_outcome == answered -> result = answered
#ifdef RETRY_UNKNOWN
		:: last_outcome == unknown -> skip
#else
		:: last_outcome == unknown && idempotent -> skip
		:: last_outcome == unknown && !idempotent -> result = unknown
#endif
		:: last_outcome == not_run -> skip
		fi
	:: result == none && attempts == MAX_ATTEMPTS ->
		if
#ifdef LAST_DECIDES
		:: last_outcome == not_run -> result = not_run
		:: last_outcome != not_run -> result = unknown
#else
		:: !may_have_run -> result = not_run
		:: may_have_run -> result = unknown
#endif
		fi
	od;
	/* A non-idempotent request is executed at most once. */
	assert(idempotent || executions <= 1);
	/* The result not_run is reported only if no upstream executed the request. */
	assert(result != not_run || executions == 0);
	/* A response is reported only if an upstream executed this request. */
	assert(result != answered || executions > 0)
}
