/* Core protocol of requests that may not be repeated (docs/design.md, 4.7).
 *
 * One request, submitted through two entries, each of which resends it once
 * after a lost answer. Entries send it to any agent, which covers stale entries
 * and wrong ones. Agent A owns keys of all times in generation 1; in
 * generation 2 keys from CHANGE on belong to agent B, and A's failure domain
 * is out. Processes adopt generation 2 at any time or never (partition, stale
 * service). Every step of a process may be delayed (pause), messages may be
 * lost or arrive late, and A may be killed and started again and its clock may
 * step; the same rules hold for B, whose clock and start stay as they are to
 * keep the search small.
 *
 * The request carries a key made at any time, or a token of the first start
 * of A. The environment variable DROP holds the number of
 * a rule to drop; model/run expects an error for each.
 */

#define A 0
#define B 1
#define TMAX 3     /* end of time */
#define STEP 1     /* bound of backward clock steps */
#define LIFE 2     /* key lifetime */
#define UNTIL 3    /* generation 1 promises the owners of keys below it */
#define TOKEN_LIFE 2
#define RESTARTS 1

/* The rules that can be dropped. */
#define DROP_ADOPT 1
#define DROP_BEGAN 2
#define DROP_CONFIRM 3
#define DROP_EXPIRY 4
#define DROP_FUTURE 5
#define DROP_INSTANCE 6
#define DROP_LATEST 7
#define DROP_LISTEN 8
#define DROP_LOST 9
#define DROP_MEMORY 10
#define DROP_ORDER 11
#define DROP_OWNER 12
#define DROP_PROMISE 13
#define DROP_START 14
#define DROP_STEP 15
#define DROP_STICKY 16
#define DROP_UNKNOWN 17
#define DROP_UNTIL 18

#define KEPT(rule) (dropped != rule)

#define CHANGE (KEPT(DROP_PROMISE) -> UNTIL : UNTIL - 1)
#define OWNER(g) ((g == 2 && made >= CHANGE) -> B : A)
#define BEYOND(i) (KEPT(DROP_UNTIL) && gen[i] == 1 && made >= UNTIL)
#define NOT_OWNER(i) (KEPT(DROP_OWNER) && OWNER(gen[i]) != i)
#define BEFORE_MEMORY(i) (KEPT(DROP_BEGAN) && made <= began[i] + (KEPT(DROP_STEP) -> STEP : 0))
#define IN_FUTURE(i) (KEPT(DROP_FUTURE) && made > WALL(i))
#define FORGOTTEN(i) (made + LIFE <= (KEPT(DROP_LATEST) -> latest[i] : WALL(i)))
#define OTHER_INSTANCE(i) (KEPT(DROP_INSTANCE) && i != A)
#define OTHER_START(i) (KEPT(DROP_START) && starts[i] != 0)
#define EXPIRED(i) (KEPT(DROP_EXPIRY) && now - started[i] >= TOKEN_LIFE)

#define WALL(i) (now + ahead[i])
#define DOMAIN_OUT(i) (i == A && gen[i] == 2)

/* States of the request in an agent's memory. */
#define NONE 0
#define ADMITTED 1
#define HANDED 2
#define RAN 3
#define LOST 4

/* States of an attempt of an entry, and what an entry told its caller. */
#define FLYING 1
#define RUNNER 2
#define WAITER 3
#define SAY_NOT_RUN 4
#define SAY_RAN 5
#define SAY_UNKNOWN 6
#define DEAD 7

byte dropped;
bool byKey;
byte made;            /* time of the key */
byte now;
byte gen[2] = 1;      /* generation that an agent adopted */

bool up[2] = true;
byte ahead[2];        /* clock of an agent minus now */
byte began[2];        /* clock reading at which the memory began */
byte started[2];      /* monotonic origin */
byte starts[2];
byte latest[2];
byte mem[2];

byte att[4];          /* attempts 0 and 1 of entry 0, 2 and 3 of entry 1 */
byte dst[4];
byte told[2];
bool unsure[2];       /* an answer was lost */

byte runs;
bool ran[2];          /* this submission was handed over */
byte v;               /* scratch, 0 between steps */

inline look(i) {
	if
	:: byKey && WALL(i) > latest[i] -> latest[i] = WALL(i)
	:: else
	fi
}

/* The rules by key time; v is what to answer, or 0. The rules that concern
 * earlier submissions come before those under which the owner says "not run". */
inline keyRules(i) {
	if
	:: BEYOND(i) -> v = SAY_NOT_RUN
	:: else -> if
	:: NOT_OWNER(i) -> v = SAY_NOT_RUN
	:: else -> if
	:: !KEPT(DROP_ORDER) && IN_FUTURE(i) -> v = SAY_NOT_RUN; assert(runs == 0)
	:: else -> if
	:: BEFORE_MEMORY(i) ->
		v = (KEPT(DROP_UNKNOWN) -> SAY_UNKNOWN : SAY_NOT_RUN);
		assert(v != SAY_NOT_RUN || runs == 0)
	:: else -> if
	:: FORGOTTEN(i) -> v = SAY_UNKNOWN
	:: else -> if
	:: IN_FUTURE(i) -> v = SAY_NOT_RUN; assert(runs == 0)
	:: else
	fi fi fi fi fi fi
}

inline tokenRules(i) {
	if
	:: OTHER_INSTANCE(i) -> v = SAY_NOT_RUN
	:: else -> if
	:: OTHER_START(i) -> v = SAY_UNKNOWN
	:: else -> if
	:: EXPIRED(i) -> v = SAY_UNKNOWN
	:: else
	fi fi fi
}

inline rules(i) {
	v = 0;
	if
	:: byKey -> keyRules(i)
	:: else -> tokenRules(i)
	fi
}

/* An attempt arrives at an agent. */
inline decide(i, a) {
	look(i);
	if
	:: mem[i] == ADMITTED || mem[i] == HANDED -> att[a] = WAITER
	:: mem[i] == RAN -> att[a] = SAY_RAN
	:: mem[i] == LOST -> att[a] = SAY_UNKNOWN
	:: mem[i] == NONE ->
		rules(i);
		if
		:: v != 0 -> att[a] = v
		:: v == 0 && DOMAIN_OUT(i) -> assert(runs == 0); att[a] = SAY_NOT_RUN
		/* The gate may refuse for its own reasons, such as the limit. */
		:: v == 0 -> assert(runs == 0); att[a] = SAY_NOT_RUN
		:: v == 0 && !DOMAIN_OUT(i) -> mem[i] = ADMITTED; att[a] = RUNNER
		fi;
		v = 0
	fi
}

/* Nobody listens to an attempt any more; its answer makes no difference. */
#define UNHEARD(e, a) (told[e] != 0 || a == 2 * e && att[2 * e + 1] != 0)

inline settle(e, a) {
	if
	:: att[a] >= SAY_NOT_RUN && UNHEARD(e, a) -> att[a] = DEAD; dst[a] = 0
	:: else
	fi
}

inline settleAll() {
	settle(0, 0); settle(0, 1); settle(1, 2); settle(1, 3)
}

inline answer(i, a, from, say) {
	if
	:: att[a] == from && dst[a] == i -> att[a] = say
	:: else
	fi
}

inline answerAll(i, from, say) {
	answer(i, 0, from, say); answer(i, 1, from, say);
	answer(i, 2, from, say); answer(i, 3, from, say)
}

/* The last check and the hand-over to the upstream. Waiters of a run that did
 * not take place are decided again. */
inline handOver(i) {
	look(i);
	v = 0;
	if
	:: KEPT(DROP_CONFIRM) ->
		rules(i);
		if
		:: DOMAIN_OUT(i) -> v = SAY_NOT_RUN
		:: else
		fi
	:: else
	fi;
	if
	:: v != 0 ->
		mem[i] = NONE;
		answerAll(i, RUNNER, SAY_NOT_RUN);
		answerAll(i, WAITER, FLYING)
	:: else ->
		assert(!DOMAIN_OUT(i));
		mem[i] = HANDED;
		runs++;
		assert(runs <= 1);
		if
		:: (att[0] == RUNNER && dst[0] == i) || (att[1] == RUNNER && dst[1] == i) -> ran[0] = true
		:: else -> ran[1] = true
		fi;
		assert(!(ran[0] && told[0] == SAY_NOT_RUN) && !(ran[1] && told[1] == SAY_NOT_RUN))
	fi;
	v = 0
}

inline end(i, state, say) {
	mem[i] = state;
	answerAll(i, RUNNER, say);
	answerAll(i, WAITER, say)
}

proctype agent(byte i) {
	do
	:: atomic { up[i] && att[0] == FLYING && dst[0] == i -> decide(i, 0); settleAll() }
	:: atomic { up[i] && att[1] == FLYING && dst[1] == i -> decide(i, 1); settleAll() }
	:: atomic { up[i] && att[2] == FLYING && dst[2] == i -> decide(i, 2); settleAll() }
	:: atomic { up[i] && att[3] == FLYING && dst[3] == i -> decide(i, 3); settleAll() }
	:: atomic { up[i] && mem[i] == ADMITTED -> handOver(i); settleAll() }
	:: atomic { up[i] && mem[i] == HANDED ->
		end(i, (KEPT(DROP_MEMORY) -> RAN : NONE), SAY_RAN); settleAll() }
	:: atomic { up[i] && mem[i] == HANDED ->
		end(i, (KEPT(DROP_LOST) -> LOST : NONE), SAY_UNKNOWN); settleAll() }
	/* Forget what is no longer accepted. */
	:: atomic { up[i] && (mem[i] == RAN || mem[i] == LOST) &&
		((byKey && made + LIFE <= WALL(i)) || (!byKey && now - started[i] >= TOKEN_LIFE)) ->
		look(i); mem[i] = NONE }
	/* Kill: what the process held is gone, its connections break. */
	:: atomic { i == A && up[i] && starts[i] < RESTARTS -> up[i] = false; mem[i] = NONE;
		answerAll(i, RUNNER, DEAD); answerAll(i, WAITER, DEAD); settleAll() }
	/* Start again, with any document that the service answers. */
	:: atomic { !up[i] -> up[i] = true; starts[i]++;
		if
		:: byKey ->
			/* Without the rule, the clock was read before the earlier start ended. */
			began[i] = (KEPT(DROP_LISTEN) -> WALL(i) : 0);
			latest[i] = WALL(i)
		:: else -> started[i] = now
		fi;
		if
		:: gen[i] = 1
		:: gen[i] = 2
		fi }
	od
}

/* The caller's request at one entry. */
inline firstAttempt(e) {
	if
	:: dst[2 * e] = A
	:: dst[2 * e] = B
	fi;
	att[2 * e] = FLYING
}

inline hear(e, a) {
	if
	:: att[a] == SAY_NOT_RUN || (att[a] == FLYING && !up[dst[a]]) ->
		if
		:: KEPT(DROP_STICKY) && unsure[e] -> told[e] = SAY_UNKNOWN
		:: else -> told[e] = SAY_NOT_RUN; assert(!ran[e])
		fi;
		/* A connection that could not be made carries nothing later. */
		if
		:: att[a] == FLYING -> att[a] = DEAD
		:: else
		fi
	:: att[a] == SAY_RAN -> told[e] = SAY_RAN; assert(runs == 1)
	:: att[a] == SAY_UNKNOWN -> told[e] = SAY_UNKNOWN
	fi
}

proctype entry(byte e) {
	do
	:: atomic { told[e] == 0 && att[2 * e] == 0 -> firstAttempt(e) }
	:: atomic { told[e] == 0 && att[2 * e + 1] == 0 && att[2 * e] != 0 &&
		(att[2 * e] >= SAY_NOT_RUN && att[2 * e] <= SAY_UNKNOWN || att[2 * e] == FLYING && !up[dst[2 * e]]) ->
		hear(e, 2 * e); settleAll() }
	:: atomic { told[e] == 0 &&
		(att[2 * e + 1] >= SAY_NOT_RUN && att[2 * e + 1] <= SAY_UNKNOWN ||
			att[2 * e + 1] == FLYING && !up[dst[2 * e + 1]]) ->
		hear(e, 2 * e + 1); settleAll() }
	/* The answer of the first attempt is lost; the attempt itself may still
	 * arrive. The same agent is asked again. */
	:: atomic { told[e] == 0 && att[2 * e] != 0 && att[2 * e + 1] == 0 ->
		unsure[e] = true; dst[2 * e + 1] = dst[2 * e]; att[2 * e + 1] = FLYING; settleAll() }
	:: atomic { told[e] == 0 && att[2 * e + 1] != 0 -> told[e] = SAY_UNKNOWN; settleAll() }
	od
}

inline adopt(p, g) {
	assert(KEPT(DROP_ADOPT) || g >= gen[p]);
	if
	:: g > gen[p] || !KEPT(DROP_ADOPT) -> gen[p] = g
	:: else
	fi
}

/* Time, clocks and the delivery of documents, old and new. */
proctype world() {
	do
	:: atomic { now < TMAX -> now++ }
	:: atomic { byKey -> ahead[A] = 1 - ahead[A] }
	:: atomic { true -> adopt(0, 2) }
	:: atomic { true -> adopt(1, 2) }
	:: atomic { true -> adopt(0, 1) }
	:: atomic { true -> adopt(1, 1) }
	od
}

init {
	atomic {
		c_code { now.dropped = getenv("DROP") ? atoi(getenv("DROP")) : 0; };
		if
		:: byKey = true; made = 2
		:: byKey = true; made = 3
		:: byKey = false
		fi;
		run agent(A);
		run agent(B);
		run entry(0);
		run entry(1);
		run world()
	}
}
