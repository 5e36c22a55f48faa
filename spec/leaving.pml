/*
 * Graceful shutdown of an upstream. Two instances of a region watch the upstream's
 * row in the store and announce the shutdown. The third instance learns of it from
 * an announcement, or from a heartbeat, which repeats the announcement. One watch may
 * deliver nothing, and one announcement may be lost. A tick is half a second.
 * Heartbeats are sent every second tick.
 *
 * Mutations (each must be refuted):
 *   ONE_WATCH       only one instance watches the row
 *   NO_REPEAT       a change is announced once and not repeated in heartbeats
 *   PASS_IN_FLIGHT  the upstream stops without waiting for requests in flight
 */
#define INSTANCES 3
#define WATCHERS 2
#define BOUND 4  /* maximum ticks from the start of the shutdown to the last new request */
#define END 10   /* tick at which the model ends */

byte tick;
bool leaving;                     /* the upstream has begun to shut down */
byte leaving_since;               /* tick at which it began */
bool knows_leaving[INSTANCES];    /* the instance knows that the upstream is leaving */
bool announced[WATCHERS];         /* the watcher has announced the shutdown */
byte silent_watcher = INSTANCES;  /* the watcher whose watch delivers nothing, INSTANCES if none */
bool announcement_lost;           /* an announcement was lost; no further one is lost */
byte in_flight;
bool stopped;

proctype instance(byte id)
{
	do
	:: tick >= END -> break
	/* The instance sends a new request unless it knows that the upstream is leaving. */
	:: atomic { !knows_leaving[id] && !stopped && in_flight < 2 && tick < END ->
		assert(!leaving || tick - leaving_since <= BOUND);
		in_flight++ }
	:: atomic { in_flight > 0 -> in_flight-- }
	od
}

proctype upstream()
{
end_stay:
	atomic { !leaving && tick < 4 -> leaving = true; leaving_since = tick }
end_wait:
#ifndef PASS_IN_FLIGHT
	atomic { knows_leaving[0] && knows_leaving[1] && knows_leaving[2] && in_flight == 0 -> stopped = true }
#else
	atomic { knows_leaving[0] && knows_leaving[1] && knows_leaving[2] -> stopped = true }
#endif
	assert(in_flight == 0)
}

inline announce(from)
{
	if
	:: !announcement_lost -> announcement_lost = true
	:: knows_leaving[0] = true; knows_leaving[1] = true; knows_leaving[2] = true
	fi
}

inline watch(id)
{
	if
	:: leaving && silent_watcher != id -> knows_leaving[id] = true
	:: else -> skip
	fi;
	if
	:: knows_leaving[id] && !announced[id] -> announced[id] = true; announce(id)
	:: else -> skip
	fi;
#ifndef NO_REPEAT
	if
	:: knows_leaving[id] && tick % 2 == 0 -> announce(id)
	:: else -> skip
	fi
#endif
}

proctype clock()
{
	if
	:: silent_watcher = 0
	:: silent_watcher = 1
	:: skip
	fi;
	do
	:: tick >= END -> break
	:: atomic { tick < END -> tick++;
		watch(0);
#ifndef ONE_WATCH
		watch(1)
#endif
		}
	od
}

init { atomic { run instance(0); run instance(1); run instance(2); run upstream(); run clock() } }
