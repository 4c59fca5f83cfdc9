/** @file world.c Hosts on virtual time, and the fakes around them. */
#include "soak/world.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#define CALL_TIMEOUT_MS 2000u
#define LOG_TIMEOUT_MS 3000u
#define LATE_MAX_MS 12000
#define RENEW_LOOK_MS 200u
#define FLEET_TICK_MS 100u
#define SERVERS_PER_RACK 2
#define LEAVING_BOUND_MS 3000u

static const char *const dc_names[MT_SOAK_DCS] = {"tunis", "bizerte", "sfax"};
static const guint host_dcs[MT_SOAK_HOSTS] = {0, 0, 0, 1, 1, 2, 2};

/** Which run of a host a callback belongs to. */
typedef struct mt_owner_t {
	mt_host_t *host;
	guint generation;
} mt_owner_t;

guint mt_world_chance(mt_world_t *world, guint below)
{
	return (guint)g_rand_int_range(world->rand, 0, (gint32)below);
}

static bool happens(mt_world_t *world, double share)
{
	return share > 0 && g_rand_double(world->rand) < share;
}

mt_ms_t mt_world_now(const mt_world_t *world)
{
	return mt_timers_now(world->events);
}

bool mt_host_is_frozen(const mt_host_t *host)
{
	return mt_world_now(host->world) < host->thaws_at;
}

static mt_owner_t owner_of(mt_host_t *host)
{
	return (mt_owner_t){host, host->generation};
}

static bool is_current(const mt_owner_t *owner)
{
	return owner->host->alive &&
	       owner->host->generation == owner->generation;
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

static mt_ms_t hop(mt_world_t *world, bool across)
{
	return (across ? 20 : 1) + mt_world_chance(world, 3);
}

/** The store is in the region of the first two data centres. */
static mt_ms_t log_hop(mt_host_t *host)
{
	return hop(host->world, host->dc == 2);
}

static void after(mt_world_t *world, mt_ms_t delay, mt_timer_cb cb, void *ctx)
{
	mt_timers_after(world->events, delay, cb, ctx);
}

/** Puts off what comes for a frozen host. @return true when it was put off */
static bool put_off(const mt_owner_t *owner, mt_timer_cb cb, void *ctx)
{
	mt_world_t *world = owner->host->world;

	if (!is_current(owner) || !mt_host_is_frozen(owner->host))
		return false;
	after(world, owner->host->thaws_at - mt_world_now(world), cb, ctx);
	return true;
}

/** Brings a host's clock up to the world's before it is called. */
static void enter(mt_host_t *host)
{
	mt_timers_advance(host->timers, mt_world_now(host->world));
}

/* Log service. */

typedef struct mt_fake_append_t {
	mt_owner_t owner;
	char *stream;
	GPtrArray *records;
	mt_append_result_t result;
	mt_append_cb cb;
	void *ctx;
} mt_fake_append_t;

typedef struct mt_fake_read_t {
	mt_owner_t owner;
	char *stream;
	uint64_t from;
	mt_ms_t until;
	mt_log_page_t *page;
	mt_read_cb cb;
	void *ctx;
} mt_fake_read_t;

static bool is_platform_cut(const mt_host_t *host)
{
	return host->world->broken.platform_cut[host->dc];
}

static void answer_read(void *ctx)
{
	mt_fake_read_t *read = ctx;

	if (put_off(&read->owner, answer_read, read))
		return;
	if (is_current(&read->owner)) {
		enter(read->owner.host);
		/* Entering may have ended this run. */
		read->cb(read->ctx, read->page);
	} else {
		mt_log_page_free(read->page);
	}
	g_free(read->stream);
	g_free(read);
}

static void read_now(mt_world_t *world, mt_fake_read_t *read)
{
	read->page = mt_log_model_read(world->log, read->stream, read->from,
				       mt_world_now(world));
	after(world, log_hop(read->owner.host), answer_read, read);
}

static void wake_readers(mt_world_t *world)
{
	GPtrArray *waiters = world->log_waiters;

	for (guint i = waiters->len; i-- > 0;) {
		mt_fake_read_t *read = waiters->pdata[i];
		bool over = mt_world_now(world) >= read->until;

		if (!over &&
		    mt_log_model_next(world->log, read->stream) <= read->from)
			continue;
		g_ptr_array_remove_index(waiters, i);
		read_now(world, read);
	}
}

static void arrive_read(void *ctx)
{
	mt_fake_read_t *read = ctx;
	mt_host_t *host = read->owner.host;
	mt_world_t *world = host->world;

	if (world->broken.log_away || is_platform_cut(host)) {
		after(world,
		      is_platform_cut(host) ? LOG_TIMEOUT_MS : log_hop(host),
		      answer_read, read);
	} else if (mt_log_model_next(world->log, read->stream) > read->from ||
		   mt_world_now(world) >= read->until) {
		read_now(world, read);
	} else {
		g_ptr_array_add(world->log_waiters, read);
	}
}

static void fake_read(void *self, const char *stream, uint64_t from,
		      uint32_t wait_ms, mt_read_cb cb, void *ctx)
{
	mt_host_t *host = self;
	mt_fake_read_t *read = g_new0(mt_fake_read_t, 1);

	read->owner = owner_of(host);
	read->stream = g_strdup(stream);
	read->from = from;
	read->until = mt_world_now(host->world) + wait_ms;
	read->cb = cb;
	read->ctx = ctx;
	after(host->world, log_hop(host), arrive_read, read);
}

static void answer_append(void *ctx)
{
	mt_fake_append_t *append = ctx;

	if (put_off(&append->owner, answer_append, append))
		return;
	if (is_current(&append->owner)) {
		enter(append->owner.host);
		append->cb(append->ctx, append->result);
	}
	g_ptr_array_unref(append->records);
	g_free(append->stream);
	g_free(append);
}

/** Notes what a record says of which job. */
static void trace_record(mt_world_t *world, const mt_host_t *host,
			 GBytes *packed)
{
	MtPb__Record *record = mt_record_unpack(packed);
	const char *host_name_text = host->settings->host.text;
	mt_job_id_t id;

	if (record && record->body_case == MT_PB__RECORD__BODY_CLAIM &&
	    mt_job_id_read(&record->claim->job, &id))
		mt_world_trace(world, "%s appends claim %u of job %s to %s",
			       host_name_text, record->claim->number,
			       mt_job_id_text(&id).text,
			       record->claim->targets[0]->server);
	if (record && record->body_case == MT_PB__RECORD__BODY_CLAIM_VOID &&
	    mt_job_id_read(&record->claim_void->job, &id))
		mt_world_trace(world, "%s appends void %u of job %s",
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

static void take_append(mt_world_t *world, const mt_fake_append_t *append)
{
	for (guint i = 0; i < append->records->len; i++)
		trace_record(world, append->owner.host,
			     append->records->pdata[i]);
	mt_log_model_append(world->log, append->stream, mt_world_now(world),
			    append->records);
	wake_readers(world);
}

/** An append that takes effect long after its caller gave up. */
static void arrive_late(void *ctx)
{
	mt_fake_append_t *append = ctx;

	take_append(append->owner.host->world, append);
	g_ptr_array_unref(append->records);
	g_free(append->stream);
	g_free(append);
}

static void arrive_append(void *ctx)
{
	mt_fake_append_t *append = ctx;
	mt_host_t *host = append->owner.host;
	mt_world_t *world = host->world;
	mt_ms_t back = log_hop(host);

	if (world->broken.log_away) {
		append->result = MT_APPEND_REFUSED;
	} else if (is_platform_cut(host)) {
		append->result = MT_APPEND_UNKNOWN;
		back = LOG_TIMEOUT_MS;
	} else if (happens(world, world->broken.log_late)) {
		mt_fake_append_t *late = g_memdup2(append, sizeof(*append));

		late->stream = g_strdup(append->stream);
		g_ptr_array_ref(late->records);
		after(world, mt_world_chance(world, LATE_MAX_MS), arrive_late,
		      late);
		append->result = MT_APPEND_UNKNOWN;
		back = LOG_TIMEOUT_MS;
	} else {
		take_append(world, append);
		append->result = MT_APPEND_DONE;
		if (happens(world, world->broken.log_lost)) {
			append->result = MT_APPEND_UNKNOWN;
			back = LOG_TIMEOUT_MS;
		}
	}
	after(world, back, answer_append, append);
}

static void fake_append(void *self, const char *stream, GPtrArray *records,
			mt_append_cb cb, void *ctx)
{
	mt_host_t *host = self;
	mt_fake_append_t *append = g_new0(mt_fake_append_t, 1);

	append->owner = owner_of(host);
	append->stream = g_strdup(stream);
	append->records = g_ptr_array_ref(records);
	append->cb = cb;
	append->ctx = ctx;
	after(host->world, log_hop(host), arrive_append, append);
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

typedef struct mt_fake_call_t {
	mt_owner_t owner;
	guint server;
	mt_server_request_t request;
	mt_ms_t until;
	mt_server_reply_t reply;
	mt_server_cb cb;
	void *ctx;
} mt_fake_call_t;

static void free_call(mt_fake_call_t *call)
{
	g_clear_pointer(&call->request.skip, g_array_unref);
	g_clear_pointer(&call->request.start.payload, g_bytes_unref);
	mt_server_reply_clear(&call->reply);
	g_free(call);
}

static void answer_call(void *ctx)
{
	mt_fake_call_t *call = ctx;

	if (put_off(&call->owner, answer_call, call))
		return;
	if (is_current(&call->owner)) {
		enter(call->owner.host);
		call->cb(call->ctx, &call->reply);
	}
	free_call(call);
}

static void answer_unknown(mt_fake_call_t *call)
{
	mt_server_reply_clear(&call->reply);
	call->reply = (mt_server_reply_t){.status = MT_REPLY_UNKNOWN};
	after(call->owner.host->world, CALL_TIMEOUT_MS, answer_call, call);
}

static const mt_name_t *server_id(const mt_world_t *world, guint index)
{
	return &g_array_index(world->infos, mt_server_info_t, index).id;
}

static void execute(mt_fake_call_t *call)
{
	mt_world_t *world = call->owner.host->world;

	mt_fleet_model_call(world->fleet, server_id(world, call->server),
			    &call->request, mt_world_now(world), &call->reply);
}

static void execute_late(void *ctx)
{
	mt_fake_call_t *call = ctx;

	if (!call->owner.host->world->broken.server_dead[call->server])
		execute(call);
	free_call(call);
}

/** A renewal waits until the server has something new to tell. */
static void look_renewal(void *ctx)
{
	mt_fake_call_t *call = ctx;
	mt_world_t *world = call->owner.host->world;
	uint64_t version = mt_fleet_model_version(
		world->fleet, server_id(world, call->server));

	if (call->reply.status == MT_REPLY_OK &&
	    version == call->request.seen &&
	    mt_world_now(world) < call->until) {
		after(world, RENEW_LOOK_MS, look_renewal, call);
		return;
	}
	if (call->reply.status == MT_REPLY_OK) {
		mt_server_reply_clear(&call->reply);
		mt_fleet_model_report(
			world->fleet, server_id(world, call->server),
			&call->request, mt_world_now(world), &call->reply);
	}
	if (world->broken.server_dead[call->server])
		answer_unknown(call);
	else
		after(world, hop(world, false), answer_call, call);
}

static mt_fake_call_t *copy_call(const mt_fake_call_t *call)
{
	mt_fake_call_t *copy = g_memdup2(call, sizeof(*call));

	if (copy->request.skip)
		g_array_ref(copy->request.skip);
	if (copy->request.start.payload)
		g_bytes_ref(copy->request.start.payload);
	return copy;
}

static void arrive_call(void *ctx)
{
	mt_fake_call_t *call = ctx;
	mt_world_t *world = call->owner.host->world;

	if (world->broken.server_dead[call->server]) {
		answer_unknown(call);
		return;
	}
	if (call->request.op != MT_SERVER_RENEW &&
	    happens(world, world->broken.server_late)) {
		after(world, mt_world_chance(world, LATE_MAX_MS), execute_late,
		      copy_call(call));
		answer_unknown(call);
		return;
	}
	execute(call);
	if (call->request.op == MT_SERVER_RENEW)
		look_renewal(call);
	else if (happens(world, world->broken.server_lost))
		answer_unknown(call);
	else
		after(world, hop(world, false), answer_call, call);
}

int mt_world_server(const mt_world_t *world, const mt_name_t *id)
{
	for (guint i = 0; i < world->infos->len; i++) {
		if (mt_name_equal(server_id(world, i), id))
			return (int)i;
	}
	return -1;
}

static void fake_call(void *self, const mt_server_info_t *server,
		      const mt_server_request_t *request, mt_server_cb cb,
		      void *ctx)
{
	mt_host_t *host = self;
	mt_fake_call_t *call = g_new0(mt_fake_call_t, 1);

	call->owner = owner_of(host);
	call->server = (guint)mt_world_server(host->world, &server->id);
	call->request = *request;
	if (request->skip)
		g_array_ref(call->request.skip);
	if (request->start.payload)
		g_bytes_ref(call->request.start.payload);
	call->until = mt_world_now(host->world) + request->wait_ms;
	call->cb = cb;
	call->ctx = ctx;
	after(host->world, hop(host->world, false), arrive_call, call);
}

/* Host list. */

typedef struct mt_fake_fetch_t {
	mt_owner_t owner;
	mt_hosts_cb cb;
	void *ctx;
} mt_fake_fetch_t;

static GArray *listed_infos(const mt_world_t *world)
{
	GArray *all = mt_fleet_model_infos(world->fleet);
	GArray *listed = g_array_new(FALSE, FALSE, sizeof(mt_server_info_t));

	for (guint i = 0; i < all->len; i++) {
		if (!world->broken.server_unlisted[i])
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
	mt_host_t *host = fetch->owner.host;
	GArray *infos = NULL;

	if (put_off(&fetch->owner, answer_fetch, fetch))
		return;
	if (is_current(&fetch->owner)) {
		enter(host);
		if (!is_platform_cut(host))
			infos = listed_infos(host->world);
		fetch->cb(fetch->ctx, infos);
		if (infos)
			g_array_unref(infos);
	}
	g_free(fetch);
}

static void fake_fetch(void *self, mt_hosts_cb cb, void *ctx)
{
	mt_host_t *host = self;
	mt_fake_fetch_t *fetch = g_new0(mt_fake_fetch_t, 1);

	*fetch = (mt_fake_fetch_t){owner_of(host), cb, ctx};
	after(host->world, 2 * log_hop(host), answer_fetch, fetch);
}

/* Links between hosts. */

typedef struct mt_fake_frame_t {
	mt_owner_t from;
	mt_host_t *to;
	mt_peer_id_t id;
	GByteArray *bytes;
} mt_fake_frame_t;

static void deliver_frame(void *ctx)
{
	mt_fake_frame_t *sent = ctx;
	mt_owner_t to = owner_of(sent->to);
	MtPb__Frame *frame;

	if (sent->to->alive && put_off(&to, deliver_frame, sent))
		return;
	if (sent->to->alive && mt_frame_take(sent->bytes, &frame)) {
		enter(sent->to);
		mt_node_on_frame(sent->to->node, &sent->id, frame);
		mt_frame_free(frame);
	}
	g_byte_array_unref(sent->bytes);
	g_free(sent);
}

static bool is_link_cut(const mt_host_t *a, const mt_host_t *b)
{
	const mt_breakage_t *broken = &a->world->broken;

	return broken->dc_cut[a->dc][b->dc] ||
	       broken->host_cut[a->index][b->index];
}

static void fake_send(void *self, const mt_name_t *name,
		      const MtPb__Frame *frame)
{
	mt_host_t *host = self;
	mt_world_t *world = host->world;
	const mt_name_t *incarnation =
		&mt_members_self(
			 mt_kernel_find(host->kernel, MT_SERVICE_MEMBERS))
			 ->incarnation;

	for (guint i = 0; i < MT_SOAK_HOSTS; i++) {
		mt_host_t *to = &world->hosts[i];
		mt_fake_frame_t *sent;

		if (!mt_name_equal(&to->settings->host, name) ||
		    is_link_cut(host, to) || !to->alive)
			continue;
		sent = g_new0(mt_fake_frame_t, 1);
		sent->from = owner_of(host);
		sent->to = to;
		sent->id = (mt_peer_id_t){host->settings->host,
					  host->settings->dc, *incarnation};
		sent->bytes = g_bytes_unref_to_array(mt_frame_pack(frame));
		after(world, hop(world, (host->dc == 2) != (to->dc == 2)),
		      deliver_frame, sent);
	}
}

/* Hosts. */

static void on_log_line(void *ctx, mt_log_level_t level, const char *service,
			const char *message)
{
	mt_host_t *host = ctx;

	(void)level;
	mt_world_trace(host->world, "%s %s: %s", host->settings->host.text,
		       service, message);
}

static void on_invariant(void *ctx, const char *invariant, const char *detail)
{
	mt_host_t *host = ctx;

	mt_world_breach(host->world, "%s: invariant %s: %s",
			host->settings->host.text, invariant, detail);
}

void mt_world_start_host(mt_world_t *world, guint index)
{
	mt_host_t *host = &world->hosts[index];
	mt_node_ports_t ports = {{host, fake_append, fake_read},
				 {host, fake_call},
				 {host, fake_fetch},
				 {host, fake_send}};
	char text[MT_NAME_MAX_BYTES];
	mt_name_t incarnation;

	g_assert(!host->alive);
	host->generation++;
	host->alive = true;
	host->draining = false;
	host->thaws_at = 0;
	memset(host->versions, 0, sizeof(host->versions));
	g_snprintf(text, sizeof(text), "%s-i%u", host->settings->host.text,
		   host->generation);
	incarnation = mt_name(text);
	mt_world_trace(world, "start %s", text);
	host->timers = mt_timers_new(mt_world_now(world));
	host->kernel = mt_kernel_new(host->settings->host.text, host->timers,
				     g_rand_int(world->rand));
	mt_kernel_set_sink(host->kernel, on_log_line, host);
	mt_kernel_on_breach(host->kernel, on_invariant, host);
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
		g_array_append_val(world->infos, info);
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
	world->events = mt_timers_new(1000000);
	world->log = mt_log_model_new(retention_ms);
	/* One term for a lease to lapse, one renewal to notice. */
	world->fleet = mt_fleet_model_new(MT_SOAK_PARTIAL_MS, LEAVING_BOUND_MS);
	world->infos = g_array_new(FALSE, TRUE, sizeof(mt_server_info_t));
	add_servers(world);
	world->broken.server_dead = g_new0(bool, world->infos->len);
	world->broken.server_unlisted = g_new0(bool, world->infos->len);
	world->log_waiters = g_ptr_array_new();
	for (guint i = 0; i < MT_SOAK_HOSTS; i++) {
		mt_host_t *host = &world->hosts[i];

		host->world = world;
		host->index = i;
		host->dc = host_dcs[i];
		host->settings = make_settings(i);
	}
	mt_timers_every(world->events, FLEET_TICK_MS, on_fleet_tick, world);
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
	g_free(world->broken.server_dead);
	g_free(world->broken.server_unlisted);
	g_ptr_array_unref(world->log_waiters);
	g_array_unref(world->infos);
	mt_fleet_model_free(world->fleet);
	mt_log_model_free(world->log);
	mt_timers_free(world->events);
	g_rand_free(world->rand);
	g_free(world);
}

mt_host_t *mt_world_pick_host(mt_world_t *world)
{
	guint start = mt_world_chance(world, MT_SOAK_HOSTS);

	for (guint i = 0; i < MT_SOAK_HOSTS; i++) {
		mt_host_t *host = &world->hosts[(start + i) % MT_SOAK_HOSTS];

		if (host->alive && !mt_host_is_frozen(host))
			return host;
	}
	return NULL;
}

/** Time at which a host has something to do. */
static mt_ms_t host_due(const mt_host_t *host)
{
	mt_ms_t due = host->alive ? mt_timers_next(host->timers) : MT_NEVER_MS;

	return due == MT_NEVER_MS ? due : MAX(due, host->thaws_at);
}

void mt_world_step(mt_world_t *world)
{
	mt_ms_t next = mt_timers_next(world->events);
	mt_host_t *first = NULL;

	for (guint i = 0; i < MT_SOAK_HOSTS; i++) {
		mt_ms_t due = host_due(&world->hosts[i]);

		if (due < next) {
			next = due;
			first = &world->hosts[i];
		}
	}
	world->steps++;
	mt_timers_advance(world->events, MAX(next, mt_world_now(world)));
	if (first && first->alive && !mt_host_is_frozen(first))
		enter(first);
}
