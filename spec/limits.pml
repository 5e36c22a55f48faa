/*
 * A limit shared by all instances, while instances are partitioned, killed,
 * restarted and shut down on purpose. Each instance divides the limit by the number
 * of instances that it counts: itself, every instance that has ever sent it a
 * heartbeat, even if unreachable now, and every configured address from which no
 * heartbeat has arrived yet. Time is not modelled: a killed instance restarts before
 * the other instances remove it.
 *
 * Mutations (each must be refuted):
 *   LIVE_ONLY    unreachable instances are not counted
 *   START_ALONE  a restarted instance counts only itself
 */
#define N 3
#define LIMIT 6
/* The part of the limit that instance i may use. */
#define PART(i) (running[i] -> LIMIT / (1 + counted_others(i)) : 0)
#define counted_others(i) (counted[i * N + 0] + counted[i * N + 1] + counted[i * N + 2])

bool running[4];
bool departed[4];      /* instance i has shut down on purpose and never restarts */
bool partitioned[16];  /* instances i and j cannot reach each other */
bool counted[16];      /* instance i counts instance j, i != j */
byte fault_count;
bool all_started;      /* all instances run and count each other */

#define MAX_FAULTS 4

inline choose_instance(x) {
	if
	:: x = 0
	:: x = 1
	:: x = 2
	fi
}

active proctype environment()
{
	byte i, j;
	atomic {
		do
		:: i < N -> running[i] = true; j = 0;
			do
			:: j < N -> counted[i * N + j] = (i != j); j++
			:: else -> break
			od;
			i++
		:: else -> break
		od;
		all_started = true
	}
	do
	:: fault_count < MAX_FAULTS -> atomic { fault_count++; choose_instance(i); choose_instance(j);
		if
		/* A partition between two instances begins or ends. */
		:: i != j -> partitioned[i * N + j] = !partitioned[i * N + j]; partitioned[j * N + i] = partitioned[i * N + j]
		/* An instance is killed and restarts. It is configured with the addresses of
		 * all other instances that have not shut down on purpose. */
		:: running[i] ->
			counted[i * N + 0] = false; counted[i * N + 1] = false; counted[i * N + 2] = false;
#ifndef START_ALONE
			j = 0;
			do
			:: j < N -> counted[i * N + j] = (i != j && !departed[j]); j++
			:: else -> break
			od
#endif
		/* An instance shuts down on purpose and notifies all reachable instances. */
		:: running[i] && !departed[i] -> departed[i] = true; running[i] = false; j = 0;
			do
			:: j < N && !partitioned[i * N + j] -> counted[j * N + i] = false; j++
			:: j < N && partitioned[i * N + j] -> j++
			:: else -> break
			od
		:: else -> skip
		fi }
	/* An instance receives a heartbeat from another one. */
	:: atomic { choose_instance(i); choose_instance(j);
		if
		:: i != j && running[i] && running[j] && !partitioned[i * N + j] -> counted[i * N + j] = true
		:: else -> skip
		fi }
#ifdef LIVE_ONLY
	/* An instance finds another one unreachable. */
	:: atomic { choose_instance(i); choose_instance(j);
		if
		:: i != j && running[i] && partitioned[i * N + j] -> counted[i * N + j] = false
		:: else -> skip
		fi }
#endif
	:: fault_count == MAX_FAULTS -> break
	od
}

active proctype monitor()
{
	all_started;
	do
	:: assert(PART(0) + PART(1) + PART(2) <= LIMIT)
	:: fault_count == MAX_FAULTS -> break
	od
}
