/**
 * @file advice.c Advice: the answers of the policy service about one step.
 */
#include "dag/advice.h"

/**
 * Tickets are not used during the last TICKET_MARGIN_MS of their validity. If
 * the validity is shorter than twice this time, they are not used during its
 * second half.
 */
#define TICKET_MARGIN_MS 300u

/** What the policy service answered about one server. */
typedef struct mt_advised_server_t {
	char *ticket; /**< NULL: denied */
	/** Local time until which the ticket is used, see TICKET_MARGIN_MS. */
	mt_ms_t valid_until;
	int64_t born_ms; /**< see mt_advice_set_born_ms() */
} mt_advised_server_t;

struct mt_advice_t {
	GHashTable *servers; /**< id to mt_advised_server_t */
};

static void free_server(gpointer data)
{
	mt_advised_server_t *server = data;

	g_free(server->ticket);
	g_free(server);
}

mt_advice_t *mt_advice_new(void)
{
	mt_advice_t *advice = g_new0(mt_advice_t, 1);

	advice->servers = mt_shared_name_table_new(free_server);
	return advice;
}

void mt_advice_free(mt_advice_t *advice)
{
	if (!advice)
		return;
	g_hash_table_destroy(advice->servers);
	g_free(advice);
}

static bool was_asked(const mt_shared_name_t *servers, size_t count,
		      mt_shared_name_t server)
{
	for (size_t i = 0; i < count; i++) {
		if (mt_shared_name_equal(servers[i], server))
			return true;
	}
	return false;
}

/** Entry of a server that was asked about; NULL for another one. */
static mt_advised_server_t *find_or_add(mt_advice_t *advice,
					const mt_shared_name_t *servers,
					size_t count, mt_shared_name_t server)
{
	mt_advised_server_t *advised = g_hash_table_lookup(
		advice->servers, mt_shared_name_key(server));

	if (advised || !was_asked(servers, count, server))
		return advised;
	advised = g_new0(mt_advised_server_t, 1);
	g_hash_table_insert(advice->servers, mt_shared_name_new_key(server),
			    advised);
	return advised;
}

void mt_advice_apply(mt_advice_t *advice, const mt_shared_name_t *servers,
		     size_t count, const mt_advice_answer_t *answer,
		     mt_ms_t now)
{
	mt_ms_t margin = MIN(TICKET_MARGIN_MS, answer->validity_ms / 2);

	for (size_t i = 0; i < count && !answer->incomplete; i++)
		g_hash_table_insert(advice->servers,
				    mt_shared_name_new_key(servers[i]),
				    g_new0(mt_advised_server_t, 1));
	for (size_t i = 0; i < answer->n_allowed_servers; i++) {
		const mt_advice_grant_t *grant = &answer->allowed_servers[i];
		mt_advised_server_t *server =
			find_or_add(advice, servers, count, grant->server);

		if (!server)
			continue;
		g_free(server->ticket);
		server->ticket =
			g_strndup(grant->ticket.data, grant->ticket.len);
		server->valid_until = now + answer->validity_ms - margin;
	}
}

void mt_advice_set_born_ms(mt_advice_t *advice, mt_shared_name_t server,
			   int64_t born_ms)
{
	mt_advised_server_t *advised = g_hash_table_lookup(
		advice->servers, mt_shared_name_key(server));

	if (advised)
		advised->born_ms = born_ms;
}

mt_advice_state_t mt_advice_state(const mt_advice_t *advice,
				  mt_shared_name_t server, int64_t born_ms,
				  mt_ms_t now)
{
	const mt_advised_server_t *advised = g_hash_table_lookup(
		advice->servers, mt_shared_name_key(server));

	if (!advised)
		return MT_ADVICE_UNASKED;
	if (!advised->ticket)
		return MT_ADVICE_DENIED;
	if (advised->born_ms != born_ms || now >= advised->valid_until)
		return MT_ADVICE_EXPIRED;
	return MT_ADVICE_VALID;
}

const char *mt_advice_ticket(const mt_advice_t *advice, mt_shared_name_t server,
			     int64_t born_ms, mt_ms_t now)
{
	const mt_advised_server_t *advised = g_hash_table_lookup(
		advice->servers, mt_shared_name_key(server));

	if (mt_advice_state(advice, server, born_ms, now) != MT_ADVICE_VALID)
		return NULL;
	return advised->ticket;
}

void mt_advice_expire(mt_advice_t *advice, mt_shared_name_t server)
{
	mt_advised_server_t *advised = g_hash_table_lookup(
		advice->servers, mt_shared_name_key(server));

	if (advised)
		advised->valid_until = 0;
}
