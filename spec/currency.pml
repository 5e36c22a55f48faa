/*
 * Currency of the tables. A watcher of a region gets answers from the store and sends
 * heartbeats with the age of the proof that its table is current. Another instance relies on
 * it, and asks the store itself once its own proof is too old. From any moment on, a watcher
 * may be blind (the store's answers do not reach it) or deaf (nothing reaches it, so that it
 * cannot serve its changes either); it goes on sending heartbeats. Any heartbeat may be lost.
 * A tick is a quarter of a second.
 *
 * Mutations (each must be refuted):
 *   HEARTBEAT_PROVES  a heartbeat proves the table at its arrival
 *   NEVER_ASKS        the instance does not ask the store itself
 *   LATE_ASKS         the instance asks only once a proof is as old as a change may become
 */
#define WATCHERS 1
#define BOUND 10        /* ticks within which a change must take effect (2.5 s) */
#define ANSWER 4        /* ticks between two answers of the store to a watcher (1 s) */
#ifdef LATE_ASKS
#define MAX_AGE BOUND
#else
#define MAX_AGE 6       /* age of a proof above which the instance asks the store (1.5 s) */
#endif
#define END 18          /* tick at which the model ends */

byte tick;
bool changed;                 /* the table has changed in the store */
byte changed_at;
bool blind[WATCHERS];
bool deaf[WATCHERS];
bool watcher_knows[WATCHERS]; /* the watcher's table holds the change */
byte watcher_proof[WATCHERS]; /* tick at which the store confirmed that table */
bool knows;                   /* the instance's table holds the change */
byte proof;
bool asking;                  /* the store answers the instance's own call at the next tick */

inline prove(at)
{
	if
	:: at > proof -> proof = at
	:: else
	fi
}

/* A watcher gets an answer when it is due, or earlier because of some change. */
inline answer(w)
{
	if
	:: !blind[w] && !deaf[w] -> watcher_knows[w] = changed; watcher_proof[w] = tick
	:: !blind[w] && !deaf[w] && tick - watcher_proof[w] < ANSWER
	:: blind[w] || deaf[w]
	fi
}

/* A heartbeat of a watcher arrives, or is lost. */
inline heartbeat(w)
{
	if
	:: watcher_knows[w] && !knows ->
		/* The instance fetches the change, which a deaf watcher cannot serve. */
		if
		:: !deaf[w] -> knows = true; prove(watcher_proof[w])
		:: deaf[w]
		fi
	:: knows && !watcher_knows[w]
	:: watcher_knows[w] == knows ->
#ifdef HEARTBEAT_PROVES
		prove(tick)
#else
		prove(watcher_proof[w])
#endif
	:: true
	fi
}

active proctype region()
{
	byte w;
	do
	:: tick < END ->
		atomic {
			if
			:: !changed -> changed = true; changed_at = tick
			:: true
			fi;
			if
			:: asking -> knows = changed; proof = tick; asking = false
			:: else
			fi;
			for (w : 0 .. WATCHERS - 1) {
				if
				:: !blind[w] -> blind[w] = true
				:: !deaf[w] -> deaf[w] = true
				:: true
				fi;
				answer(w);
				heartbeat(w)
			}
#ifndef NEVER_ASKS
			if
			:: tick - proof > MAX_AGE -> asking = true
			:: else
			fi;
#endif
			assert(!changed || knows || tick - changed_at <= BOUND);
			tick++
		}
	:: else -> break
	od
}
