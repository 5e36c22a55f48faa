/*
 * A limit that holds over all instances together, while instances are cut off
 * from each other, killed, started again and stopped on purpose. Each instance
 * divides the limit by the instances that it counts: those it has heard, also
 * when it hears them no more, and the addresses at which it has heard nobody
 * yet. Times are left out: an instance that was killed starts again before the
 * others forget it.
 *
 * Mutations (each must be refuted):
 *   LIVE_ONLY    an instance that is not heard does not count
 *   START_ALONE  a new instance counts nobody but itself
 */
#define N 3
#define LIMIT 6
#define PART(i) (up[i] -> LIMIT / (1 + others(i)) : 0)
#define others(i) (counts[i * N + 0] + counts[i * N + 1] + counts[i * N + 2])

bool up[4];
bool left[4];              /* stopped on purpose, for good */
bool cut[16];              /* no path between two instances */
bool counts[16];           /* instance i counts instance j, i != j */
byte faults;
bool ready;                /* all have started and count each other */

#define MAX_FAULTS 4

inline pick(x) {
	if
	:: x = 0
	:: x = 1
	:: x = 2
	fi
}

active proctype world()
{
	byte i, j;
	atomic {
		do
		:: i < N -> up[i] = true; j = 0;
			do
			:: j < N -> counts[i * N + j] = (i != j); j++
			:: else -> break
			od;
			i++
		:: else -> break
		od;
		ready = true
	}
	do
	:: faults < MAX_FAULTS -> atomic { faults++; pick(i); pick(j);
		if
		/* A path breaks or heals. */
		:: i != j -> cut[i * N + j] = !cut[i * N + j]; cut[j * N + i] = cut[i * N + j]
		/* An instance is killed and starts again with the addresses of all. */
		:: up[i] ->
			counts[i * N + 0] = false; counts[i * N + 1] = false; counts[i * N + 2] = false;
#ifndef START_ALONE
			j = 0;
			do
			:: j < N -> counts[i * N + j] = (i != j && !left[j]); j++
			:: else -> break
			od
#endif
		/* An instance stops on purpose and tells those that it reaches. */
		:: up[i] && !left[i] -> left[i] = true; up[i] = false; j = 0;
			do
			:: j < N && !cut[i * N + j] -> counts[j * N + i] = false; j++
			:: j < N && cut[i * N + j] -> j++
			:: else -> break
			od
		:: else -> skip
		fi }
	/* An instance hears another one, or finds it silent. */
	:: atomic { pick(i); pick(j);
		if
		:: i != j && up[i] && up[j] && !cut[i * N + j] -> counts[i * N + j] = true
		:: else -> skip
		fi }
#ifdef LIVE_ONLY
	:: atomic { pick(i); pick(j);
		if
		:: i != j && up[i] && cut[i * N + j] -> counts[i * N + j] = false
		:: else -> skip
		fi }
#endif
	:: faults == MAX_FAULTS -> break
	od
}

active proctype judge()
{
	ready;
	do
	:: assert(PART(0) + PART(1) + PART(2) <= LIMIT)
	:: faults == MAX_FAULTS -> break
	od
}
