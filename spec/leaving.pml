/*
 * An upstream that leaves: the platform's list shows it late, the pool owner
 * polls the upstream's status once a tick and reads the leaving header of
 * answers. Ticks stand for seconds.
 *
 * Mutations (each must be refuted):
 *   LIST_ONLY    the owner learns of leaving from the list alone
 *   PASS_IN_FLIGHT  a stop does not wait for requests in flight
 */
#define LIST_LAG 5
#define BOUND 3
#define END 8

byte now;
bool leaving;
byte left_at;
bool known;          /* the owner knows that the upstream is leaving */
byte in_flight;
bool stopped;
bool poll_failed;

proctype owner()
{
	do
	:: now >= END -> break
	/* admission: a new request binds to the upstream unless it is leaving. */
	:: atomic { !known && !stopped && in_flight < 2 && now < END ->
		assert(!leaving || now - left_at <= BOUND);
		in_flight++ }
	/* An answer carries the leaving header. */
	:: atomic { in_flight > 0 -> in_flight--;
#ifndef LIST_ONLY
		if
		:: leaving -> known = true
		:: else -> skip
		fi
#endif
		}
	od
}

proctype upstream()
{
	atomic { !leaving -> leaving = true; left_at = now }
#ifndef PASS_IN_FLIGHT
end_wait:
	atomic { known && in_flight == 0 -> stopped = true }
#else
end_wait:
	atomic { known -> stopped = true }
#endif
	assert(in_flight == 0)
}

/* A tick passes only when the status poll of this second has been handled; one
 * poll may fail. */
proctype clock()
{
	do
	:: now >= END -> break
	:: atomic { now < END ->
		now++;
#ifndef LIST_ONLY
		if
		:: !poll_failed -> poll_failed = true
		:: leaving -> known = true
		:: !leaving -> skip
		fi;
#endif
		if
		:: leaving && now - left_at >= LIST_LAG -> known = true
		:: else -> skip
		fi }
	od
}

init { atomic { run owner(); run upstream(); run clock() } }
