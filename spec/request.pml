/*
 * A request that is not idempotent: caller -> any entry -> the entry that
 * issued the identifier -> the pool owner -> upstream. Messages and answers are
 * lost, the caller resends through another entry, the issuing entry restarts,
 * and two owners may exist during a membership change.
 *
 * Mutations (each must be refuted):
 *   RETRY_UNKNOWN  the issuer repeats a forward that got no answer
 *   NO_TABLE       the issuer keeps no record of identifiers
 *   NEW_ISSUER     an entry accepts an identifier of an earlier incarnation
 *   CLAIM_NOT_RUN  a lost answer is reported as not run
 *   REOPEN         an identifier may run after it was answered as not run
 */
mtype = { complete, not_run, unknown };
mtype = { fresh, in_flight, done };

byte executions;
byte incarnation = 1;          /* of the issuing entry */
byte issued_by = 1;            /* incarnation named in the identifier */
mtype record = fresh;          /* requestid table entry of the issuer */
mtype recorded;
byte losses = 3;
byte restarts = 1;
bool claimed_not_run;

/* The upstream either sheds the request or executes it. */
inline upstream(result)
{
	if
	:: result = not_run
	:: executions++; assert(executions <= 1); assert(!claimed_not_run); result = complete
	fi
}

/* admission.Set.Do at one of the owners, reached over one hop. */
inline forward(result)
{
	if
	:: result = not_run                       /* refused before sending */
	:: losses > 0 -> losses--; result = unknown /* the message was lost */
	:: upstream(result);
		if
		:: losses > 0 -> losses--; result = unknown /* the answer was lost */
		:: skip
		fi
	fi
}

/* entry: Submit at the issuing instance; requestid.Table decides. */
inline submit(result)
{
	/* One step: a restart ends the handlers of the incarnation before. */
	d_step {
		my_incarnation = incarnation;
		accepted = false;
		if
#ifdef NEW_ISSUER
		:: true ->
#else
		:: issued_by == incarnation ->
#endif
			accepted = true;
			state = record;
#ifndef NO_TABLE
			if
			:: state == fresh -> record = in_flight
			:: else -> skip
			fi
#endif
		:: else -> skip
		fi
	}
	if
	:: accepted ->
		if
		:: state == fresh ->
			forward(result);
#ifdef RETRY_UNKNOWN
			if
			:: result == unknown -> forward(result)
			:: else -> skip
			fi;
#endif
			/* A restarted issuer has lost its table and answers nobody. */
			d_step {
				if
#ifdef REOPEN
				:: incarnation == my_incarnation && result == not_run -> record = fresh
#endif
				:: incarnation == my_incarnation -> record = done; recorded = result
				:: else -> result = unknown
				fi
			}
		:: state == in_flight -> result = unknown
		:: state == done -> result = recorded
		fi
	:: else -> result = unknown               /* RequestIDOwnerGone */
	fi
}

proctype caller(byte id)
{
	mtype result, state;
	byte my_incarnation;
	bool accepted;
	submit(result);
	if
	:: losses > 0 && result == complete -> losses--; result = unknown /* the caller's connection broke */
	:: else -> skip
	fi;
#ifdef CLAIM_NOT_RUN
	if
	:: result == unknown -> result = not_run
	:: else -> skip
	fi;
#endif
	if
	:: result == not_run -> claimed_not_run = true; assert(executions == 0)
	:: else -> skip
	fi
}

proctype failures()
{
	do
	:: d_step { restarts > 0 -> restarts--; incarnation++; record = fresh }
	:: break
	od
}

init
{
	atomic { run caller(0); run caller(1); run failures() }
}
