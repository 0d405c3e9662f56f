/* Weights at one engine (docs/machines.md, Weights; lib/staging, loader).
 *
 * One loader gathers the pieces of two versions, puts them in place at
 * the engine and orders it to load what lies there. Pieces turn bad in place at
 * any time and are lost with the engine's power; a newer version may be wanted
 * at any time, and an earlier complete one is taken while the newest is not
 * here. The engine loads whatever lies in place.
 *
 * What turned bad after the loader began to look is not its fault. The
 * environment variable DROP holds the number of a rule to drop; model/run
 * expects an error for each.
 */

#define PIECES 2
#define VERSIONS 2
#define ROTS 1
#define LOSSES 1

#define NONE 0
#define BAD 9

/* The rules that can be dropped. */
#define DROP_CHECK 1
#define DROP_SAME 2
#define DROP_WORKER 3

#define KEPT(rule) (dropped != rule)

int dropped = 0;
byte wanted = 1;
bool complete[3];    /* all pieces of a version are here, each verified */
byte staged[PIECES];
bool rotten[PIECES]; /* turned bad since the last look */
byte rots = 0;
byte losses = 0;
bool working = false;

proctype Fetcher(byte v) { complete[v] = true }

/* Worker puts a version in place, looks at it, and gives the order. */
proctype Worker() {
  byte v, i;
  bool good;
again:
  if
  :: wanted >= 1 && complete[wanted] -> v = wanted
  :: wanted >= 2 && complete[wanted - 1] -> v = wanted - 1
  :: true -> goto done
  fi;
  if
  :: KEPT(DROP_WORKER) -> atomic { !working -> working = true }
  :: else -> skip
  fi;
  i = 0;
  do
  :: i < PIECES -> atomic { staged[i] = v; rotten[i] = false }; i++
  :: else -> break
  od;
  /* Any time may pass here: the engine waits for its turn. */
  i = 0; good = true;
  if
  :: KEPT(DROP_CHECK) ->
     do
     :: i < PIECES -> atomic { rotten[i] = false; good = good && (staged[i] == v) }; i++
     :: else -> break
     od
  :: else -> skip
  fi;
  if
  :: good ->
     atomic {
       if
       :: !KEPT(DROP_SAME) -> v = wanted
       :: else -> skip
       fi;
       i = 0;
       do
       :: i < PIECES -> assert(staged[i] == v || (KEPT(DROP_CHECK) && rotten[i])); i++
       :: else -> break
       od
     }
  :: else -> skip
  fi;
  if
  :: KEPT(DROP_WORKER) -> working = false
  :: else -> skip
  fi;
  if
  :: goto again
  :: goto done
  fi;
done:
  skip
}

proctype Operator() {
  do
  :: wanted < VERSIONS -> wanted++
  :: break
  od
}

/* Machine spoils what lies in place, or loses it with the power. */
proctype Machine() {
  do
  :: rots < ROTS -> atomic { rots++; staged[0] = BAD; rotten[0] = true }
  :: rots < ROTS -> atomic { rots++; staged[1] = BAD; rotten[1] = true }
  :: losses < LOSSES -> atomic { losses++; staged[0] = NONE; staged[1] = NONE; rotten[0] = true; rotten[1] = true }
  :: break
  od
}

init {
  c_code { char *drop = getenv("DROP"); if (drop) now.dropped = atoi(drop); };
  atomic {
    run Operator(); run Machine();
    run Fetcher(1); run Fetcher(2);
    run Worker(); run Worker()
  }
}
