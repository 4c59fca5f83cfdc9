/**
 * @file fast_share.h
 * Shares the capacity of fast servers between accounts: ranks the accounts by
 * how much of it their running tasks use. Does no I/O and reads no clock.
 */
#ifndef MT_DAG_FAST_SHARE_H
#define MT_DAG_FAST_SHARE_H

/**
 * What accounts use of the fast servers of one service. A server counts with
 * its cores, multiplied by the part of its speed above that of the median
 * server; so do the cores that tasks use there.
 */
typedef struct mt_fast_share_t mt_fast_share_t;

mt_fast_share_t *mt_fast_share_new(void);
void mt_fast_share_free(mt_fast_share_t *share);

/**
 * Adds the capacity of a server.
 * @param speed 1: as the median server
 * @param cores see mt_dag_resources_cores()
 */
void mt_fast_share_add_server(mt_fast_share_t *share, double speed,
			      double cores);

/**
 * Adds an account that takes part, if it is not known yet.
 * @param account must remain valid while the share is in use
 */
void mt_fast_share_add_account(mt_fast_share_t *share, char *account);

/** Adds a task of the account that runs on a server of this speed. */
void mt_fast_share_add_task(mt_fast_share_t *share, char *account, double speed,
			    double cores);

/** Computes the levels from all that was added. */
void mt_fast_share_rank(mt_fast_share_t *share);

/**
 * Level of the account: 0 for those that use least of the fast servers, and for
 * unknown ones. Accounts that use about the same are of one level.
 */
unsigned mt_fast_share_level(const mt_fast_share_t *share, const char *account);

#endif
