/** @file speed_audit.c Compares the learned speeds with the true ones. */
#include "fleet/speed_audit.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

#include "fleet/fake_store.h"

/**
 * A learned speed must be nearer to the true one than to the next of the
 * simulated speeds, which is 1.6 times it.
 */
#define RATIO_MAX sqrt(1.6)

/** With fewer servers known well, the leader does not use the speeds. */
#define KNOWN_SERVERS_MIN 12u

/** @return entry of this process of the server; NULL: there is none */
static const MtDag__ServerSpeed *find_entry(const MtDag__Speeds *record,
					    const mt_true_speed_t *server)
{
	uint64_t id_hash = XXH3_64bits(server->server, strlen(server->server));

	for (size_t i = 0; record && i < record->n_servers; i++) {
		const MtDag__ServerSpeed *entry = record->servers[i];

		if (entry->server_hash == id_hash &&
		    entry->born_ms == server->born)
			return entry;
	}
	return NULL;
}

/** Learned speed of a server, as the logarithm of its ratio to the true one. */
typedef struct mt_learned_speed_t {
	double log2_ratio;
	const mt_true_speed_t *server;
} mt_learned_speed_t;

static gint compare_learned(gconstpointer a, gconstpointer b)
{
	double x = ((const mt_learned_speed_t *)a)->log2_ratio;
	double y = ((const mt_learned_speed_t *)b)->log2_ratio;

	return (x > y) - (x < y);
}

/**
 * Only the ratios of the learned speeds are defined, so that the median of the
 * learned to the true speeds stands for 1.
 */
static void check_learned(mt_sim_t *sim, GArray *learned)
{
	double middle;

	g_array_sort(learned, compare_learned);
	middle = g_array_index(learned, mt_learned_speed_t, learned->len / 2)
			 .log2_ratio;
	for (guint i = 0; i < learned->len; i++) {
		const mt_learned_speed_t *speed =
			&g_array_index(learned, mt_learned_speed_t, i);
		double log2_ratio = speed->log2_ratio - middle;

		if (fabs(log2_ratio) > log2(RATIO_MAX))
			mt_sim_breach(
				sim,
				"the speed of %s is learned as %.2f times "
				"the true one, which is %.1f",
				speed->server->server, exp2(log2_ratio),
				speed->server->speed);
	}
}

static MtDag__Speeds *read_record(mt_sim_t *sim)
{
	mt_shared_name_t service = mt_shared_name("service");
	mt_record_key_t key = mt_record_key(
		MT_RECORD_SPEEDS, (guint)mt_shared_name_hash(service));
	mt_str_t value =
		mt_fake_store_get(sim->store, MT_RECORDS_TOPIC, key.text);

	return value.len ? mt_dag__speeds__unpack(NULL, value.len,
						  (const uint8_t *)value.data)
			 : NULL;
}

void mt_speed_audit(mt_sim_t *sim, const mt_true_speed_t *servers,
		    unsigned n_servers)
{
	MtDag__Speeds *record = read_record(sim);
	GArray *learned = g_array_new(FALSE, FALSE, sizeof(mt_learned_speed_t));

	for (unsigned i = 0; i < n_servers; i++) {
		const MtDag__ServerSpeed *entry =
			find_entry(record, &servers[i]);
		mt_learned_speed_t speed = {0, &servers[i]};

		if (entry) {
			speed.log2_ratio = entry->log2_permille / 1000.0 -
					   log2(servers[i].speed);
			g_array_append_val(learned, speed);
		} else if (n_servers >= KNOWN_SERVERS_MIN) {
			mt_sim_breach(sim, "the speed of %s is not known",
				      servers[i].server);
		}
	}
	if (learned->len)
		check_learned(sim, learned);
	g_array_unref(learned);
	if (record)
		mt_dag__speeds__free_unpacked(record, NULL);
}
