/*
 * Versions of the configuration. Two operators write concurrently to one table,
 * responses are lost after the write took effect, the store fails, pushes are
 * lost or delayed, and instances restart and bootstrap from peers.
 *
 * Mutations (each must be refuted):
 *   NAIVE_RETRY   a retry after a lost response does not read the row of its patch id
 *   BLIND_WRITE   the transaction does not check that head is unchanged
 *   ANY_VERSION   an instance activates any version that it receives
 *   PUSH_ONLY     instances neither poll nor compare versions in heartbeats
 */
#define INSTANCES 3
#define OPERATORS 2
#define VERSIONS 4
#define MAX_ATTEMPTS 3

byte head;                     /* table row config/head */
byte patch_row[OPERATORS];     /* table row config/patch/<id>: version that the patch created, 0 if absent */
byte accept_count[VERSIONS];   /* number of patches accepted as each version */
byte apply_count[OPERATORS];   /* number of times that each patch took effect */
bool store_up = true;
byte outages_left = 1;         /* remaining store failures */
byte lost_responses_left = 2;  /* remaining responses that may be lost */
byte lost_pushes_left = 2;     /* remaining pushes that may be lost */
byte restarts_left = 1;        /* remaining instance restarts */

byte active_version[INSTANCES];  /* version in force in each instance */
chan push_queue[INSTANCES] = [2] of { byte };

inline receive_version(receiver, version)
{
#ifdef ANY_VERSION
	assert(version >= active_version[receiver]);
	active_version[receiver] = version
#else
	if
	:: version > active_version[receiver] -> active_version[receiver] = version
	:: else -> skip
	fi
#endif
}

inline push_to_peers(sender, version)
{
	peer = 0;
	do
	:: peer < INSTANCES && peer != sender ->
		if
		:: lost_pushes_left > 0 -> lost_pushes_left--
		:: nfull(push_queue[peer]) -> push_queue[peer]!version
		:: full(push_queue[peer]) -> skip
		fi;
		peer++
	:: peer == sender -> peer++
	:: peer >= INSTANCES -> break
	od
}

/* configstore.Store.Accept on instance id, with the operator's retries. */
proctype operator(byte id)
{
	byte base_version, new_version, peer, attempt;
	bool response_received;
	do
	:: attempt >= MAX_ATTEMPTS -> break
	:: attempt < MAX_ATTEMPTS ->
		attempt++;
		new_version = 0;
		atomic {
			if
			:: !store_up -> skip
			:: store_up ->
#ifndef NAIVE_RETRY
				new_version = patch_row[id];
#endif
				base_version = head
			fi
		}
		if
		:: new_version != 0 -> break
		:: new_version == 0 && store_up ->
			response_received = true;
			d_step {
				if
				:: !store_up -> response_received = false
#ifdef BLIND_WRITE
				:: store_up ->
#elif defined(NAIVE_RETRY)
				:: store_up && head == base_version ->
#else
				:: store_up && head == base_version && patch_row[id] == 0 ->
#endif
					new_version = base_version + 1;
					head = new_version;
					patch_row[id] = new_version;
					accept_count[new_version]++;
					apply_count[id]++;
					assert(accept_count[new_version] <= 1);
					assert(apply_count[id] <= 1)
				:: else -> skip
				fi
			}
			if
			:: new_version != 0 && lost_responses_left > 0 -> lost_responses_left--; response_received = false; new_version = 0
			:: else -> skip
			fi;
			if
			:: response_received && new_version != 0 -> break
			:: else -> skip
			fi
		:: new_version == 0 && !store_up -> skip
		fi
	od;
	if
	:: new_version != 0 -> atomic { receive_version(id, new_version) }; push_to_peers(id, new_version)
	:: else -> skip
	fi
}

/* An instance (packages instance and policy): push, poll, comparison of versions in
 * heartbeats, and bootstrap. */
proctype instance(byte id)
{
	byte version, source;
end:	do
	:: atomic { push_queue[id]?version -> receive_version(id, version) }
	:: atomic { restarts_left > 0 && active_version[id] > 0 ->
		restarts_left--;
		/* Bootstrap: take the highest version of the store and all reachable peers. */
		active_version[id] = 0;
		source = 0;
		do
		:: source < INSTANCES ->
			if
			:: active_version[source] > active_version[id] -> active_version[id] = active_version[source]
			:: else -> skip
			fi;
			source++
		:: else -> break
		od;
		if
		:: store_up && head > active_version[id] -> active_version[id] = head
		:: else -> skip
		fi }
#ifndef PUSH_ONLY
	:: atomic { store_up && head > active_version[id] -> receive_version(id, head) }
	:: atomic { active_version[(id + 1) % INSTANCES] > active_version[id] -> receive_version(id, active_version[(id + 1) % INSTANCES]) }
	:: atomic { active_version[(id + 2) % INSTANCES] > active_version[id] -> receive_version(id, active_version[(id + 2) % INSTANCES]) }
#endif
	od
}

proctype store_faults()
{
	do
	:: outages_left > 0 -> outages_left--; store_up = false; if :: store_up = true :: break fi
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
	/* When no further step is possible, all instances have the same active version,
	 * which equals head if the store is up. */
	timeout;
	assert(active_version[0] == active_version[1] && active_version[1] == active_version[2]);
	assert(!store_up || active_version[0] == head)
}
