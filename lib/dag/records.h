/**
 * @file records.h
 * Keys and values of the records that Mimosaturn keeps in the store. One topic
 * holds the records of jobs, which gives them a total order. Only the leader
 * and the standbys read it. Another topic, which all hosts read, tells who
 * these are.
 */
#ifndef MT_DAG_RECORDS_H
#define MT_DAG_RECORDS_H

#include "dag/backend_port.h"
#include "dag/dag.pb-c.h"
#include "kernel/shared_name.h"

/** Topic of the records of jobs. */
#define MT_RECORDS_TOPIC "keyed.mimosaturn"

/** Topic of the records of leaders, standbys and hosts. */
#define MT_LEADERS_TOPIC "keyed.mimosaturn-leaders"

/**
 * Producer name of the leader's appends to both topics. Their epoch is the
 * leader's term.
 */
#define MT_SCHEDULER_PRODUCER "scheduler"

/** Kind of a record. The enumerators are the first characters of the keys. */
typedef enum mt_record_kind_t {
	MT_RECORD_JOB = 'a',	  /**< an accepted job */
	MT_RECORD_CANCEL = 'c',	  /**< the cancellation of a job */
	MT_RECORD_PROGRESS = 'p', /**< job progress, written by the leader */
	/** Claim, heartbeat or release of the leadership. In the topic of jobs:
	 * the begin of a term, see write_fence() in host.c. */
	MT_RECORD_LEADER = 'l',
	MT_RECORD_HOST = 'h',	 /**< a host and its size in cores */
	MT_RECORD_STANDBY = 's', /**< a standby, see slots.h */
	MT_RECORD_RELAY = 'r',	 /**< the relay of a data centre, see slots.h */
	MT_RECORD_SPEEDS = 'v',	 /**< speeds of servers, see speed.h */
} mt_record_kind_t;

/**
 * Values of cancel records: a client has cancelled the job, or its submission
 * was refused (refusals.h).
 */
#define MT_CANCEL_BY_CLIENT "1"
#define MT_CANCEL_REFUSED "r"

/** Hexadecimal digits of a job id. */
#define MT_JOB_ID_DIGITS 16

/**
 * Key of a record: its kind, MT_JOB_ID_DIGITS hexadecimal digits, and a
 * terminating zero. The digits are the job id; in the key of a host record they
 * are a hash of the host's name, in that of a standby record the number of its
 * slot, in that of a relay record a hash of the name of its data centre, and in
 * that of the leader record 0.
 */
typedef struct mt_record_key_t {
	char text[MT_JOB_ID_DIGITS + 2];
} mt_record_key_t;

/**
 * Makes the key of a record. `job` is ignored for MT_RECORD_LEADER. For a host
 * record, mt_record_host_key() is used.
 */
mt_record_key_t mt_record_key(mt_record_kind_t kind, uint64_t job);

/** Makes the key of a host record from a hash of the host's name. */
mt_record_key_t mt_record_host_key(mt_shared_name_t host);

/**
 * Splits a key into kind and job id. For MT_RECORD_HOST, `job` receives the
 * hash of the host's name.
 * @return false when this is not a key of a Mimosaturn record
 */
bool mt_record_parse_key(mt_str_t key, mt_record_kind_t *kind, uint64_t *job);

/** Parses an id of exactly MT_JOB_ID_DIGITS lower-case hexadecimal digits. */
bool mt_record_parse_job_id(mt_str_t text, uint64_t *id);

/**
 * Parses the id of a job as a client writes it: MT_JOB_ID_DIGITS hexadecimal
 * digits. Texts that differ are different ids, also where only the case of
 * their letters differs: the id of a text with capital letters is a hash of it.
 */
bool mt_record_parse_client_id(mt_str_t text, uint64_t *id,
			       mt_job_spelling_t *spelling);

/** An id as text, with a terminating zero. */
typedef struct mt_job_id_text_t {
	char text[MT_JOB_ID_DIGITS + 1];
} mt_job_id_text_t;

/** The id as the client writes it. */
mt_job_id_text_t mt_record_client_id(uint64_t id,
				     const mt_job_spelling_t *spelling);

/** The spelling of a job's id, from its record. */
mt_job_spelling_t mt_record_spelling(const MtDag__Job *job);

/** True for a record of a job, its cancellation or its progress. */
bool mt_record_is_of_job(mt_record_kind_t kind);

/** Serializes a message; the result is freed with g_bytes_unref(). */
GBytes *mt_dag_pack(const ProtobufCMessage *message);

/** Returns a view of the data of `bytes`, valid as long as `bytes`. */
mt_str_t mt_bytes_view(GBytes *bytes);

#endif
