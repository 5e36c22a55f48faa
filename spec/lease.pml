/*
 * The lease on share checkpoints: a holder may be paused past its lease and
 * still believe in it. The table refuses its write because the transaction
 * carries the lease row's revision.
 *
 * Mutations (each must be refuted):
 *   NO_FENCE      the write does not check the lease row's revision
 *   SHARED_TOKEN  taking over an expired lease keeps the old revision
 */
#define HOLDERS 2
#define ROUNDS 3

byte revision = 1;        /* revision of the lease row */
byte holder = 255;        /* holder according to the table */
bool expired = true;
byte last_writer_token;   /* token of the newest checkpoint */

proctype agent(byte id)
{
	byte token, seen, round;
	bool held;
	do
	:: round >= ROUNDS -> break
	:: round < ROUNDS ->
		round++;
		/* lease.Acquire: read, then a conditional write on the revision read. */
		atomic { seen = revision; held = false }
		d_step {
			if
			:: expired && revision == seen ->
#ifndef SHARED_TOKEN
				revision++;
#endif
				holder = id;
				expired = false;
				token = revision;
				held = true
			:: else -> skip
			fi
		}
		/* The holder may be paused here for any time. */
		if
		:: held ->
			d_step {
				if
#ifdef NO_FENCE
				:: true ->
#else
				:: revision == token ->
#endif
					assert(holder == id);
					assert(token >= last_writer_token);
					last_writer_token = token
				:: else -> skip
				fi
			}
		:: else -> skip
		fi
	od
}

proctype clock()
{
	byte ticks;
	do
	:: ticks < 4 && !expired -> ticks++; expired = true
	:: ticks >= 4 -> break
	:: timeout -> break
	od
}

init { atomic { run agent(0); run agent(1); run clock() } }
