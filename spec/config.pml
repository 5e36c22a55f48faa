/*
 * Configuration versions: two operators race on one table, answers are lost
 * after the write took effect, the store fails, pushes are lost or late, and
 * instances restart and bootstrap from peers.
 *
 * Mutations (each must be refuted):
 *   NAIVE_RETRY   a retry after a lost answer ignores the patch id row
 *   BLIND_WRITE   the transaction does not check the revision of head
 *   ANY_VERSION   an instance takes whatever version arrives
 *   PUSH_ONLY     instances neither poll nor compare versions in heartbeats
 */
#define INSTANCES 3
#define OPERATORS 2
#define VERSIONS 4
#define ATTEMPTS 3

byte head;                       /* table row config/head */
byte patch_row[OPERATORS];       /* table row config/patch/<id>: version made, 0 if absent */
byte accepted[VERSIONS];         /* patches accepted as each version */
byte applied[OPERATORS];         /* times each patch took effect */
bool store_up = true;
byte outages = 1;                /* store failures that may still happen */
byte lost_answers = 2;           /* answers that may still be lost */
byte lost_pushes = 2;
byte restarts = 1;

byte current[INSTANCES];            /* version in force in each instance */
chan push[INSTANCES] = [2] of { byte };

inline offer(a, v)
{
#ifdef ANY_VERSION
	assert(v >= current[a]);
	current[a] = v
#else
	if
	:: v > current[a] -> current[a] = v
	:: else -> skip
	fi
#endif
}

inline distribute(a, v)
{
	peer = 0;
	do
	:: peer < INSTANCES && peer != a ->
		if
		:: lost_pushes > 0 -> lost_pushes--
		:: nfull(push[peer]) -> push[peer]!v
		:: full(push[peer]) -> skip
		fi;
		peer++
	:: peer == a -> peer++
	:: peer >= INSTANCES -> break
	od
}

/* configstore.Store.Accept on instance id, with the operator's repeats. */
proctype operator(byte id)
{
	byte base, made, peer, attempt;
	bool answered;
	do
	:: attempt >= ATTEMPTS -> break
	:: attempt < ATTEMPTS ->
		attempt++;
		made = 0;
		atomic {
			if
			:: !store_up -> skip
			:: store_up ->
#ifndef NAIVE_RETRY
				made = patch_row[id];
#endif
				base = head
			fi
		}
		if
		:: made != 0 -> break
		:: made == 0 && store_up ->
			answered = true;
			d_step {
				if
				:: !store_up -> answered = false
#ifdef BLIND_WRITE
				:: store_up ->
#elif defined(NAIVE_RETRY)
				:: store_up && head == base ->
#else
				:: store_up && head == base && patch_row[id] == 0 ->
#endif
					made = base + 1;
					head = made;
					patch_row[id] = made;
					accepted[made]++;
					applied[id]++;
					assert(accepted[made] <= 1);
					assert(applied[id] <= 1)
				:: else -> skip
				fi
			}
			if
			:: made != 0 && lost_answers > 0 -> lost_answers--; answered = false; made = 0
			:: else -> skip
			fi;
			if
			:: answered && made != 0 -> break
			:: else -> skip
			fi
		:: made == 0 && !store_up -> skip
		fi
	od;
	if
	:: made != 0 -> atomic { offer(id, made) }; distribute(id, made)
	:: else -> skip
	fi
}

/* configsync.Syncer: push, poll, heartbeat comparison and bootstrap. */
proctype instance(byte id)
{
	byte v, other;
end:	do
	:: atomic { push[id]?v -> offer(id, v) }
	:: atomic { restarts > 0 && current[id] > 0 ->
		restarts--;
		/* The highest version of the store and of every reachable peer. */
		current[id] = 0;
		other = 0;
		do
		:: other < INSTANCES ->
			if
			:: current[other] > current[id] -> current[id] = current[other]
			:: else -> skip
			fi;
			other++
		:: else -> break
		od;
		if
		:: store_up && head > current[id] -> current[id] = head
		:: else -> skip
		fi }
#ifndef PUSH_ONLY
	:: atomic { store_up && head > current[id] -> offer(id, head) }
	:: atomic { current[(id + 1) % INSTANCES] > current[id] -> offer(id, current[(id + 1) % INSTANCES]) }
	:: atomic { current[(id + 2) % INSTANCES] > current[id] -> offer(id, current[(id + 2) % INSTANCES]) }
#endif
	od
}

proctype store_faults()
{
	do
	:: outages > 0 -> outages--; store_up = false; if :: store_up = true :: break fi
	:: break
	od
}

init
{
	atomic {
		run instance(0); run instance(1); run instance(2);
		run operator(0); run operator(1);
		run store_faults()
	}
	/* Once nothing more can happen, all instances hold the same version, and it is
	 * head's if the store answers. */
	timeout;
	assert(current[0] == current[1] && current[1] == current[2]);
	assert(!store_up || current[0] == head)
}
