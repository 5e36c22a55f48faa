/*
 * An upstream that leaves: two instances of a region watch the store's row, the
 * third takes what they announce and what their heartbeats repeat. One watch may
 * be silent, and one announcement may be lost. Ticks stand for half a second; a
 * heartbeat comes every second tick.
 *
 * Mutations (each must be refuted):
 *   ONE_WATCH       a single instance watches
 *   NO_REPEAT       changes are announced once and not repeated
 *   PASS_IN_FLIGHT  a stop does not wait for requests in flight
 */
#define INSTANCES 3
#define WATCHERS 2
#define BOUND 4
#define END 10

byte now;
bool leaving;
byte left_at;
bool known[INSTANCES];      /* the instance knows that the upstream is leaving */
bool announced[WATCHERS];
byte silent = INSTANCES;    /* the watcher whose watch brings nothing */
bool lost;                  /* an announcement was lost */
byte in_flight;
bool stopped;

proctype instance(byte me)
{
	do
	:: now >= END -> break
	/* A new request binds to the upstream unless it is known to leave. */
	:: atomic { !known[me] && !stopped && in_flight < 2 && now < END ->
		assert(!leaving || now - left_at <= BOUND);
		in_flight++ }
	:: atomic { in_flight > 0 -> in_flight-- }
	od
}

proctype upstream()
{
end_stay:
	atomic { !leaving && now < 4 -> leaving = true; left_at = now }
end_wait:
#ifndef PASS_IN_FLIGHT
	atomic { known[0] && known[1] && known[2] && in_flight == 0 -> stopped = true }
#else
	atomic { known[0] && known[1] && known[2] -> stopped = true }
#endif
	assert(in_flight == 0)
}

inline tell(from)
{
	if
	:: !lost -> lost = true
	:: known[0] = true; known[1] = true; known[2] = true
	fi
}

inline watch(me)
{
	if
	:: leaving && silent != me -> known[me] = true
	:: else -> skip
	fi;
	if
	:: known[me] && !announced[me] -> announced[me] = true; tell(me)
	:: else -> skip
	fi;
#ifndef NO_REPEAT
	if
	:: known[me] && now % 2 == 0 -> tell(me)
	:: else -> skip
	fi
#endif
}

proctype clock()
{
	if
	:: silent = 0
	:: silent = 1
	:: skip
	fi;
	do
	:: now >= END -> break
	:: atomic { now < END -> now++;
		watch(0);
#ifndef ONE_WATCH
		watch(1)
#endif
		}
	od
}

init { atomic { run instance(0); run instance(1); run instance(2); run upstream(); run clock() } }
