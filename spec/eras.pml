/*
 * Eras of the store. The store comes back from older copies of itself: it loses its last
 * transactions, gives their numbers out again and states the next era. Two instances each
 * hold a copy of a table with two rows, which they list and watch, pass on whole, as the
 * changes since a revision or as the difference to a base, and announce in heartbeats with
 * the proof that it is current. One answer of the store to the first instance and one message
 * between the instances may be delayed at a time and be overtaken by anything else. An instance
 * that is cut off asks the store no more and knows the other one only; the second instance may
 * be restarted. Tables of one store share its era, so an instance may also learn it from the
 * answer to a call for another table.
 *
 * Properties:
 *   - A table is the store's state at the era and number that it claims: rows of two eras do
 *     not mix, and a difference is applied to its own base only.
 *   - The claimed revision never goes back, and what belongs to an earlier era than the newest
 *     known one changes and proves nothing.
 *   - A proven table is of the newest known era. One whose proof rests on an answer of the
 *     store since the store's last change is equal to the store.
 *   - An instance whose call the store has answered since its last change is equal to it after
 *     this call, or after the listing that the call leads to.
 *
 * Mutations (each must be refuted):
 *   NO_ERA                 revisions are ordered by the bare number
 *   ERA_OF_ANSWER_IGNORED  a late answer of the store counts as one of the newest known era
 *   PROOF_KEPT             a proof outlasts a newer era
 *   PROOF_BY_NUMBER        a heartbeat proves a table of the same number and another era
 *   BASE_BY_NUMBER         a difference is made for, and applied to, a base of the same number
 *   CHANGES_BY_NUMBER      changes since a number are sent and applied to a table of another era
 *   WATCH_GOES_ON          a watch of an earlier era goes on with the answer of a newer one
 */
#define INSTANCES 2
#define ERAS 3      /* two returns from an older copy */
#ifndef NUMBERS
#define NUMBERS 2   /* numbers of an era */
#endif
#define RESTARTS 1

#define AT(e, n) ((e) * (NUMBERS + 1) + (n))
#define IS(i, e, n) (era[i] == (e) && number[i] == (n))
#define EQUAL(i) IS(i, store_era, store_number)

#ifdef NO_ERA
#define SAME_ERA(e, f) true
#define AFTER(e, n, f, m) ((n) > (m))
#else
#define SAME_ERA(e, f) ((e) == (f))
#define AFTER(e, n, f, m) ((e) > (f) || (e) == (f) && (n) > (m))
#endif
#ifdef CHANGES_BY_NUMBER
#define CHANGES_FIT(e, f) true
#else
#define CHANGES_FIT(e, f) SAME_ERA(e, f)
#endif
#ifdef BASE_BY_NUMBER
#define BASE_FITS(e, f) true
#else
#define BASE_FITS(e, f) SAME_ERA(e, f)
#endif
#ifdef PROOF_BY_NUMBER
#define PROOF_FITS(e, f) true
#else
#define PROOF_FITS(e, f) SAME_ERA(e, f)
#endif
#if defined(NO_ERA) || defined(WATCH_GOES_ON)
#define WATCH_FITS(e, f) true
#else
#define WATCH_FITS(e, f) ((e) == (f))
#endif

/* Proofs: none, one that rests on an answer of the store before its last change, and one that
 * rests on an answer since. */
#define UNPROVEN 0
#define EARLIER 1
#define LATEST 2

/* Kinds of delayed messages. */
#define NONE 0
#define LISTING 1    /* from the store: the table */
#define WATCH 2      /* from the store: the changes since a revision */
#define WHOLE 3      /* from the other instance: the table */
#define CHANGES 4    /* from the other instance: the changes since a revision */
#define DIFFERENCE 5 /* from the other instance: the table as the difference to a base */
#define HEARTBEAT 6  /* from the other instance: its revision and its proof */

byte store_era = 1, store_number = 1;
byte state[AT(ERAS, NUMBERS) + 1]; /* the rows of the store, a bit each, by era and number */
byte restarts;

byte era[INSTANCES];    /* of the table; 0 if it has not been loaded */
byte number[INSTANCES];
byte table[INSTANCES];
byte known[INSTANCES];  /* the newest known era */
byte proof[INSTANCES];
bool listed[INSTANCES]; /* the next call of the store is a watch */

/* The delayed answer of the store, of the transaction answer_number. */
byte answer, answer_to, answer_era, answer_number, answer_after_era, answer_after, answer_proof;
/* The delayed message of the other instance. */
byte message, message_to, message_era, message_number, message_base_era, message_base, message_proof;

byte before_era, before_number, before_table, before_proof;

/* Any change of the store makes the proofs that rest on its answers earlier ones. */
inline age_proofs()
{
	for (k : 0 .. INSTANCES - 1) {
		if
		:: proof[k] == LATEST -> proof[k] = EARLIER
		:: else
		fi
	}
	if
	:: answer_proof == LATEST -> answer_proof = EARLIER
	:: else
	fi;
	if
	:: message_proof == LATEST -> message_proof = EARLIER
	:: else
	fi
}

inline write(row)
{
	state[AT(store_era, store_number + 1)] = state[AT(store_era, store_number)] ^ row;
	store_number++;
	age_proofs()
}

/* The store comes back with the transactions up to last. */
inline restore(last)
{
	for (k : 1 .. last) {
		state[AT(store_era + 1, k)] = state[AT(store_era, k)]
	}
	store_era++;
	store_number = last;
	age_proofs();
	clear_states()
}

inline enter_era(i, e)
{
	if
	:: e > known[i] ->
		known[i] = e;
#if !defined(PROOF_KEPT) && !defined(NO_ERA)
		proof[i] = UNPROVEN
#endif
	:: else
	fi
}

inline prove(i, p)
{
	if
	:: p > proof[i] -> proof[i] = p
	:: else
	fi
}

inline install(i, e, n, rows, p)
{
	era[i] = e;
	number[i] = n;
	table[i] = rows;
	prove(i, p)
}

/* Installs a whole table. */
inline replace(i, e, n, rows, p)
{
	if
	:: era[i] == 0 || AFTER(e, n, era[i], number[i]) -> install(i, e, n, rows, p)
	:: era[i] != 0 && SAME_ERA(e, era[i]) && n == number[i] -> prove(i, p)
	:: else
	fi
}

/* Applies the changes between two numbers of an era. */
inline update(i, e, since, n, p)
{
	if
	:: era[i] != 0 && CHANGES_FIT(e, era[i]) && since <= number[i] && n >= number[i] ->
		rows = state[AT(e, number[i])] ^ state[AT(e, n)];
		install(i, e, n, (table[i] & (3 - rows)) | (state[AT(e, n)] & rows), p)
	:: else
	fi
}

/* Drops what the instance with the delayed messages waits for. */
inline drop_messages(i)
{
	if
	:: answer != NONE && answer_to == i -> clear_answer()
	:: else
	fi;
	if
	:: message != NONE && message_to == i -> clear_message()
	:: else
	fi
}

inline clear_answer()
{
	answer = NONE; answer_to = 0; answer_era = 0; answer_number = 0; answer_after_era = 0; answer_after = 0; answer_proof = 0
}

inline clear_message()
{
	message = NONE; message_to = 0; message_era = 0; message_number = 0; message_base_era = 0; message_base = 0; message_proof = 0
}

inline remember(i)
{
	before_era = era[i]; before_number = number[i]; before_table = table[i]; before_proof = proof[i]
}

inline forget()
{
	before_era = 0; before_number = 0; before_table = 0; before_proof = 0; rows = 0;
	clear_states()
}

/* Clears the states of earlier eras that no table and no message refers to any more, which
 * leaves fewer states to search. */
#define REFERS(e, n) (IS(0, e, n) || IS(1, e, n) || \
	answer_era == (e) && answer_number == (n) || \
	message_era == (e) && message_number == (n) || message_base_era == (e) && message_base == (n))
inline clear_states()
{
	for (k : 1 .. store_era - 1) {
		for (n : 1 .. NUMBERS) {
			if
			:: !REFERS(k, n) -> state[AT(k, n)] = 0
			:: else
			fi
		}
	}
	k = 0; n = 0
}

/* Checks instance i after a message of era e, which came when known_before was the newest
 * known era. */
inline check(i, e)
{
	assert(era[i] == 0 || table[i] == state[AT(era[i], number[i])]);
#ifndef NO_ERA
	assert(era[i] > before_era || era[i] == before_era && number[i] >= before_number);
	assert(e >= known[i] || IS(i, before_era, before_number) && table[i] == before_table && proof[i] == before_proof);
	assert(proof[i] == UNPROVEN || era[i] == known[i]);
#endif
	assert(proof[i] != LATEST || EQUAL(i))
}

/* The store answers a call of instance i. */
inline call(i)
{
	if
	:: !listed[i] -> answer = LISTING
	:: listed[i] && number[i] <= store_number -> answer = WATCH; answer_after_era = era[i]; answer_after = number[i]
	/* The store does not have the revision or has dropped its history. */
	:: listed[i] -> listed[i] = false
	fi;
	if
	:: answer != NONE -> answer_to = i; answer_era = store_era; answer_number = store_number; answer_proof = LATEST
	:: else
	fi
}

inline receive_answer(i)
{
	remember(i);
#ifdef ERA_OF_ANSWER_IGNORED
	rows = state[AT(answer_era, answer_number)];
	if
	:: answer_era < known[i] ->
		if
		:: answer == LISTING -> listed[i] = true; replace(i, known[i], answer_number, rows, answer_proof)
		:: else
		fi
	:: else
	fi;
#endif
	enter_era(i, answer_era);
	if
	:: answer_era < known[i]
	:: answer_era == known[i] && answer == LISTING ->
		listed[i] = true;
		replace(i, answer_era, answer_number, state[AT(answer_era, answer_number)], answer_proof)
	:: answer_era == known[i] && answer == WATCH && WATCH_FITS(answer_era, answer_after_era) ->
		update(i, answer_era, answer_after, answer_number, answer_proof)
	:: answer_era == known[i] && answer == WATCH && !WATCH_FITS(answer_era, answer_after_era) ->
		listed[i] = false
	fi;
	check(i, answer_era);
	assert(answer_proof != LATEST || EQUAL(i) || answer == WATCH && !listed[i]);
	clear_answer();
	forget()
}

/* Instance i sends what it knows to the other one. */
inline send(i)
{
	message_to = 1 - i; message_era = era[i]; message_number = number[i]; message_proof = proof[i];
	if
	:: message = HEARTBEAT
	:: message = WHOLE
	:: era[1 - i] != 0 && CHANGES_FIT(era[i], era[1 - i]) && number[1 - i] <= number[i] ->
		message = CHANGES; message_base_era = era[i]; message_base = number[1 - i]
#ifdef BASE_BY_NUMBER
	:: era[1 - i] != 0 && number[1 - i] <= number[i] ->
		message = DIFFERENCE; message_base_era = era[i]; message_base = number[1 - i]
#else
	:: era[1 - i] != 0 -> message = DIFFERENCE; message_base_era = era[1 - i]; message_base = number[1 - i]
#endif
	fi
}

inline receive_message(i)
{
	remember(i);
	enter_era(i, message_era);
	if
	:: message_era < known[i]
	:: message_era == known[i] && message == HEARTBEAT ->
		if
		:: era[i] != 0 && PROOF_FITS(era[i], message_era) && number[i] >= message_number -> prove(i, message_proof)
		:: else
		fi
	:: message_era == known[i] && message == WHOLE ->
		replace(i, message_era, message_number, state[AT(message_era, message_number)], message_proof)
	:: message_era == known[i] && message == CHANGES ->
		update(i, message_era, message_base, message_number, message_proof)
	:: message_era == known[i] && message == DIFFERENCE ->
		if
		:: BASE_FITS(era[i], message_base_era) && number[i] == message_base ->
			rows = table[i] ^ state[AT(message_base_era, message_base)] ^ state[AT(message_era, message_number)];
			replace(i, message_era, message_number, rows, message_proof)
		/* The whole has to be fetched, or is not needed any more. */
		:: else
		fi
	fi;
	check(i, message_era);
	clear_message();
	forget()
}

/* The answer to a call for another table states the store's era. */
inline learn_era(i)
{
	remember(i);
	enter_era(i, store_era);
	check(i, store_era);
	forget()
}

inline restart(i)
{
	restarts++;
	era[i] = 0; number[i] = 0; table[i] = 0; known[i] = 0; proof[i] = UNPROVEN; listed[i] = false;
	drop_messages(i);
	clear_states()
}

active proctype system()
{
	byte k, n, rows;
	do
	:: atomic { store_number < NUMBERS -> write(1) }
	/* Without loss of generality, the first write is one of the first row. */
	:: atomic { store_number < NUMBERS && !(store_era == 1 && store_number == 1) -> write(2) }
	:: atomic { store_era < ERAS -> restore(store_number) }
	:: atomic { store_era < ERAS && store_number > 1 -> restore(store_number - 1) }
	:: atomic { store_era < ERAS && store_number > 2 -> restore(store_number - 2) }
	:: atomic { answer == NONE -> call(0) }
	:: atomic { answer == NONE -> call(1);
		if
		:: answer != NONE -> receive_answer(1)
		:: else
		fi }
	:: atomic { answer != NONE && answer_to == 0 -> receive_answer(0) }
	:: atomic { message == NONE && era[0] != 0 -> send(0) }
	:: atomic { message == NONE && era[1] != 0 -> send(1) }
	:: atomic { message != NONE && message_to == 0 -> receive_message(0) }
	:: atomic { message != NONE && message_to == 1 -> receive_message(1) }
	:: atomic { message != NONE -> clear_message(); clear_states() }
	:: atomic { known[0] < store_era -> learn_era(0) }
	:: atomic { known[1] < store_era -> learn_era(1) }
	:: atomic { restarts < RESTARTS -> restart(1) }
	od
}
