/**
 * @file test_front.c
 * Tests of the replies to clients while the store does not answer, and of calls
 * that hosts without the records of jobs pass on.
 */
#include <CUnit/Basic.h>

#include "dag/front.h"
#include "dag/job_model.h"
#include "unit/tests.h"

#define JOB_ID "00000000000000a1"

/** A store whose calls stay pending until the test answers them. */
typedef struct mt_unresponsive_store_t {
	mt_store_port_t port;
	GArray *calls; /**< mt_pending_call_t, oldest first */
	/** The pending append: its records, as the keys with a space each. */
	GString *append_keys;
	GBytes *last_value;    /**< of its last record; NULL: none */
	unsigned n_appends;    /**< number of appends so far */
	uint64_t expected_end; /**< condition of the pending append */
	mt_store_append_cb append_cb;
	void *append_ctx;
} mt_unresponsive_store_t;

typedef struct mt_pending_call_t {
	mt_store_page_cb cb;
	void *ctx;
} mt_pending_call_t;

static void add_call(mt_unresponsive_store_t *store, mt_store_page_cb cb,
		     void *ctx)
{
	mt_pending_call_t call = {cb, ctx};

	g_array_append_val(store->calls, call);
}

static void defer_read(void *self, const char *topic, uint64_t from,
		       mt_ms_t wait_ms, mt_ms_t timeout_ms, mt_store_page_cb cb,
		       void *ctx)
{
	add_call(self, cb, ctx);
}

static void defer_newest(void *self, const char *topic, mt_str_t after_key,
			 mt_ms_t timeout_ms, mt_store_page_cb cb, void *ctx)
{
	add_call(self, cb, ctx);
}

static void defer_append(void *self, const mt_store_append_t *append,
			 mt_store_append_cb cb, void *ctx)
{
	mt_unresponsive_store_t *store = self;

	store->n_appends++;
	store->expected_end = append->expected_end;
	store->append_cb = cb;
	store->append_ctx = ctx;
	g_string_truncate(store->append_keys, 0);
	g_clear_pointer(&store->last_value, g_bytes_unref);
	if (append->count)
		store->last_value = g_bytes_new(
			append->records[append->count - 1].value.data,
			append->records[append->count - 1].value.len);
	for (size_t i = 0; i < append->count; i++)
		g_string_append_printf(store->append_keys, "%.*s ",
				       (int)append->records[i].key.len,
				       append->records[i].key.data);
}

static void answer_append(mt_unresponsive_store_t *store,
			  mt_store_result_t result)
{
	mt_store_append_cb cb = store->append_cb;

	g_assert(cb);
	store->append_cb = NULL;
	cb(store->append_ctx, result, 0);
}

static void answer_oldest(mt_unresponsive_store_t *store,
			  mt_store_result_t result)
{
	mt_pending_call_t call =
		g_array_index(store->calls, mt_pending_call_t, 0);
	mt_store_page_t page = {.result = result};

	g_array_remove_index(store->calls, 0);
	call.cb(call.ctx, &page);
}

/** A call that was passed on to another host. */
typedef struct mt_pending_peer_call_t {
	uint16_t port; /**< of the host */
	uint32_t verb;
	uint64_t job;
	mt_peer_cb cb;
	void *ctx;
} mt_pending_peer_call_t;

typedef struct mt_front_fixture_t {
	mt_timers_t *timers;
	mt_kernel_t *kernel;
	mt_unresponsive_store_t store;
	mt_catalog_t *catalog;
	mt_dag_front_deps_t deps;
	mt_follower_t *records_follower;
	mt_dag_front_t *front;
	/** Number of hosts to which calls can be passed on. */
	unsigned n_informed;
	mt_peer_port_t peers;
	GArray *peer_calls; /**< mt_pending_peer_call_t, oldest first */
	unsigned replies;
	mt_front_reply_t reply;
} mt_front_fixture_t;

static void ignore_record(void *ctx, const mt_store_record_t *record)
{
}

static mt_follower_t *new_follower(mt_front_fixture_t *fixture)
{
	mt_follower_handler_t handler = {fixture, ignore_record, NULL, NULL};

	return mt_follower_new(fixture->kernel, &fixture->store.port, "topic",
			       1000, &handler);
}

static mt_writer_t *new_writer(mt_front_fixture_t *fixture)
{
	mt_writer_deps_t deps = {0};

	deps.kernel = fixture->kernel;
	deps.store = &fixture->store.port;
	deps.topic = "topic";
	deps.producer = "test";
	deps.epoch = 1;
	return mt_writer_new(&deps);
}

/** The leader has port 1, standbys have the next ones. */
static unsigned list_informed(void *ctx, mt_endpoint_t *endpoints)
{
	const mt_front_fixture_t *fixture = ctx;

	for (unsigned i = 0; i < fixture->n_informed; i++)
		endpoints[i] =
			(mt_endpoint_t){mt_name("host"), (uint16_t)(i + 1)};
	return fixture->n_informed;
}

static void keep_peer_call(void *self, const mt_endpoint_t *host,
			   const MtDag__PeerCall *call, mt_peer_cb cb,
			   void *ctx)
{
	mt_front_fixture_t *fixture = self;
	mt_pending_peer_call_t pending = {host->port, call->verb, call->job, cb,
					  ctx};

	g_array_append_val(fixture->peer_calls, pending);
}

/** Lets a host answer the oldest call that was passed on. */
static mt_pending_peer_call_t answer_peer(mt_front_fixture_t *fixture,
					  const MtDag__PeerReply *reply)
{
	mt_pending_peer_call_t call =
		g_array_index(fixture->peer_calls, mt_pending_peer_call_t, 0);

	g_array_remove_index(fixture->peer_calls, 0);
	call.cb(call.ctx, reply);
	return call;
}

static mt_catalog_t *make_catalog(void)
{
	mt_catalog_t *catalog = mt_catalog_new(1);
	mt_queue_t *queue = mt_catalog_add_queue(catalog);

	queue->name = mt_shared_name("urgent");
	queue->url_host = mt_shared_name("jobs.example");
	queue->path_prefix = g_strdup("/urgent/");
	queue->service = mt_shared_name("service");
	queue->needs_no_key = true;
	return catalog;
}

/** Makes a front end that knows one job, from records 100 ms old. */
static void set_up(mt_front_fixture_t *fixture)
{
	MtDag__Job job = MT_DAG__JOB__INIT;
	mt_record_key_t key = mt_record_key(MT_RECORD_JOB, 0xa1);
	mt_store_record_t record = {mt_str_from(key.text), {0}, 1};
	GBytes *bytes;

	*fixture = (mt_front_fixture_t){0};
	fixture->timers = mt_timers_new(1000);
	fixture->kernel = mt_kernel_new("test", fixture->timers, 1);
	fixture->store.calls =
		g_array_new(FALSE, FALSE, sizeof(mt_pending_call_t));
	fixture->store.append_keys = g_string_new(NULL);
	fixture->store.port = (mt_store_port_t){
		&fixture->store, defer_append, defer_read, defer_newest, 0, 0};
	fixture->deps.kernel = fixture->kernel;
	fixture->deps.table = mt_table_new(fixture->kernel);
	fixture->deps.writer = new_writer(fixture);
	fixture->records_follower = new_follower(fixture);
	fixture->deps.config_follower = new_follower(fixture);
	fixture->deps.config_age_max_ms = 2500;
	fixture->peers = (mt_peer_port_t){fixture, keep_peer_call, NULL};
	fixture->peer_calls =
		g_array_new(FALSE, FALSE, sizeof(mt_pending_peer_call_t));
	fixture->deps.peers = &fixture->peers;
	fixture->deps.list_informed = list_informed;
	fixture->deps.list_informed_ctx = fixture;
	answer_oldest(&fixture->store, MT_STORE_DONE);
	answer_oldest(&fixture->store, MT_STORE_DONE);
	job.id = 0xa1;
	job.queue = (char *)"urgent";
	bytes = mt_dag_pack(&job.base);
	record.value = mt_bytes_view(bytes);
	mt_table_apply(fixture->deps.table, &record);
	g_bytes_unref(bytes);
	fixture->catalog = make_catalog();
	fixture->front = mt_dag_front_new(&fixture->deps);
	mt_dag_front_set_catalog(fixture->front, fixture->catalog);
	mt_dag_front_set_records(fixture->front, fixture->records_follower);
	mt_timers_advance(fixture->timers, 1100);
}

static void tear_down(mt_front_fixture_t *fixture)
{
	mt_follower_stop(fixture->records_follower);
	mt_follower_stop(fixture->deps.config_follower);
	mt_writer_close(fixture->deps.writer);
	if (fixture->store.append_cb)
		answer_append(&fixture->store, MT_STORE_REFUSED);
	while (fixture->store.calls->len)
		answer_oldest(&fixture->store, MT_STORE_REFUSED);
	g_array_unref(fixture->store.calls);
	g_string_free(fixture->store.append_keys, TRUE);
	g_clear_pointer(&fixture->store.last_value, g_bytes_unref);
	g_array_unref(fixture->peer_calls);
	mt_table_free(fixture->deps.table);
	mt_catalog_free(fixture->catalog);
	mt_dag_front_free(fixture->front);
	mt_kernel_free(fixture->kernel);
	mt_timers_free(fixture->timers);
}

static void keep_reply(void *ctx, const mt_front_reply_t *reply)
{
	mt_front_fixture_t *fixture = ctx;

	fixture->replies++;
	fixture->reply = *reply;
}

static void send_call(mt_front_fixture_t *fixture, mt_verb_t verb)
{
	mt_front_call_t call = {0};

	call.verb = verb;
	call.url_host = MT_STR("jobs.example");
	call.path = MT_STR("/urgent/" JOB_ID);
	call.timeout_ms = 1000;
	mt_dag_front_call(fixture->front, &call, keep_reply, fixture);
}

static void show(mt_front_fixture_t *fixture)
{
	send_call(fixture, MT_VERB_SHOW);
}

/** Makes a front end of a host without the records of jobs. */
static void set_up_without_records(mt_front_fixture_t *fixture,
				   unsigned n_informed)
{
	set_up(fixture);
	mt_dag_front_set_records(fixture->front, NULL);
	mt_table_clear(fixture->deps.table);
	fixture->n_informed = n_informed;
}

/**
 * The read that would update the state of the job is not answered within the
 * client's time-out of 1 s: the last known state is shown.
 */
static void a_known_job_is_shown_while_the_store_does_not_answer(void)
{
	mt_front_fixture_t fixture;

	set_up(&fixture);
	show(&fixture);
	CU_ASSERT_EQUAL(fixture.replies, 0);
	mt_timers_advance(fixture.timers, 2100);
	CU_ASSERT_EQUAL(fixture.replies, 1);
	CU_ASSERT_EQUAL(fixture.reply.outcome, MT_FRONT_OUTCOME_STATE);
	CU_ASSERT_EQUAL(fixture.reply.state, MT_DAG__STATE__QUEUED);
	tear_down(&fixture);
	CU_ASSERT_EQUAL(fixture.replies, 1);
}

/**
 * The records are 1.5 s old. From an age of 1 s on (SHOW_UPDATE_AGE_MAX_MS),
 * the store is assumed to be unreachable, and the known state is shown without
 * waiting for a read.
 */
static void a_known_job_is_shown_at_once_after_a_long_outage(void)
{
	mt_front_fixture_t fixture;

	set_up(&fixture);
	mt_timers_advance(fixture.timers, 2500);
	show(&fixture);
	CU_ASSERT_EQUAL(fixture.replies, 1);
	CU_ASSERT_EQUAL(fixture.reply.outcome, MT_FRONT_OUTCOME_STATE);
	tear_down(&fixture);
}

/** The leader does not answer; the call goes on to a standby. */
static void a_call_is_passed_on_to_the_next_host(void)
{
	mt_front_fixture_t fixture;
	MtDag__PeerReply reply = MT_DAG__PEER_REPLY__INIT;
	mt_pending_peer_call_t call;

	set_up_without_records(&fixture, 2);
	show(&fixture);
	call = answer_peer(&fixture, NULL);
	CU_ASSERT_EQUAL(call.port, 1);
	CU_ASSERT_EQUAL(call.verb, MT_VERB_SHOW);
	CU_ASSERT_EQUAL(call.job, 0xa1);
	CU_ASSERT_EQUAL(fixture.replies, 0);
	reply.outcome = MT_FRONT_OUTCOME_STATE;
	reply.state = MT_DAG__STATE__COMPLETED;
	call = answer_peer(&fixture, &reply);
	CU_ASSERT_EQUAL(call.port, 2);
	CU_ASSERT_EQUAL(fixture.replies, 1);
	CU_ASSERT_EQUAL(fixture.reply.outcome, MT_FRONT_OUTCOME_STATE);
	CU_ASSERT_EQUAL(fixture.reply.state, MT_DAG__STATE__COMPLETED);
	tear_down(&fixture);
}

/**
 * Pattern: a hand-over of the leadership. No host has the records for a while;
 * the call is passed on again until one does.
 */
static void a_call_waits_for_a_new_leader(void)
{
	mt_front_fixture_t fixture;
	MtDag__PeerReply reply = MT_DAG__PEER_REPLY__INIT;

	set_up_without_records(&fixture, 0);
	show(&fixture);
	CU_ASSERT_EQUAL(fixture.peer_calls->len, 0);
	fixture.n_informed = 1;
	mt_timers_advance(fixture.timers, 1200);
	reply.outcome = MT_FRONT_OUTCOME_NOT_DONE;
	answer_peer(&fixture, &reply);
	CU_ASSERT_EQUAL(fixture.replies, 0);
	mt_timers_advance(fixture.timers, 1300);
	reply.outcome = MT_FRONT_OUTCOME_NO_JOB;
	answer_peer(&fixture, &reply);
	CU_ASSERT_EQUAL(fixture.reply.outcome, MT_FRONT_OUTCOME_NO_JOB);
	tear_down(&fixture);
}

/**
 * The client's time-out is reached. A call that only asks for a state can be
 * repeated; a cancellation without an answer may have been carried out.
 */
static void a_cancellation_without_an_answer_is_unknown(void)
{
	mt_front_fixture_t fixture;

	set_up_without_records(&fixture, 1);
	show(&fixture);
	answer_peer(&fixture, NULL);
	mt_timers_advance(fixture.timers, 2100);
	CU_ASSERT_EQUAL(fixture.reply.outcome, MT_FRONT_OUTCOME_NOT_DONE);
	while (fixture.peer_calls->len)
		answer_peer(&fixture, NULL);
	mt_timers_advance(fixture.timers, 2200);
	send_call(&fixture, MT_VERB_CANCEL);
	answer_peer(&fixture, NULL);
	mt_timers_advance(fixture.timers, 3300);
	CU_ASSERT_EQUAL(fixture.reply.outcome, MT_FRONT_OUTCOME_UNKNOWN);
	while (fixture.peer_calls->len)
		answer_peer(&fixture, NULL);
	mt_timers_advance(fixture.timers, 3400);
	CU_ASSERT_EQUAL(fixture.replies, 2);
	tear_down(&fixture);
}

static void send_peer_call(mt_front_fixture_t *fixture)
{
	MtDag__PeerCall call = MT_DAG__PEER_CALL__INIT;

	call.verb = MT_VERB_SHOW;
	call.job = 0xa1;
	mt_dag_front_peer_call(fixture->front, &call, keep_reply, fixture);
}

/** A host that is no standby any more must not say that a job is unknown. */
static void a_host_without_records_answers_no_other_host(void)
{
	mt_front_fixture_t fixture;

	set_up_without_records(&fixture, 1);
	send_peer_call(&fixture);
	CU_ASSERT_EQUAL(fixture.reply.outcome, MT_FRONT_OUTCOME_NOT_DONE);
	CU_ASSERT_EQUAL(fixture.peer_calls->len, 0);
	tear_down(&fixture);
}

/**
 * A standby whose copy of the records cannot be updated does not show an
 * unfinished job to another host: the leader may have shown its end already.
 */
static void an_outdated_standby_shows_no_unfinished_job(void)
{
	mt_front_fixture_t fixture;

	set_up(&fixture);
	mt_timers_advance(fixture.timers, 2500);
	send_peer_call(&fixture);
	CU_ASSERT_EQUAL(fixture.replies, 0);
	mt_timers_advance(fixture.timers, 3500);
	CU_ASSERT_EQUAL(fixture.replies, 1);
	CU_ASSERT_EQUAL(fixture.reply.outcome, MT_FRONT_OUTCOME_UNKNOWN);
	tear_down(&fixture);
}

/**
 * A reply of another host with values that do not exist is treated like no
 * reply: the call goes on to the next host.
 */
static void a_malformed_reply_of_another_host_is_ignored(void)
{
	mt_front_fixture_t fixture;
	MtDag__PeerReply reply = MT_DAG__PEER_REPLY__INIT;

	set_up_without_records(&fixture, 3);
	show(&fixture);
	reply.outcome = 99;
	answer_peer(&fixture, &reply);
	reply.outcome = MT_FRONT_OUTCOME_STATE;
	reply.state = (MtDag__State)99;
	answer_peer(&fixture, &reply);
	CU_ASSERT_EQUAL(fixture.replies, 0);
	reply.state = MT_DAG__STATE__ACTIVE;
	answer_peer(&fixture, &reply);
	CU_ASSERT_EQUAL(fixture.replies, 1);
	CU_ASSERT_EQUAL(fixture.reply.state, MT_DAG__STATE__ACTIVE);
	tear_down(&fixture);
}

/** Cancels the job with this id, at a host with the records of all jobs. */
static void cancel(mt_front_fixture_t *fixture, uint64_t id)
{
	MtDag__PeerCall call = MT_DAG__PEER_CALL__INIT;

	call.verb = MT_VERB_CANCEL;
	call.job = id;
	mt_dag_front_peer_call(fixture->front, &call, keep_reply, fixture);
}

/** Answers the last read, so that the host's copy is up to date. */
static void catch_up(mt_front_fixture_t *fixture)
{
	guint last = fixture->store.calls->len - 1;
	mt_pending_call_t call =
		g_array_index(fixture->store.calls, mt_pending_call_t, last);
	mt_store_page_t page = {.result = MT_STORE_DONE};

	g_array_remove_index(fixture->store.calls, last);
	call.cb(call.ctx, &page);
}

static void run_timers(mt_front_fixture_t *fixture, mt_ms_t ms)
{
	mt_timers_advance(fixture->timers, mt_timers_now(fixture->timers) + ms);
}

/**
 * Guards against: a job runs after its cancelling was answered with "no such
 * job", since another host was still trying to store it (UNASKED).
 */
static void a_cancellation_of_an_unknown_job_is_stored_first(void)
{
	mt_front_fixture_t fixture;

	set_up(&fixture);
	cancel(&fixture, 0xb2);
	catch_up(&fixture);
	run_timers(&fixture, 0);
	CU_ASSERT_EQUAL(fixture.replies, 0);
	CU_ASSERT_STRING_EQUAL_FATAL(fixture.store.append_keys->str,
				     "c00000000000000b2 ");
	answer_append(&fixture.store, MT_STORE_DONE);
	CU_ASSERT_EQUAL(fixture.replies, 1);
	CU_ASSERT_EQUAL(fixture.reply.outcome, MT_FRONT_OUTCOME_NO_JOB);
	tear_down(&fixture);
}

/** The cancellation may have been stored: the client is not told that it was,
 * nor that there is no such job. */
static void a_cancellation_with_a_lost_write_is_unknown(void)
{
	mt_front_fixture_t fixture;

	set_up(&fixture);
	cancel(&fixture, 0xb2);
	catch_up(&fixture);
	run_timers(&fixture, 0);
	answer_append(&fixture.store, MT_STORE_UNKNOWN);
	run_timers(&fixture, 1000);
	CU_ASSERT_EQUAL(fixture.replies, 1);
	CU_ASSERT_EQUAL(fixture.reply.outcome, MT_FRONT_OUTCOME_UNKNOWN);
	tear_down(&fixture);
}

/** Cancellations of jobs that never existed cost few calls to the store. */
static void cancellations_of_unknown_jobs_share_calls(void)
{
	mt_front_fixture_t fixture;
	guint reads;

	set_up(&fixture);
	reads = fixture.store.calls->len;
	for (uint64_t id = 0x100; id < 0x200; id++)
		cancel(&fixture, id);
	CU_ASSERT_EQUAL(fixture.store.calls->len - reads, 1);
	catch_up(&fixture);
	run_timers(&fixture, 20);
	CU_ASSERT_EQUAL(fixture.store.calls->len - reads, 1);
	catch_up(&fixture);
	CU_ASSERT_EQUAL(fixture.store.n_appends, 1);
	answer_append(&fixture.store, MT_STORE_DONE);
	run_timers(&fixture, 100);
	CU_ASSERT_EQUAL(fixture.store.n_appends, 2);
	answer_append(&fixture.store, MT_STORE_DONE);
	CU_ASSERT_EQUAL(fixture.replies, 0x100);
	tear_down(&fixture);
}

/** Applies the record of a cancellation, as if it had been read back. */
static void apply_cancel(mt_front_fixture_t *fixture, uint64_t id)
{
	mt_record_key_t key = mt_record_key(MT_RECORD_CANCEL, id);
	mt_store_record_t record = {mt_str_from(key.text), MT_STR("1"), 2};

	mt_table_apply(fixture->deps.table, &record);
}

/** A cancellation that is stored already is not stored again. */
static void a_stored_cancellation_is_answered_at_once(void)
{
	mt_front_fixture_t fixture;

	set_up(&fixture);
	apply_cancel(&fixture, 0xb2);
	cancel(&fixture, 0xb2);
	catch_up(&fixture);
	CU_ASSERT_EQUAL(fixture.reply.outcome, MT_FRONT_OUTCOME_NO_JOB);
	run_timers(&fixture, 200);
	CU_ASSERT_EQUAL(fixture.store.n_appends, 0);
	tear_down(&fixture);
}

/** The memory for cancellations of jobs that never existed is limited. */
static void too_many_cancellations_of_unknown_jobs_are_refused(void)
{
	mt_front_fixture_t fixture;

	set_up(&fixture);
	for (uint64_t id = 1; id <= 10000; id++)
		apply_cancel(&fixture, id << 16);
	cancel(&fixture, 0xb2);
	catch_up(&fixture);
	CU_ASSERT_EQUAL(fixture.reply.outcome, MT_FRONT_OUTCOME_NOT_DONE);
	CU_ASSERT_TRUE(fixture.reply.retry_after_s > 0);
	tear_down(&fixture);
}

/** Decodes each body to the same job, with one step. */
static MtDag__Job *decode_any_job(mt_str_t body)
{
	MtDag__Job job = MT_DAG__JOB__INIT;
	MtDag__Step step = MT_DAG__STEP__INIT;
	MtDag__Step *steps[] = {&step};
	GBytes *bytes;
	mt_str_t view;
	MtDag__Job *copy;

	(void)body;
	step.count = 1;
	job.n_steps = 1;
	job.steps = steps;
	bytes = mt_dag_pack(&job.base);
	view = mt_bytes_view(bytes);
	copy = mt_dag__job__unpack(NULL, view.len, (const uint8_t *)view.data);
	g_bytes_unref(bytes);
	return copy;
}

/**
 * Guards against: a host accepts a job whose record the store does not take,
 * repeats the append for ever, and answers no later call (UNASKED).
 */
static void a_job_that_cannot_be_stored_is_refused_at_once(void)
{
	mt_front_fixture_t fixture;

	set_up_without_records(&fixture, 0);
	fixture.deps.decode_job = decode_any_job;
	fixture.deps.record_max_bytes = 20;
	mt_dag_front_free(fixture.front);
	fixture.front = mt_dag_front_new(&fixture.deps);
	mt_dag_front_set_catalog(fixture.front, fixture.catalog);
	send_call(&fixture, MT_VERB_SUBMIT);
	CU_ASSERT_EQUAL(fixture.reply.outcome, MT_FRONT_OUTCOME_BAD_REQUEST);
	CU_ASSERT_EQUAL(fixture.store.n_appends, 0);
	tear_down(&fixture);
}

/** Makes the front end again, which then decodes each body as a job. */
static void accept_jobs(mt_front_fixture_t *fixture)
{
	fixture->deps.decode_job = decode_any_job;
	mt_dag_front_free(fixture->front);
	fixture->front = mt_dag_front_new(&fixture->deps);
	mt_dag_front_set_catalog(fixture->front, fixture->catalog);
}

/**
 * Guards against: a leader that comes after the queue was removed does not know
 * that it needs tickets, and each start is rejected for want of one (LOST).
 */
static void a_job_keeps_that_its_queue_needs_tickets(void)
{
	mt_front_fixture_t fixture;
	mt_queue_t *queue;
	mt_dag_job_t *job;
	mt_str_t value;

	set_up_without_records(&fixture, 0);
	queue = fixture.catalog->queues->pdata[0];
	queue->advised = true;
	queue->decision_ms = 70;
	queue->per_server_ms = 3;
	accept_jobs(&fixture);
	send_call(&fixture, MT_VERB_SUBMIT);
	value = mt_bytes_view(fixture.store.last_value);
	job = mt_dag_job_new(mt_dag__job__unpack(NULL, value.len,
						 (const uint8_t *)value.data),
			     1000);
	CU_ASSERT_TRUE(job->queue.advised);
	CU_ASSERT_EQUAL(job->queue.decision_ms, 70);
	CU_ASSERT_EQUAL(job->queue.per_server_ms, 3);
	mt_dag_job_free(job);
	answer_append(&fixture.store, MT_STORE_DONE);
	CU_ASSERT_EQUAL(fixture.reply.outcome, MT_FRONT_OUTCOME_ACCEPTED);
	tear_down(&fixture);
}

/**
 * Guards against: a job for which there is no memory is stored, or refused
 * without a time to come back.
 */
static void a_job_beyond_the_memory_is_refused_unstored(void)
{
	mt_front_fixture_t fixture;
	mt_memory_budget_t budget = {0};

	set_up_without_records(&fixture, 0);
	fixture.deps.memory_budget = &budget;
	accept_jobs(&fixture);
	mt_memory_budget_on_host(&budget, 120, 1);
	mt_memory_budget_on_leader(&budget,
				   mt_memory_budget_max_bytes(&budget));
	send_call(&fixture, MT_VERB_SUBMIT);
	CU_ASSERT_EQUAL(fixture.reply.outcome, MT_FRONT_OUTCOME_NOT_DONE);
	CU_ASSERT_TRUE(fixture.reply.retry_after_s >= 5);
	CU_ASSERT_EQUAL(fixture.store.n_appends, 0);
	mt_memory_budget_on_leader(&budget, 1);
	send_call(&fixture, MT_VERB_SUBMIT);
	CU_ASSERT_EQUAL(fixture.store.n_appends, 1);
	CU_ASSERT_TRUE(budget.accepted_bytes > 0);
	answer_append(&fixture.store, MT_STORE_DONE);
	CU_ASSERT_EQUAL(fixture.reply.outcome, MT_FRONT_OUTCOME_ACCEPTED);
	tear_down(&fixture);
}

/* Refusals for lack of capacity. */

/** A service with so much waiting work that each job is refused. */
typedef struct mt_full_service_t {
	MtDag__Pressure message;
	MtDag__PriorityLoad load;
	MtDag__PriorityLoad *loads[1];
	mt_ms_t age_ms; /**< of the summary */
} mt_full_service_t;

static const MtDag__Pressure *full_service(void *ctx, const char *service,
					   mt_ms_t *age_ms)
{
	mt_full_service_t *full = ctx;

	CU_ASSERT_STRING_EQUAL(service, "service");
	*age_ms = full->age_ms;
	return &full->message;
}

/** Lets the front end refuse jobs; the waiting work takes 100 s. */
static void refuse_all(mt_front_fixture_t *fixture, mt_full_service_t *full)
{
	bool has_records =
		fixture->deps.table && mt_table_size(fixture->deps.table);

	*full = (mt_full_service_t){0};
	mt_dag__pressure__init(&full->message);
	mt_dag__priority_load__init(&full->load);
	full->load.waiting_core_ms = 100000000;
	full->load.drained_core_ms_per_s = 1000000;
	full->loads[0] = &full->load;
	full->message.capacity_millicores = 1000000;
	full->message.n_loads = 1;
	full->message.loads = full->loads;
	fixture->deps.decode_job = decode_any_job;
	fixture->deps.store = &fixture->store.port;
	fixture->deps.incarnation = mt_name("host-1");
	fixture->deps.admission_mode = MT_ADMISSION_REFUSES;
	fixture->deps.pressure = full_service;
	fixture->deps.pressure_ctx = full;
	fixture->deps.config_age_max_ms = 100000;
	mt_dag_front_free(fixture->front);
	fixture->front = mt_dag_front_new(&fixture->deps);
	mt_dag_front_set_catalog(fixture->front, fixture->catalog);
	if (has_records)
		mt_dag_front_set_records(fixture->front,
					 fixture->records_follower);
}

static void submit(mt_front_fixture_t *fixture, const char *path)
{
	mt_front_call_t call = {0};

	call.verb = MT_VERB_SUBMIT;
	call.url_host = MT_STR("jobs.example");
	call.path = mt_str_from(path);
	call.timeout_ms = 2000;
	mt_dag_front_call(fixture->front, &call, keep_reply, fixture);
}

/** Answers the oldest call that was passed on, with this outcome. */
static mt_pending_peer_call_t answer_outcome(mt_front_fixture_t *fixture,
					     mt_front_outcome_t outcome)
{
	MtDag__PeerReply reply = MT_DAG__PEER_REPLY__INIT;

	CU_ASSERT_TRUE_FATAL(fixture->peer_calls->len > 0);
	reply.outcome = outcome;
	return answer_peer(fixture, &reply);
}

/** Applies the record of a refusal of job b2, which was stored just before. */
static void apply_refusal(mt_front_fixture_t *fixture, uint64_t offset)
{
	mt_record_key_t key = mt_record_key(MT_RECORD_CANCEL, 0xb2);
	mt_store_record_t record = {mt_str_from(key.text),
				    MT_STR(MT_CANCEL_REFUSED), offset};

	mt_table_set_current_as_of(fixture->deps.table,
				   mt_timers_now(fixture->timers));
	mt_table_apply(fixture->deps.table, &record);
}

/**
 * Guards against: a job runs after its submission was refused, since another
 * host was still trying to store it for an earlier attempt. The record that
 * excludes this is stored first, on the condition that nothing was stored since
 * this host has read that the job is not stored.
 */
static void a_refusal_is_stored_before_it_is_told(void)
{
	mt_front_fixture_t fixture;
	mt_full_service_t full;

	set_up(&fixture);
	refuse_all(&fixture, &full);
	submit(&fixture, "/urgent/00000000000000b2");
	catch_up(&fixture);
	CU_ASSERT_EQUAL(fixture.replies, 0);
	CU_ASSERT_STRING_EQUAL_FATAL(fixture.store.append_keys->str,
				     "c00000000000000b2 ");
	CU_ASSERT_EQUAL(fixture.store.expected_end, 0);
	answer_append(&fixture.store, MT_STORE_DONE);
	CU_ASSERT_EQUAL(fixture.replies, 1);
	CU_ASSERT_EQUAL(fixture.reply.outcome, MT_FRONT_OUTCOME_NOT_DONE);
	CU_ASSERT_TRUE(fixture.reply.retry_after_s >= 15);
	CU_ASSERT_TRUE(fixture.reply.retry_after_s <= 30);
	CU_ASSERT_EQUAL(fixture.store.n_appends, 1);
	tear_down(&fixture);
}

/** Guards against: a stored job is called refused when it is submitted again.
 */
static void a_stored_job_is_not_refused(void)
{
	mt_front_fixture_t fixture;
	mt_full_service_t full;

	set_up(&fixture);
	refuse_all(&fixture, &full);
	submit(&fixture, "/urgent/" JOB_ID);
	CU_ASSERT_EQUAL(fixture.replies, 1);
	CU_ASSERT_EQUAL(fixture.reply.outcome, MT_FRONT_OUTCOME_ACCEPTED);
	tear_down(&fixture);
	set_up_without_records(&fixture, 2);
	refuse_all(&fixture, &full);
	submit(&fixture, "/urgent/" JOB_ID);
	CU_ASSERT_EQUAL(
		answer_outcome(&fixture, MT_FRONT_OUTCOME_ACCEPTED).verb,
		MT_VERB_REFUSE);
	CU_ASSERT_EQUAL(fixture.reply.outcome, MT_FRONT_OUTCOME_ACCEPTED);
	CU_ASSERT_EQUAL(fixture.store.n_appends, 0);
	tear_down(&fixture);
}

/**
 * Pattern: other hosts store records again and again between the read and the
 * append.
 * Guards against: the job is refused although an earlier attempt may be among
 * these records, or the client gets no answer.
 */
static void a_job_is_stored_if_the_refusal_is_not(void)
{
	mt_front_fixture_t fixture;
	mt_full_service_t full;

	set_up(&fixture);
	refuse_all(&fixture, &full);
	submit(&fixture, "/urgent/00000000000000b2");
	for (unsigned i = 0; i < 6; i++) {
		run_timers(&fixture, 20);
		catch_up(&fixture);
		CU_ASSERT_STRING_EQUAL_FATAL(fixture.store.append_keys->str,
					     "c00000000000000b2 ");
		answer_append(&fixture.store, MT_STORE_WRONG_OFFSET);
	}
	CU_ASSERT_EQUAL(fixture.replies, 0);
	CU_ASSERT_STRING_EQUAL_FATAL(fixture.store.append_keys->str,
				     "a00000000000000b2 ");
	answer_append(&fixture.store, MT_STORE_DONE);
	run_timers(&fixture, 20);
	catch_up(&fixture);
	CU_ASSERT_EQUAL(fixture.replies, 1);
	tear_down(&fixture);
}

/** A host without the records lets the leader refuse. */
static void a_host_without_records_asks_the_leader_to_refuse(void)
{
	mt_front_fixture_t fixture;
	mt_full_service_t full;
	mt_pending_peer_call_t call;

	set_up_without_records(&fixture, 3);
	refuse_all(&fixture, &full);
	submit(&fixture, "/urgent/00000000000000b2");
	call = answer_outcome(&fixture, MT_FRONT_OUTCOME_CANCELLED);
	CU_ASSERT_EQUAL(call.port, 1);
	CU_ASSERT_EQUAL(call.verb, MT_VERB_REFUSE);
	CU_ASSERT_EQUAL(call.job, 0xb2);
	CU_ASSERT_EQUAL(fixture.reply.outcome, MT_FRONT_OUTCOME_NOT_DONE);
	CU_ASSERT_EQUAL(fixture.store.n_appends, 0);
	tear_down(&fixture);
}

/**
 * Pattern: the leader gets the call, stores the refusal, and its reply is lost.
 * Guards against: the client is told that the job is accepted, which never
 * runs. The job is stored, and its acceptance is confirmed: it is not, so that
 * the refusal holds.
 */
static void a_refusal_whose_reply_is_lost_is_found(void)
{
	mt_front_fixture_t fixture;
	mt_full_service_t full;
	mt_pending_peer_call_t call;

	set_up_without_records(&fixture, 2);
	refuse_all(&fixture, &full);
	submit(&fixture, "/urgent/00000000000000b2");
	answer_peer(&fixture, NULL);
	CU_ASSERT_STRING_EQUAL_FATAL(fixture.store.append_keys->str,
				     "a00000000000000b2 ");
	answer_append(&fixture.store, MT_STORE_DONE);
	CU_ASSERT_EQUAL(fixture.replies, 0);
	call = answer_peer(&fixture, NULL);
	CU_ASSERT_EQUAL(call.verb, MT_VERB_CONFIRM);
	call = answer_outcome(&fixture, MT_FRONT_OUTCOME_CANCELLED);
	CU_ASSERT_EQUAL(call.verb, MT_VERB_CONFIRM);
	CU_ASSERT_EQUAL(call.port, 2);
	CU_ASSERT_EQUAL(fixture.reply.outcome, MT_FRONT_OUTCOME_NOT_DONE);
	tear_down(&fixture);
}

/**
 * Guards against: a job that was refused and stored later is called refused
 * although the leader cannot say that the refusal still holds.
 */
static void an_uncertain_refusal_of_a_stored_job_is_unknown(void)
{
	mt_front_fixture_t fixture;
	mt_full_service_t full;

	set_up_without_records(&fixture, 1);
	refuse_all(&fixture, &full);
	full.age_ms = 5001;
	submit(&fixture, "/urgent/00000000000000b2");
	answer_append(&fixture.store, MT_STORE_DONE);
	answer_outcome(&fixture, MT_FRONT_OUTCOME_NO_JOB);
	CU_ASSERT_EQUAL(fixture.reply.outcome, MT_FRONT_OUTCOME_UNKNOWN);
	tear_down(&fixture);
}

/** Without a recent summary, the job is stored, confirmed and accepted. */
static void without_a_recent_summary_a_job_is_accepted(void)
{
	mt_front_fixture_t fixture;
	mt_full_service_t full;

	set_up_without_records(&fixture, 1);
	refuse_all(&fixture, &full);
	full.age_ms = 5001;
	submit(&fixture, "/urgent/00000000000000b2");
	CU_ASSERT_STRING_EQUAL_FATAL(fixture.store.append_keys->str,
				     "a00000000000000b2 ");
	answer_append(&fixture.store, MT_STORE_DONE);
	CU_ASSERT_EQUAL(fixture.replies, 0);
	answer_outcome(&fixture, MT_FRONT_OUTCOME_ACCEPTED);
	CU_ASSERT_EQUAL(fixture.reply.outcome, MT_FRONT_OUTCOME_ACCEPTED);
	tear_down(&fixture);
}

/**
 * Guards against: a job is stored after its client was answered, which has
 * repeated the submission since.
 */
static void nothing_is_stored_after_the_answer(void)
{
	mt_front_fixture_t fixture;
	mt_full_service_t full;

	set_up_without_records(&fixture, 1);
	refuse_all(&fixture, &full);
	submit(&fixture, "/urgent/00000000000000b2");
	run_timers(&fixture, 2000);
	CU_ASSERT_EQUAL(fixture.reply.outcome, MT_FRONT_OUTCOME_UNKNOWN);
	answer_peer(&fixture, NULL);
	CU_ASSERT_EQUAL(fixture.store.n_appends, 0);
	tear_down(&fixture);
}

/** Age of a refusal, and what becomes of a further submission of the job. */
typedef struct mt_refusal_age_t {
	bool full; /**< the service is still full */
	mt_ms_t age_ms;
	const char *appended; /**< key of the record that is stored, or "" */
	mt_front_outcome_t outcome;
} mt_refusal_age_t;

static const mt_refusal_age_t refusal_ages[] = {
	{true, 19000, "", MT_FRONT_OUTCOME_NOT_DONE},
	{true, 21000, "c00000000000000b2 ", MT_FRONT_OUTCOME_NOT_DONE},
	{true, 49000, "c00000000000000b2 ", MT_FRONT_OUTCOME_NOT_DONE},
	{true, 51000, "a00000000000000b2 ", MT_FRONT_OUTCOME_UNKNOWN},
	{false, 19000, "", MT_FRONT_OUTCOME_NOT_DONE},
	{false, 21000, "", MT_FRONT_OUTCOME_UNKNOWN},
};

/**
 * Pattern: a client whose job was refused submits it again.
 * Guards against: the job is refused by a record that the leader deletes before
 * a late attempt of another host is over; it is accepted although that record
 * keeps it from running; the record is renewed for ever although the service is
 * not full any more.
 */
static void a_refused_job_stays_refused_for_a_while(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(refusal_ages); i++) {
		const mt_refusal_age_t *age = &refusal_ages[i];
		mt_front_fixture_t fixture;
		mt_full_service_t full;

		set_up(&fixture);
		refuse_all(&fixture, &full);
		full.age_ms = age->full ? 0 : 5001;
		apply_refusal(&fixture, 7);
		run_timers(&fixture, age->age_ms);
		submit(&fixture, "/urgent/00000000000000b2");
		if (age->full)
			catch_up(&fixture);
		CU_ASSERT_STRING_EQUAL(fixture.store.append_keys->str,
				       age->appended);
		if (*age->appended)
			answer_append(&fixture.store, MT_STORE_DONE);
		if (*age->appended == MT_RECORD_JOB) {
			run_timers(&fixture, 20);
			catch_up(&fixture);
		}
		CU_ASSERT_EQUAL(fixture.reply.outcome, age->outcome);
		tear_down(&fixture);
	}
}

/**
 * Guards against: the age of a refusal counts from when a snapshot was read,
 * and not from when it was stored.
 */
static void a_refusal_of_unknown_age_is_uncertain(void)
{
	mt_front_fixture_t fixture;
	mt_full_service_t full;
	mt_record_key_t key = mt_record_key(MT_RECORD_CANCEL, 0xb2);
	mt_store_record_t record = {mt_str_from(key.text),
				    MT_STR(MT_CANCEL_REFUSED), 7};

	set_up(&fixture);
	refuse_all(&fixture, &full);
	mt_table_set_current_as_of(fixture.deps.table, 0);
	mt_table_apply(fixture.deps.table, &record);
	/* It is delivered again, for example in another snapshot. */
	apply_refusal(&fixture, 7);
	full.age_ms = 5001;
	submit(&fixture, "/urgent/00000000000000b2");
	CU_ASSERT_EQUAL(fixture.reply.outcome, MT_FRONT_OUTCOME_UNKNOWN);
	tear_down(&fixture);
}

/** A host with the records refuses and confirms for another one. */
static void a_host_with_records_refuses_for_others(void)
{
	mt_front_fixture_t fixture;
	mt_full_service_t full;
	MtDag__PeerCall call = MT_DAG__PEER_CALL__INIT;

	set_up(&fixture);
	refuse_all(&fixture, &full);
	call.verb = MT_VERB_REFUSE;
	call.job = 0xa1;
	mt_dag_front_peer_call(fixture.front, &call, keep_reply, &fixture);
	catch_up(&fixture);
	CU_ASSERT_EQUAL(fixture.reply.outcome, MT_FRONT_OUTCOME_ACCEPTED);
	call.job = 0xb2;
	mt_dag_front_peer_call(fixture.front, &call, keep_reply, &fixture);
	run_timers(&fixture, 20);
	catch_up(&fixture);
	answer_append(&fixture.store, MT_STORE_DONE);
	CU_ASSERT_EQUAL(fixture.reply.outcome, MT_FRONT_OUTCOME_CANCELLED);
	apply_refusal(&fixture, 7);
	call.verb = MT_VERB_CONFIRM;
	mt_dag_front_peer_call(fixture.front, &call, keep_reply, &fixture);
	run_timers(&fixture, 20);
	catch_up(&fixture);
	CU_ASSERT_EQUAL(fixture.replies, 3);
	CU_ASSERT_EQUAL(fixture.reply.outcome, MT_FRONT_OUTCOME_CANCELLED);
	tear_down(&fixture);
}

/** Guards against: the setting changes what hosts do that do not have it. */
static void without_the_setting_nothing_is_refused(void)
{
	mt_front_fixture_t fixture;
	mt_full_service_t full;

	set_up_without_records(&fixture, 1);
	fixture.deps.admission_mode = MT_ADMISSION_OFF;
	refuse_all(&fixture, &full);
	mt_dag_front_free(fixture.front);
	fixture.deps.admission_mode = MT_ADMISSION_OFF;
	fixture.front = mt_dag_front_new(&fixture.deps);
	mt_dag_front_set_catalog(fixture.front, fixture.catalog);
	submit(&fixture, "/urgent/00000000000000b2");
	answer_append(&fixture.store, MT_STORE_DONE);
	CU_ASSERT_EQUAL(fixture.reply.outcome, MT_FRONT_OUTCOME_ACCEPTED);
	CU_ASSERT_EQUAL(fixture.peer_calls->len, 0);
	tear_down(&fixture);
}

/** @return 0 if the call may go on, or the outcome of the refusal */
static mt_front_outcome_t check(mt_front_fixture_t *fixture, const char *path,
				const char *key, mt_shared_name_t *account)
{
	mt_front_call_t call = {0};
	mt_front_outcome_t outcome;

	call.verb = MT_VERB_SUBMIT;
	call.url_host = MT_STR("jobs.example");
	call.path = mt_str_from(path);
	call.key = mt_str_from(key);
	*account = (mt_shared_name_t){0};
	return mt_dag_front_check(fixture->front, &call, &outcome, account)
		       ? 0
		       : outcome;
}

/**
 * Pattern: large bodies with unknown keys. They are refused by their header,
 * for the same reasons as the complete requests.
 */
static void a_call_is_refused_by_its_header(void)
{
	mt_front_fixture_t fixture;
	mt_client_account_t *account;
	mt_queue_t *queue;
	mt_shared_name_t name;

	set_up(&fixture);
	queue = mt_catalog_add_queue(fixture.catalog);
	queue->url_host = mt_shared_name("jobs.example");
	queue->path_prefix = g_strdup("/batch/");
	account = mt_catalog_add_account(fixture.catalog);
	account->name = mt_shared_name("shop");
	mt_catalog_add_key(fixture.catalog, account, "good");
	CU_ASSERT_EQUAL(check(&fixture, "/batch/a1", "bad", &name),
			MT_FRONT_OUTCOME_BAD_KEY);
	CU_ASSERT_EQUAL(check(&fixture, "/batch/a1", "", &name),
			MT_FRONT_OUTCOME_BAD_KEY);
	CU_ASSERT_EQUAL(check(&fixture, "/other/a1", "good", &name),
			MT_FRONT_OUTCOME_NO_QUEUE);
	CU_ASSERT_EQUAL(check(&fixture, "/batch/a1", "good", &name), 0);
	CU_ASSERT_STRING_EQUAL(name.text, "shop");
	CU_ASSERT_EQUAL(check(&fixture, "/urgent/a1", "bad", &name), 0);
	CU_ASSERT_EQUAL(name.len, 0);
	mt_timers_advance(fixture.timers, 4000);
	CU_ASSERT_EQUAL(check(&fixture, "/batch/a1", "good", &name),
			MT_FRONT_OUTCOME_NOT_DONE);
	tear_down(&fixture);
}

const mt_test_t mt_front_tests[] = {
	{"a job keeps that its queue needs tickets",
	 a_job_keeps_that_its_queue_needs_tickets},
	{"a job beyond the memory is refused unstored",
	 a_job_beyond_the_memory_is_refused_unstored},
	{"a call is refused by its header", a_call_is_refused_by_its_header},
	{"a refusal is stored before it is told",
	 a_refusal_is_stored_before_it_is_told},
	{"a stored job is not refused", a_stored_job_is_not_refused},
	{"a job is stored if the refusal is not",
	 a_job_is_stored_if_the_refusal_is_not},
	{"a host without records asks the leader to refuse",
	 a_host_without_records_asks_the_leader_to_refuse},
	{"a refusal whose reply is lost is found",
	 a_refusal_whose_reply_is_lost_is_found},
	{"an uncertain refusal of a stored job is unknown",
	 an_uncertain_refusal_of_a_stored_job_is_unknown},
	{"without a recent summary a job is accepted",
	 without_a_recent_summary_a_job_is_accepted},
	{"nothing is stored after the answer",
	 nothing_is_stored_after_the_answer},
	{"a refused job stays refused for a while",
	 a_refused_job_stays_refused_for_a_while},
	{"a refusal of unknown age is uncertain",
	 a_refusal_of_unknown_age_is_uncertain},
	{"a host with records refuses for others",
	 a_host_with_records_refuses_for_others},
	{"without the setting nothing is refused",
	 without_the_setting_nothing_is_refused},
	{"a job that cannot be stored is refused at once",
	 a_job_that_cannot_be_stored_is_refused_at_once},
	{"a cancellation of an unknown job is stored first",
	 a_cancellation_of_an_unknown_job_is_stored_first},
	{"a cancellation with a lost write is unknown",
	 a_cancellation_with_a_lost_write_is_unknown},
	{"cancellations of unknown jobs share calls",
	 cancellations_of_unknown_jobs_share_calls},
	{"a stored cancellation is answered at once",
	 a_stored_cancellation_is_answered_at_once},
	{"too many cancellations of unknown jobs are refused",
	 too_many_cancellations_of_unknown_jobs_are_refused},
	{"a malformed reply of another host is ignored",
	 a_malformed_reply_of_another_host_is_ignored},
	{"a call is passed on to the next host",
	 a_call_is_passed_on_to_the_next_host},
	{"a call waits for a new leader", a_call_waits_for_a_new_leader},
	{"a cancellation without an answer is unknown",
	 a_cancellation_without_an_answer_is_unknown},
	{"a host without records answers no other host",
	 a_host_without_records_answers_no_other_host},
	{"an outdated standby shows no unfinished job",
	 an_outdated_standby_shows_no_unfinished_job},
	{"a known job is shown while the store does not answer",
	 a_known_job_is_shown_while_the_store_does_not_answer},
	{"a known job is shown at once after a long outage",
	 a_known_job_is_shown_at_once_after_a_long_outage},
	{NULL, NULL},
};
