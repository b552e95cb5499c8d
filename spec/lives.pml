/* Lives of a worker under one name (docs/design/platform.md, "Lives of a worker").
 *
 * One owner, one task and one worker that may start again once. The owner has sent a start to the first life and got no answer; the order may be
 * carried out late, by whichever life is there, since it names the worker only. The owner starts the task elsewhere when it holds the order for void.
 * Shown: the task never runs in two places.
 *
 * Broken variants, each of which has to be found out:
 *   BROKEN_LAPSE   the next life's entry is known, and the former one's leases count as lapsed by its own clock alone
 *   BROKEN_FENCE   a hold of the next life's counts without a higher token
 *   BROKEN_CARRY   the start is forgotten when the next life answers
 * What is not closed, and found out as well:
 *   OPEN_VOIDED    an order that is void on the first life is carried out by the next one
 *   OPEN_UNREAD    the next life carries an order out before its entry was read, or that was read too late
 */
#define NONE 9
#define LATE 3   /* how long after it was sent an order may be carried out */
#define LEASE 2
#define MAXT 8

byte t = 0;
byte life = 0;        /* that is there, or NONE */
byte until = 0;       /* the end of the lease there */
bool begun1 = false;  /* the next life has begun */
bool read1 = false;   /* its entry was read */
bool inTime = false;  /* and that before the task was started elsewhere */
bool cut = false;     /* the owner does not reach the worker */
bool loose = true;    /* the order may be carried out yet */
bool fenced[2];       /* a life has seen a higher token */
bool here = false, elsewhere = false;
bool listed = false;  /* the owner knows that the task runs here */
bool voided = false;   /* the owner holds the order for void */

inline carryOut() {
	d_step {
		loose = false;
		if
		:: !fenced[life] && !(life == 0 && t > LEASE) ->
			assert(!elsewhere);
			here = true;
			/* The deadline is by the clock of the first life. */
			if :: life == 0 -> until = LEASE :: else -> until = t + LEASE fi
		:: else
		fi
	}
}

active proctype world() {
	do
	:: d_step { t < MAXT ->
			t++;
			if :: here && t > until -> here = false :: else fi;
			if :: t > LATE -> loose = false :: else fi
		}
	:: d_step { life == 0 -> life = NONE; here = false }
	:: d_step { life == NONE && !begun1 -> life = 1; begun1 = true }
	:: d_step { begun1 && !read1 -> read1 = true; inTime = !elsewhere }
	:: cut = !cut
#ifdef OPEN_UNREAD
	:: atomic { loose && life != NONE -> carryOut() }
#else
	:: atomic { loose && (life == 0 || life == 1 && inTime) -> carryOut() }
#endif
	od
}

/* A hold with a higher token is answered by the life that is there. */
inline holdAnswered() {
	d_step {
		if
#ifdef BROKEN_FENCE
		:: life == 1
#endif
		:: else -> fenced[life] = true
		fi;
		if
		:: here -> listed = true
		:: else ->
			listed = false;
#ifndef OPEN_VOIDED
			if :: life == 0 -> loose = false :: else fi;
#endif
			voided = true
		fi
	}
}

#ifdef BROKEN_LAPSE
#define LAPSED (t > LEASE)
#else
#define LAPSED (read1 && t > LATE + LEASE || !read1 && t > LEASE)
#endif

active proctype owner() {
	do
	:: atomic { !elsewhere && !cut && life != NONE -> holdAnswered() }
#ifdef BROKEN_CARRY
	:: atomic { !elsewhere && !cut && life == 1 -> voided = true }
#endif
	:: d_step { !elsewhere && (voided || LAPSED && !listed) ->
			assert(!here);
			elsewhere = true
		}
	od
}
