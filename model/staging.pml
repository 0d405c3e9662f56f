/* Staging of weights at one engine (docs/machines.md, Weights; lib/staging, loader).
 *
 * One loader downloads the pieces of two versions, stores them at the engine and
 * orders the engine to load them. Stored pieces may become corrupt at any time and
 * are lost when the engine loses power. A newer version may become the desired one
 * at any time; until it is complete, an earlier complete version is used. The
 * engine loads whatever is stored.
 *
 * The loader need not detect that a piece becomes corrupt after it verified that
 * piece. The environment variable DROP is the number of a rule to drop; model/run
 * expects an error for each.
 */

#define PIECES 2   /* pieces of a version */
#define VERSIONS 2 /* versions, numbered from 1 */
#define ROTS 1     /* the maximum number of pieces that become corrupt */
#define LOSSES 1   /* the maximum number of power losses */

/* Values of staged for a missing and for a corrupt piece. */
#define NONE 0
#define BAD 9

/* The numbers of the rules that can be dropped. */
#define DROP_CHECK 1
#define DROP_SAME 2
#define DROP_WORKER 3

#define KEPT(rule) (dropped != rule)

int dropped = 0;
byte wanted = 1;     /* the desired version */
bool complete[3];    /* whether the loader has all pieces of a version, verified */
byte staged[PIECES]; /* the version of the piece stored at the engine, or NONE or BAD */
bool rotten[PIECES]; /* whether a piece was damaged since it was last stored or verified */
byte rots = 0;
byte losses = 0;
bool working = false; /* whether a worker is active */

/* Fetcher downloads a version. */
proctype Fetcher(byte v) { complete[v] = true }

/* Worker stores a version at the engine, verifies it and orders the engine to load
 * it. */
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
  /* Any time may pass here, while the engine waits for its update slot. */
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

/* Operator publishes newer versions. */
proctype Operator() {
  do
  :: wanted < VERSIONS -> wanted++
  :: break
  od
}

/* Machine corrupts a stored piece, or loses all stored pieces in a power loss. */
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
