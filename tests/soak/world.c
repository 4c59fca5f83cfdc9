/** @file world.c Simulated hosts and the fakes that they run against. */
#include "soak/world.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

/** A host learns after this time that a command to a server got no answer. */
#define COMMAND_TIMEOUT_MS 2000u

/** A host learns after this time that a read or an append got no answer. */
#define LOG_TIMEOUT_MS 3000u

/** Upper bound of the delay of appends and commands that execute late. */
#define DELAY_MAX_MS 12000

/** Interval of the check whether a RENEW that waits can be answered. */
#define RENEW_POLL_MS 200u

/** Interval at which tasks and waiting reads of the log are advanced. */
#define FLEET_TICK_MS 100u
#define SERVERS_PER_RACK 2

/** Time for which a leaving server may still get a START; a later one is a
 * breach. */
#define LEAVING_GRACE_MS 3000u

static const char *const dc_names[MT_SOAK_DCS] = {"tunis", "bizerte", "sfax"};

/** Data centre of each host, as an index of dc_names. */
static const guint host_dcs[MT_SOAK_HOSTS] = {0, 0, 0, 1, 1, 2, 2};

/** Identifies a host process; outdated once that process was killed. */
typedef struct mt_host_ref_t {
	mt_host_t *host;
	guint incarnation_number;
} mt_host_ref_t;

guint mt_world_random_below(mt_world_t *world, guint below)
{
	return (guint)g_rand_int_range(world->rand, 0, (gint32)below);
}

/** True with probability `share`. */
static bool random_bool(mt_world_t *world, double share)
{
	return share > 0 && g_rand_double(world->rand) < share;
}

mt_ms_t mt_world_now(const mt_world_t *world)
{
	return mt_timers_now(world->world_timers);
}

bool mt_host_is_frozen(const mt_host_t *host)
{
	return mt_world_now(host->world) < host->frozen_until;
}

static mt_host_ref_t host_ref(mt_host_t *host)
{
	return (mt_host_ref_t){host, host->incarnation_number};
}

static bool is_current(const mt_host_ref_t *origin)
{
	return origin->host->alive &&
	       origin->host->incarnation_number == origin->incarnation_number;
}

/* Trace. */

void mt_world_trace(mt_world_t *world, const char *format, ...)
{
	char message[512];
	va_list args;
	char **line = &world->trace[world->trace_next++ % MT_SOAK_TRACE_LINES];

	va_start(args, format);
	vsnprintf(message, sizeof(message), format, args);
	va_end(args);
	g_free(*line);
	*line = g_strdup_printf("%10.3f %s", (double)mt_world_now(world) / 1000,
				message);
	if (world->verbose)
		fprintf(stderr, "%s\n", *line);
}

void mt_world_print_trace(const mt_world_t *world)
{
	for (guint i = 0; i < MT_SOAK_TRACE_LINES; i++) {
		const char *line = world->trace[(world->trace_next + i) %
						MT_SOAK_TRACE_LINES];

		if (line)
			printf("%s\n", line);
	}
}

void mt_world_breach(mt_world_t *world, const char *format, ...)
{
	char message[512];
	va_list args;

	va_start(args, format);
	vsnprintf(message, sizeof(message), format, args);
	va_end(args);
	world->breaches++;
	mt_world_trace(world, "BREACH %s", message);
}

/* Latency. */

static mt_ms_t network_latency(mt_world_t *world, bool between_regions)
{
	return (between_regions ? 20 : 1) + mt_world_random_below(world, 3);
}

/**
 * The platform is in the same region as the first two data centres. The third
 * (index 2) is in another region.
 */
static mt_ms_t platform_latency(mt_host_t *host)
{
	return network_latency(host->world, host->dc == 2);
}

static void after(mt_world_t *world, mt_ms_t delay, mt_timer_cb cb, void *ctx)
{
	mt_timers_after(world->world_timers, delay, cb, ctx);
}

/**
 * If the host is frozen, schedules `cb` for the time at which the host resumes.
 * @return true if `cb` was scheduled; the calling function must then return
 */
static bool defer_while_frozen(const mt_host_ref_t *origin, mt_timer_cb cb,
			       void *ctx)
{
	mt_world_t *world = origin->host->world;

	if (!is_current(origin) || !mt_host_is_frozen(origin->host))
		return false;
	after(world, origin->host->frozen_until - mt_world_now(world), cb, ctx);
	return true;
}

/** Runs the due timers of the host; required before each call into its node. */
static void advance_host(mt_host_t *host)
{
	mt_timers_advance(host->timers, mt_world_now(host->world));
}

/* Log service. */

typedef struct mt_fake_append_t {
	mt_host_ref_t origin;
	char *stream;
	GPtrArray *records;
	mt_append_result_t result;
	mt_append_cb cb;
	void *ctx;
} mt_fake_append_t;

typedef struct mt_fake_read_t {
	mt_host_ref_t origin;
	char *stream;
	uint64_t from;
	mt_ms_t deadline;    /**< answered at this time even without
				  new records */
	mt_log_page_t *page; /**< answer; NULL: the read failed */
	mt_read_cb cb;
	void *ctx;
} mt_fake_read_t;

static bool is_platform_cut(const mt_host_t *host)
{
	return host->world->active_faults.platform_cut[host->dc];
}

static void answer_read(void *ctx)
{
	mt_fake_read_t *read = ctx;

	if (defer_while_frozen(&read->origin, answer_read, read))
		return;
	if (is_current(&read->origin)) {
		advance_host(read->origin.host);
		/* The host's timers, which advance_host() runs, might have
		 * ended this incarnation. At present none does: hosts are
		 * killed only by faults.c, from timers of the world, and by
		 * mt_world_free(). */
		read->cb(read->ctx, read->page);
	} else {
		mt_log_page_free(read->page);
	}
	g_free(read->stream);
	g_free(read);
}

static void read_and_answer(mt_world_t *world, mt_fake_read_t *read)
{
	read->page = mt_log_model_read(world->log, read->stream, read->from,
				       mt_world_now(world));
	after(world, platform_latency(read->origin.host), answer_read, read);
}

static void wake_readers(mt_world_t *world)
{
	GPtrArray *waiters = world->log_waiters;

	for (guint i = waiters->len; i-- > 0;) {
		mt_fake_read_t *read = waiters->pdata[i];
		bool expired = mt_world_now(world) >= read->deadline;

		if (!expired &&
		    mt_log_model_next(world->log, read->stream) <= read->from)
			continue;
		g_ptr_array_remove_index(waiters, i);
		read_and_answer(world, read);
	}
}

static void on_read_arrival(void *ctx)
{
	mt_fake_read_t *read = ctx;
	mt_host_t *host = read->origin.host;
	mt_world_t *world = host->world;

	if (world->active_faults.log_away || is_platform_cut(host)) {
		after(world,
		      is_platform_cut(host) ? LOG_TIMEOUT_MS
					    : platform_latency(host),
		      answer_read, read);
	} else if (mt_log_model_next(world->log, read->stream) > read->from ||
		   mt_world_now(world) >= read->deadline) {
		read_and_answer(world, read);
	} else {
		g_ptr_array_add(world->log_waiters, read);
	}
}

static void fake_read(void *self, const char *stream, uint64_t from,
		      uint32_t wait_ms, mt_read_cb cb, void *ctx)
{
	mt_host_t *host = self;
	mt_fake_read_t *read = g_new0(mt_fake_read_t, 1);

	read->origin = host_ref(host);
	read->stream = g_strdup(stream);
	read->from = from;
	read->deadline = mt_world_now(host->world) + wait_ms;
	read->cb = cb;
	read->ctx = ctx;
	after(host->world, platform_latency(host), on_read_arrival, read);
}

static void answer_append(void *ctx)
{
	mt_fake_append_t *append = ctx;

	if (defer_while_frozen(&append->origin, answer_append, append))
		return;
	if (is_current(&append->origin)) {
		advance_host(append->origin.host);
		append->cb(append->ctx, append->result);
	}
	g_ptr_array_unref(append->records);
	g_free(append->stream);
	g_free(append);
}

/**
 * Adds a line to the trace if the record is a claim, the voiding of a claim
 * (ClaimVoid) or an outcome.
 */
static void trace_record(mt_world_t *world, const mt_host_t *host,
			 GBytes *packed)
{
	MtPb__Record *record = mt_record_unpack(packed);
	const char *host_name_text = host->settings->host.text;
	mt_job_id_t id;

	if (record && record->body_case == MT_PB__RECORD__BODY_CLAIM &&
	    mt_job_id_read(&record->claim->job, &id))
		mt_world_trace(world,
			       "%s appends claim %u of job %s, on server %s",
			       host_name_text, record->claim->number,
			       mt_job_id_text(&id).text,
			       record->claim->targets[0]->server);
	if (record && record->body_case == MT_PB__RECORD__BODY_CLAIM_VOID &&
	    mt_job_id_read(&record->claim_void->job, &id))
		mt_world_trace(world,
			       "%s appends that claim %u of job %s is void",
			       host_name_text, record->claim_void->number,
			       mt_job_id_text(&id).text);
	if (record && record->body_case == MT_PB__RECORD__BODY_OUTCOME &&
	    mt_job_id_read(&record->outcome->job, &id))
		mt_world_trace(
			world, "%s appends outcome %s (%s) of job %s",
			host_name_text, mt_outcome_name(record->outcome->kind),
			record->outcome->reason, mt_job_id_text(&id).text);
	if (record)
		mt_record_free(record);
}

static void apply_append(mt_world_t *world, const mt_fake_append_t *append)
{
	for (guint i = 0; i < append->records->len; i++)
		trace_record(world, append->origin.host,
			     append->records->pdata[i]);
	mt_log_model_append(world->log, append->stream, mt_world_now(world),
			    append->records);
	wake_readers(world);
}

/**
 * Executes an append late. The host may have learnt before, LOG_TIMEOUT_MS
 * after its arrival, that the result is unknown.
 */
static void on_late_append_arrival(void *ctx)
{
	mt_fake_append_t *append = ctx;

	apply_append(append->origin.host->world, append);
	g_ptr_array_unref(append->records);
	g_free(append->stream);
	g_free(append);
}

static void on_append_arrival(void *ctx)
{
	mt_fake_append_t *append = ctx;
	mt_host_t *host = append->origin.host;
	mt_world_t *world = host->world;
	mt_ms_t answer_delay = platform_latency(host);

	if (world->active_faults.log_away) {
		append->result = MT_APPEND_NOT_DONE;
	} else if (is_platform_cut(host)) {
		append->result = MT_APPEND_UNKNOWN;
		answer_delay = LOG_TIMEOUT_MS;
	} else if (random_bool(world, world->active_faults.log_late)) {
		mt_fake_append_t *late = g_memdup2(append, sizeof(*append));

		late->stream = g_strdup(append->stream);
		g_ptr_array_ref(late->records);
		after(world, mt_world_random_below(world, DELAY_MAX_MS),
		      on_late_append_arrival, late);
		append->result = MT_APPEND_UNKNOWN;
		answer_delay = LOG_TIMEOUT_MS;
	} else {
		apply_append(world, append);
		append->result = MT_APPEND_DONE;
		if (random_bool(world, world->active_faults.log_lost)) {
			append->result = MT_APPEND_UNKNOWN;
			answer_delay = LOG_TIMEOUT_MS;
		}
	}
	after(world, answer_delay, answer_append, append);
}

static void fake_append(void *self, const char *stream, GPtrArray *records,
			mt_append_cb cb, void *ctx)
{
	mt_host_t *host = self;
	mt_fake_append_t *append = g_new0(mt_fake_append_t, 1);

	append->origin = host_ref(host);
	append->stream = g_strdup(stream);
	append->records = g_ptr_array_ref(records);
	append->cb = cb;
	append->ctx = ctx;
	after(host->world, platform_latency(host), on_append_arrival, append);
}

void mt_world_append(mt_world_t *world, const char *stream, GBytes *record)
{
	GPtrArray *records = g_ptr_array_new();

	g_ptr_array_add(records, record);
	mt_log_model_append(world->log, stream, mt_world_now(world), records);
	g_ptr_array_unref(records);
	wake_readers(world);
}

/* Backend servers. */

/** One command to a server (a call of mt_server_port_t), and its answer. */
typedef struct mt_fake_command_t {
	mt_host_ref_t origin;
	guint server; /**< index */
	mt_server_request_t request;
	/** RENEW: answered at this time even without a newer version. */
	mt_ms_t deadline;
	mt_server_reply_t reply;
	mt_server_cb cb;
	void *ctx;
} mt_fake_command_t;

static void free_command(mt_fake_command_t *command)
{
	g_clear_pointer(&command->request.skip, g_array_unref);
	g_clear_pointer(&command->request.start.payload, g_bytes_unref);
	mt_server_reply_clear(&command->reply);
	g_free(command);
}

static void answer_command(void *ctx)
{
	mt_fake_command_t *command = ctx;

	if (defer_while_frozen(&command->origin, answer_command, command))
		return;
	if (is_current(&command->origin)) {
		advance_host(command->origin.host);
		command->cb(command->ctx, &command->reply);
	}
	free_command(command);
}

static void answer_unknown(mt_fake_command_t *command)
{
	mt_server_reply_clear(&command->reply);
	command->reply = (mt_server_reply_t){.status = MT_REPLY_UNKNOWN};
	after(command->origin.host->world, COMMAND_TIMEOUT_MS, answer_command,
	      command);
}

static const mt_name_t *server_id(const mt_world_t *world, guint index)
{
	return &g_array_index(world->server_infos, mt_server_info_t, index).id;
}

static void execute(mt_fake_command_t *command)
{
	mt_world_t *world = command->origin.host->world;

	mt_fleet_model_call(world->fleet, server_id(world, command->server),
			    &command->request, mt_world_now(world),
			    &command->reply);
}

static void execute_delayed(void *ctx)
{
	mt_fake_command_t *command = ctx;

	if (!command->origin.host->world->active_faults
		     .server_unreachable[command->server])
		execute(command);
	free_command(command);
}

/**
 * Answers a RENEW once a task of the server has changed since the report that
 * the host has, or at the deadline of the command.
 */
static void poll_renewal(void *ctx)
{
	mt_fake_command_t *command = ctx;
	mt_world_t *world = command->origin.host->world;
	uint64_t version = mt_fleet_model_version(
		world->fleet, server_id(world, command->server));

	if (command->reply.status == MT_REPLY_OK &&
	    version == command->request.seen &&
	    mt_world_now(world) < command->deadline) {
		after(world, RENEW_POLL_MS, poll_renewal, command);
		return;
	}
	if (command->reply.status == MT_REPLY_OK) {
		mt_server_reply_clear(&command->reply);
		mt_fleet_model_renew_reply(
			world->fleet, server_id(world, command->server),
			&command->request, mt_world_now(world),
			&command->reply);
	}
	if (world->active_faults.server_unreachable[command->server])
		answer_unknown(command);
	else
		after(world, network_latency(world, false), answer_command,
		      command);
}

static mt_fake_command_t *copy_command(const mt_fake_command_t *command)
{
	mt_fake_command_t *copy = g_memdup2(command, sizeof(*command));

	if (copy->request.skip)
		g_array_ref(copy->request.skip);
	if (copy->request.start.payload)
		g_bytes_ref(copy->request.start.payload);
	return copy;
}

static void on_command_arrival(void *ctx)
{
	mt_fake_command_t *command = ctx;
	mt_world_t *world = command->origin.host->world;

	if (world->active_faults.server_unreachable[command->server]) {
		answer_unknown(command);
		return;
	}
	if (command->request.op != MT_SERVER_RENEW &&
	    random_bool(world, world->active_faults.server_late)) {
		after(world, mt_world_random_below(world, DELAY_MAX_MS),
		      execute_delayed, copy_command(command));
		answer_unknown(command);
		return;
	}
	execute(command);
	if (command->request.op == MT_SERVER_RENEW)
		poll_renewal(command);
	else if (random_bool(world, world->active_faults.server_lost))
		answer_unknown(command);
	else
		after(world, network_latency(world, false), answer_command,
		      command);
}

/** Index of the server with this id, or -1. */
static int server_index(const mt_world_t *world, const mt_name_t *id)
{
	for (guint i = 0; i < world->server_infos->len; i++) {
		if (mt_name_equal(server_id(world, i), id))
			return (int)i;
	}
	return -1;
}

static void fake_command(void *self, const mt_server_info_t *server,
			 const mt_server_request_t *request, mt_server_cb cb,
			 void *ctx)
{
	mt_host_t *host = self;
	mt_fake_command_t *command = g_new0(mt_fake_command_t, 1);

	command->origin = host_ref(host);
	command->server = (guint)server_index(host->world, &server->id);
	command->request = *request;
	if (request->skip)
		g_array_ref(command->request.skip);
	if (request->start.payload)
		g_bytes_ref(command->request.start.payload);
	command->deadline = mt_world_now(host->world) + request->wait_ms;
	command->cb = cb;
	command->ctx = ctx;
	after(host->world, network_latency(host->world, false),
	      on_command_arrival, command);
}

/* Server list. */

typedef struct mt_fake_fetch_t {
	mt_host_ref_t origin;
	mt_server_list_cb cb;
	void *ctx;
} mt_fake_fetch_t;

static GArray *listed_servers(const mt_world_t *world)
{
	GArray *all = mt_fleet_model_infos(world->fleet);
	GArray *listed = g_array_new(FALSE, FALSE, sizeof(mt_server_info_t));

	for (guint i = 0; i < all->len; i++) {
		if (!world->active_faults.server_unlisted[i])
			g_array_append_vals(
				listed,
				&g_array_index(all, mt_server_info_t, i), 1);
	}
	g_array_unref(all);
	return listed;
}

static void answer_fetch(void *ctx)
{
	mt_fake_fetch_t *fetch = ctx;
	mt_host_t *host = fetch->origin.host;
	GArray *infos = NULL;

	if (defer_while_frozen(&fetch->origin, answer_fetch, fetch))
		return;
	if (is_current(&fetch->origin)) {
		advance_host(host);
		if (!is_platform_cut(host))
			infos = listed_servers(host->world);
		fetch->cb(fetch->ctx, infos);
		if (infos)
			g_array_unref(infos);
	}
	g_free(fetch);
}

static void fake_fetch(void *self, mt_server_list_cb cb, void *ctx)
{
	mt_host_t *host = self;
	mt_fake_fetch_t *fetch = g_new0(mt_fake_fetch_t, 1);

	*fetch = (mt_fake_fetch_t){host_ref(host), cb, ctx};
	after(host->world, 2 * platform_latency(host), answer_fetch, fetch);
}

/* Links between hosts. */

typedef struct mt_fake_frame_t {
	mt_host_t *to;
	mt_peer_id_t id; /**< of the sender */
	GByteArray *bytes;
} mt_fake_frame_t;

static void deliver_frame(void *ctx)
{
	mt_fake_frame_t *sent = ctx;
	mt_host_ref_t to = host_ref(sent->to);
	MtPb__Frame *frame;

	if (sent->to->alive && defer_while_frozen(&to, deliver_frame, sent))
		return;
	if (sent->to->alive && mt_frame_take(sent->bytes, &frame)) {
		advance_host(sent->to);
		mt_node_on_frame(sent->to->node, &sent->id, frame);
		mt_frame_free(frame);
	}
	g_byte_array_unref(sent->bytes);
	g_free(sent);
}

static bool is_link_cut(const mt_host_t *a, const mt_host_t *b)
{
	const mt_active_faults_t *active_faults = &a->world->active_faults;

	return active_faults->dc_cut[a->dc][b->dc] ||
	       active_faults->host_cut[a->index][b->index];
}

static void fake_send(void *self, const mt_name_t *name,
		      const MtPb__Frame *frame)
{
	mt_host_t *host = self;
	mt_world_t *world = host->world;
	const mt_name_t *incarnation =
		&mt_membership_self(
			 mt_kernel_find(host->kernel, MT_SERVICE_MEMBERSHIP))
			 ->incarnation;

	for (guint i = 0; i < MT_SOAK_HOSTS; i++) {
		mt_host_t *to = &world->hosts[i];
		mt_fake_frame_t *sent;

		if (!mt_name_equal(&to->settings->host, name) ||
		    is_link_cut(host, to) || !to->alive)
			continue;
		sent = g_new0(mt_fake_frame_t, 1);
		sent->to = to;
		sent->id = (mt_peer_id_t){host->settings->host,
					  host->settings->dc, *incarnation};
		sent->bytes = g_bytes_unref_to_array(mt_frame_pack(frame));
		after(world,
		      network_latency(world, (host->dc == 2) != (to->dc == 2)),
		      deliver_frame, sent);
	}
}

/* Hosts. */

static void on_message(void *ctx, mt_log_level_t level, const char *service,
		       const char *message)
{
	mt_host_t *host = ctx;

	(void)level;
	mt_world_trace(host->world, "%s %s: %s", host->settings->host.text,
		       service, message);
}

static void on_breach(void *ctx, const char *invariant, const char *detail)
{
	mt_host_t *host = ctx;

	mt_world_breach(host->world, "%s: invariant %s: %s",
			host->settings->host.text, invariant, detail);
}

void mt_world_start_host(mt_world_t *world, guint index)
{
	mt_host_t *host = &world->hosts[index];
	mt_node_ports_t ports = {{host, fake_append, fake_read},
				 {host, fake_command},
				 {host, fake_fetch},
				 {host, fake_send}};
	char text[MT_NAME_MAX_BYTES];
	mt_name_t incarnation;

	g_assert(!host->alive);
	host->incarnation_number++;
	host->alive = true;
	host->draining = false;
	host->frozen_until = 0;
	memset(host->list_versions, 0, sizeof(host->list_versions));
	g_snprintf(text, sizeof(text), "%s-i%u", host->settings->host.text,
		   host->incarnation_number);
	incarnation = mt_name(text);
	mt_world_trace(world, "start %s", text);
	host->timers = mt_timers_new(mt_world_now(world));
	host->kernel = mt_kernel_new(host->settings->host.text, host->timers,
				     g_rand_int(world->rand));
	mt_kernel_set_sink(host->kernel, on_message, host);
	mt_kernel_on_breach(host->kernel, on_breach, host);
	host->node =
		mt_node_new(host->kernel, host->settings, &incarnation, &ports);
	mt_node_start(host->node);
}

void mt_world_kill_host(mt_world_t *world, guint index)
{
	mt_host_t *host = &world->hosts[index];

	mt_world_trace(world, "kill %s", host->settings->host.text);
	host->alive = false;
	mt_node_free(host->node);
	mt_kernel_free(host->kernel);
	mt_timers_free(host->timers);
	host->node = NULL;
}

static mt_name_t host_name(guint index)
{
	char text[MT_NAME_MAX_BYTES];

	g_snprintf(text, sizeof(text), "%s-%u", dc_names[host_dcs[index]],
		   index);
	return mt_name(text);
}

static mt_settings_t *make_settings(guint index)
{
	mt_settings_t *settings = g_new0(mt_settings_t, 1);

	settings->host = host_name(index);
	settings->dc = mt_name(dc_names[host_dcs[index]]);
	settings->data_centres = g_array_new(FALSE, TRUE, sizeof(mt_name_t));
	settings->peers = g_array_new(FALSE, TRUE, sizeof(mt_peer_setting_t));
	for (guint i = 0; i < MT_SOAK_DCS; i++) {
		mt_name_t dc = mt_name(dc_names[i]);

		g_array_append_val(settings->data_centres, dc);
	}
	for (guint i = 0; i < MT_SOAK_HOSTS; i++) {
		mt_peer_setting_t peer = {.host = host_name(i),
					  .dc = mt_name(dc_names[host_dcs[i]])};

		if (i != index)
			g_array_append_val(settings->peers, peer);
	}
	/* Weights of completion, fragmentation and value; aging_s. */
	settings->policy = (mt_policy_t){70, 30, 5, 300};
	settings->lease_term_ms = MT_SOAK_LEASE_MS;
	settings->renew_ms = MT_SOAK_RENEW_MS;
	settings->heartbeat_ms = 400;
	settings->peer_timeout_ms = 2000;
	settings->append_spacing_ms = 50;
	settings->append_queue_records = 2000;
	settings->jobs_queued_per_account = 5000;
	settings->drain_ms = 20000;
	return settings;
}

static void add_servers(mt_world_t *world)
{
	for (guint i = 0; i < MT_SOAK_DCS * MT_SOAK_SERVERS_PER_DC; i++) {
		mt_server_info_t info = {0};
		guint dc = i / MT_SOAK_SERVERS_PER_DC;
		guint number = i % MT_SOAK_SERVERS_PER_DC;
		char text[MT_NAME_MAX_BYTES];

		g_snprintf(text, sizeof(text), "%s-gpu-%u", dc_names[dc],
			   number);
		info.id = mt_name(text);
		info.dc = mt_name(dc_names[dc]);
		info.rack = number / SERVERS_PER_RACK;
		info.processors = 64;
		info.memory_mb = 262144;
		info.accelerators = 8;
		info.slots = 8;
		g_array_append_val(world->server_infos, info);
		mt_fleet_model_add(world->fleet, &info);
	}
}

static void on_fleet_tick(void *ctx)
{
	mt_world_t *world = ctx;

	mt_fleet_model_advance(world->fleet, mt_world_now(world));
	wake_readers(world);
}

mt_world_t *mt_world_new(guint32 seed, uint64_t retention_ms)
{
	mt_world_t *world = g_new0(mt_world_t, 1);

	world->rand = g_rand_new_with_seed(seed);
	/* Starts at 1000 s: a time of 0 means "unset", for example in
	 * mt_gang_run_t.partial_since (fleet_model.c). */
	world->world_timers = mt_timers_new(1000000);
	world->log = mt_log_model_new(retention_ms);
	world->fleet =
		mt_fleet_model_new(MT_SOAK_PARTIAL_MAX_MS, LEAVING_GRACE_MS);
	world->server_infos =
		g_array_new(FALSE, TRUE, sizeof(mt_server_info_t));
	add_servers(world);
	world->active_faults.server_unreachable =
		g_new0(bool, world->server_infos->len);
	world->active_faults.server_unlisted =
		g_new0(bool, world->server_infos->len);
	world->log_waiters = g_ptr_array_new();
	for (guint i = 0; i < MT_SOAK_HOSTS; i++) {
		mt_host_t *host = &world->hosts[i];

		host->world = world;
		host->index = i;
		host->dc = host_dcs[i];
		host->settings = make_settings(i);
	}
	mt_timers_every(world->world_timers, FLEET_TICK_MS, on_fleet_tick,
			world);
	return world;
}

void mt_world_free(mt_world_t *world)
{
	for (guint i = 0; i < MT_SOAK_HOSTS; i++) {
		if (world->hosts[i].alive)
			mt_world_kill_host(world, i);
		mt_settings_free(world->hosts[i].settings);
	}
	for (guint i = 0; i < MT_SOAK_TRACE_LINES; i++)
		g_free(world->trace[i]);
	g_free(world->active_faults.server_unreachable);
	g_free(world->active_faults.server_unlisted);
	g_ptr_array_unref(world->log_waiters);
	g_array_unref(world->server_infos);
	mt_fleet_model_free(world->fleet);
	mt_log_model_free(world->log);
	mt_timers_free(world->world_timers);
	g_rand_free(world->rand);
	g_free(world);
}

mt_host_t *mt_world_pick_host(mt_world_t *world)
{
	guint start = mt_world_random_below(world, MT_SOAK_HOSTS);

	for (guint i = 0; i < MT_SOAK_HOSTS; i++) {
		mt_host_t *host = &world->hosts[(start + i) % MT_SOAK_HOSTS];

		if (host->alive && !mt_host_is_frozen(host))
			return host;
	}
	return NULL;
}

/**
 * Time at which the host's next timer can run, which is not before the end of a
 * freeze. MT_NEVER_MS if the host is not alive.
 */
static mt_ms_t next_due(const mt_host_t *host)
{
	mt_ms_t due = host->alive ? mt_timers_next(host->timers) : MT_NEVER_MS;

	return due == MT_NEVER_MS ? due : MAX(due, host->frozen_until);
}

void mt_world_step(mt_world_t *world)
{
	mt_ms_t next = mt_timers_next(world->world_timers);
	mt_host_t *first = NULL;

	for (guint i = 0; i < MT_SOAK_HOSTS; i++) {
		mt_ms_t due = next_due(&world->hosts[i]);

		if (due < next) {
			next = due;
			first = &world->hosts[i];
		}
	}
	world->steps++;
	mt_timers_advance(world->world_timers, MAX(next, mt_world_now(world)));
	if (first && first->alive && !mt_host_is_frozen(first))
		advance_host(first);
}
