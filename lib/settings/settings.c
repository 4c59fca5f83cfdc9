/** @file settings.c Reads and validates the settings file. */
#include "settings/settings.h"

#include <arpa/inet.h>
#include <jansson.h>
#include <string.h>

#define MS_PER_MINUTE 60000

/** Minimum number of renewals in the term of a lease. */
#define RENEWALS_PER_TERM 3

/** Minimum number of heartbeats in the time-out of a peer. */
#define HEARTBEATS_PER_TIMEOUT 3

typedef enum mt_field_type_t {
	MT_FIELD_NAME,
	MT_FIELD_ADDRESS,
	MT_FIELD_PORT,
	MT_FIELD_U32,
} mt_field_type_t;

/** Describes a field of a JSON object. */
typedef struct mt_field_t {
	const char *key;
	mt_field_type_t type;
	size_t offset; /**< of the member in the struct that is filled in */
	uint32_t min;
	uint32_t max;
	uint32_t default_value; /**< used if the field is missing */
	bool required;
} mt_field_t;

#define SETTINGS_OFFSET(member) offsetof(mt_settings_t, member)
#define PEER_OFFSET(member) offsetof(mt_peer_setting_t, member)

static const mt_field_t listen_fields[] = {
	{"address", MT_FIELD_ADDRESS, SETTINGS_OFFSET(address), 0, 0, 0, true},
	{"callers_port", MT_FIELD_PORT, SETTINGS_OFFSET(callers_port), 0, 0, 0,
	 true},
	{"peers_port", MT_FIELD_PORT, SETTINGS_OFFSET(peers_port), 0, 0, 0,
	 true},
};

static const mt_field_t platform_fields[] = {
	{"address", MT_FIELD_ADDRESS, SETTINGS_OFFSET(platform_address), 0, 0,
	 0, true},
	{"port", MT_FIELD_PORT, SETTINGS_OFFSET(platform_port), 0, 0, 0, true},
};

static const mt_field_t policy_fields[] = {
	{"completion_weight", MT_FIELD_U32,
	 SETTINGS_OFFSET(policy.completion_weight), 0, 100, 50, false},
	{"fragmentation_weight", MT_FIELD_U32,
	 SETTINGS_OFFSET(policy.fragmentation_weight), 0, 100, 50, false},
	{"value_weight", MT_FIELD_U32, SETTINGS_OFFSET(policy.value_weight), 0,
	 100, 0, false},
	{"aging_s", MT_FIELD_U32, SETTINGS_OFFSET(policy.aging_s), 1, 86400,
	 600, false},
};

static const mt_field_t timing_fields[] = {
	{"lease_term_ms", MT_FIELD_U32, SETTINGS_OFFSET(lease_term_ms), 1000,
	 10 * MS_PER_MINUTE, 10000, false},
	{"renew_ms", MT_FIELD_U32, SETTINGS_OFFSET(renew_ms), 100,
	 MS_PER_MINUTE, 2000, false},
	{"heartbeat_ms", MT_FIELD_U32, SETTINGS_OFFSET(heartbeat_ms), 50, 10000,
	 400, false},
	{"peer_timeout_ms", MT_FIELD_U32, SETTINGS_OFFSET(peer_timeout_ms), 200,
	 MS_PER_MINUTE, 2000, false},
	{"append_spacing_ms", MT_FIELD_U32, SETTINGS_OFFSET(append_spacing_ms),
	 1, 5000, 50, false},
	{"drain_ms", MT_FIELD_U32, SETTINGS_OFFSET(drain_ms), 0,
	 10 * MS_PER_MINUTE, 20000, false},
};

static const mt_field_t limit_fields[] = {
	{"append_queue_records", MT_FIELD_U32,
	 SETTINGS_OFFSET(append_queue_records), 16, 100000, 2000, false},
	{"jobs_queued_per_account", MT_FIELD_U32,
	 SETTINGS_OFFSET(jobs_queued_per_account), 1, 1000000, 5000, false},
};

static const mt_field_t peer_fields[] = {
	{"host", MT_FIELD_NAME, PEER_OFFSET(host), 0, 0, 0, true},
	{"data_centre", MT_FIELD_NAME, PEER_OFFSET(dc), 0, 0, 0, true},
	{"address", MT_FIELD_ADDRESS, PEER_OFFSET(address), 0, 0, 0, true},
	{"port", MT_FIELD_PORT, PEER_OFFSET(port), 0, 0, 0, true},
};

static const mt_field_t root_fields[] = {
	{"host", MT_FIELD_NAME, SETTINGS_OFFSET(host), 0, 0, 0, true},
	{"data_centre", MT_FIELD_NAME, SETTINGS_OFFSET(dc), 0, 0, 0, true},
};

static void add_error(GPtrArray *errors, const char *path, const char *key,
		      const char *message)
{
	g_ptr_array_add(errors,
			g_strdup_printf("%s%s%s: %s", path, *path ? "." : "",
					key, message));
}

static bool is_ip_address(const char *text)
{
	unsigned char address[16];

	return inet_pton(AF_INET, text, address) == 1 ||
	       inet_pton(AF_INET6, text, address) == 1;
}

static void read_string(const json_t *value, const mt_field_t *field,
			const char *path, void *target, GPtrArray *errors)
{
	const char *text = json_string_value(value);

	if (!text) {
		add_error(errors, path, field->key, "must be a string");
		return;
	}
	if (field->type == MT_FIELD_ADDRESS && !is_ip_address(text))
		add_error(errors, path, field->key, "must be an IP address");
	if (field->type == MT_FIELD_NAME &&
	    !mt_name_is_valid(mt_str_from(text)))
		add_error(errors, path, field->key,
			  "must be a name of up to 47 lower-case letters, "
			  "digits, '-', '_' and '.'");
	*(mt_name_t *)target = mt_name(text);
}

static void read_number(const json_t *value, const mt_field_t *field,
			const char *path, void *target, GPtrArray *errors)
{
	uint32_t min = field->type == MT_FIELD_PORT ? 1 : field->min;
	uint32_t max = field->type == MT_FIELD_PORT ? UINT16_MAX : field->max;
	json_int_t number = json_integer_value(value);
	char message[96];

	if (!json_is_integer(value) || number < min || number > max) {
		g_snprintf(message, sizeof(message),
			   "must be a whole number from %u to %u", min, max);
		add_error(errors, path, field->key, message);
		return;
	}
	if (field->type == MT_FIELD_PORT)
		*(uint16_t *)target = (uint16_t)number;
	else
		*(uint32_t *)target = (uint32_t)number;
}

static void read_field(const json_t *object, const mt_field_t *field,
		       const char *path, void *target_struct, GPtrArray *errors)
{
	const json_t *value = json_object_get(object, field->key);
	void *target = (char *)target_struct + field->offset;

	if (!value && field->required) {
		add_error(errors, path, field->key, "is missing");
	} else if (!value) {
		/* Only fields of type MT_FIELD_U32 are optional. */
		*(uint32_t *)target = field->default_value;
	} else if (field->type == MT_FIELD_NAME ||
		   field->type == MT_FIELD_ADDRESS) {
		read_string(value, field, path, target, errors);
	} else {
		read_number(value, field, path, target, errors);
	}
}

/** @param other_keys known keys that are not in `fields`; may be NULL */
static bool is_known(const char *key, const mt_field_t *fields, size_t count,
		     const char *const *other_keys)
{
	for (size_t i = 0; i < count; i++) {
		if (!strcmp(key, fields[i].key))
			return true;
	}
	return other_keys && g_strv_contains(other_keys, key);
}

static void read_fields(const json_t *object, const mt_field_t *fields,
			size_t count, const char *const *other_keys,
			const char *path, void *target_struct,
			GPtrArray *errors)
{
	const char *key;
	json_t *value;

	json_object_foreach((json_t *)object, key, value)
	{
		if (!is_known(key, fields, count, other_keys))
			add_error(errors, path, key, "unknown field");
	}
	for (size_t i = 0; i < count; i++)
		read_field(object, &fields[i], path, target_struct, errors);
}

static void read_section(const json_t *root, const char *key, bool required,
			 const mt_field_t *fields, size_t count,
			 mt_settings_t *settings, GPtrArray *errors)
{
	const json_t *object = json_object_get(root, key);

	if (object && !json_is_object(object))
		add_error(errors, "", key, "must be an object");
	else if (!object && required)
		add_error(errors, "", key, "is missing");
	else
		read_fields(object, fields, count, NULL, key, settings, errors);
}

static void read_data_centres(const json_t *root, mt_settings_t *settings,
			      GPtrArray *errors)
{
	const json_t *list = json_object_get(root, "data_centres");
	bool own_found = false;
	size_t i;
	json_t *item;

	if (!json_is_array(list) || !json_array_size(list)) {
		add_error(errors, "", "data_centres",
			  "must be a list of the deployment's data centres");
		return;
	}
	json_array_foreach(list, i, item)
	{
		mt_name_t name = mt_name(json_string_value(item));

		if (!mt_name_is_valid(mt_str_from(json_string_value(item))))
			add_error(errors, "", "data_centres",
				  "contains an invalid name");
		own_found = own_found || mt_name_equal(&name, &settings->dc);
		g_array_append_val(settings->data_centres, name);
	}
	if (!own_found)
		add_error(errors, "", "data_centre",
			  "is not among data_centres");
}

static void read_peers(const json_t *root, mt_settings_t *settings,
		       GPtrArray *errors)
{
	const json_t *list = json_object_get(root, "peers");
	size_t i;
	json_t *item;

	if (list && !json_is_array(list))
		add_error(errors, "", "peers", "must be a list");
	json_array_foreach(list, i, item)
	{
		mt_peer_setting_t peer = {0};
		char path[32];

		g_snprintf(path, sizeof(path), "peers[%zu]", i);
		read_fields(item, peer_fields, G_N_ELEMENTS(peer_fields), NULL,
			    path, &peer, errors);
		if (!mt_name_equal(&peer.host, &settings->host))
			g_array_append_val(settings->peers, peer);
	}
}

static void read_log_level(const json_t *root, mt_settings_t *settings,
			   GPtrArray *errors)
{
	/* In the order of mt_log_level_t, beginning with MT_LOG_ERR. */
	static const char *const names[] = {"err", "warning", "notice", "info",
					    "debug"};
	const json_t *value = json_object_get(root, "log_level");
	const char *text = json_string_value(value);

	settings->log_level = MT_LOG_INFO;
	if (!value)
		return;
	for (size_t i = 0; text && i < G_N_ELEMENTS(names); i++) {
		if (!strcmp(text, names[i])) {
			settings->log_level = (mt_log_level_t)(MT_LOG_ERR + i);
			return;
		}
	}
	add_error(errors, "", "log_level",
		  "must be err, warning, notice, info or debug");
}

/** Checks the rules that involve more than one value. */
static void check_relations(const mt_settings_t *settings, GPtrArray *errors)
{
	if (settings->renew_ms * RENEWALS_PER_TERM > settings->lease_term_ms)
		add_error(errors, "timing", "renew_ms",
			  "must be at most a third of timing.lease_term_ms");
	if (settings->heartbeat_ms * HEARTBEATS_PER_TIMEOUT >
	    settings->peer_timeout_ms)
		add_error(errors, "timing", "heartbeat_ms",
			  "must be at most a third of "
			  "timing.peer_timeout_ms");
}

#define READ_SECTION(root, key, required, fields, settings, errors)            \
	read_section(root, key, required, fields, G_N_ELEMENTS(fields),        \
		     settings, errors)

static mt_settings_t *settings_from_json(const json_t *root, GPtrArray *errors)
{
	static const char *const other_keys[] = {
		"listen",	"platform", "policy",	 "timing", "limits",
		"data_centres", "peers",    "log_level", NULL};
	mt_settings_t *settings = g_new0(mt_settings_t, 1);

	settings->data_centres = g_array_new(FALSE, TRUE, sizeof(mt_name_t));
	settings->peers = g_array_new(FALSE, TRUE, sizeof(mt_peer_setting_t));
	read_fields(root, root_fields, G_N_ELEMENTS(root_fields), other_keys,
		    "", settings, errors);
	READ_SECTION(root, "listen", true, listen_fields, settings, errors);
	READ_SECTION(root, "platform", true, platform_fields, settings, errors);
	READ_SECTION(root, "policy", false, policy_fields, settings, errors);
	READ_SECTION(root, "timing", false, timing_fields, settings, errors);
	READ_SECTION(root, "limits", false, limit_fields, settings, errors);
	read_data_centres(root, settings, errors);
	read_peers(root, settings, errors);
	read_log_level(root, settings, errors);
	check_relations(settings, errors);
	if (errors->len)
		g_clear_pointer(&settings, mt_settings_free);
	return settings;
}

mt_settings_t *mt_settings_parse(mt_str_t text, GPtrArray *errors)
{
	json_error_t where;
	json_t *root =
		json_loadb(text.data, text.len, JSON_REJECT_DUPLICATES, &where);
	mt_settings_t *settings = NULL;

	if (!root)
		g_ptr_array_add(errors,
				g_strdup_printf("line %d, column %d: %s",
						where.line, where.column,
						where.text));
	else if (!json_is_object(root))
		g_ptr_array_add(errors, g_strdup("must be a JSON object"));
	else
		settings = settings_from_json(root, errors);
	json_decref(root);
	return settings;
}

mt_settings_t *mt_settings_load(const char *path, GPtrArray *errors)
{
	GError *error = NULL;
	mt_settings_t *settings;
	char *text;
	gsize len;

	if (!g_file_get_contents(path, &text, &len, &error)) {
		g_ptr_array_add(errors, g_strdup(error->message));
		g_error_free(error);
		return NULL;
	}
	settings = mt_settings_parse((mt_str_t){text, len}, errors);
	g_free(text);
	return settings;
}

void mt_settings_free(mt_settings_t *settings)
{
	if (!settings)
		return;
	g_array_unref(settings->data_centres);
	g_array_unref(settings->peers);
	g_free(settings);
}
