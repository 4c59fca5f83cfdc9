/** @file plan_speed.c Chooses servers by their speeds. */
#include "dag/plan_internal.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/**
 * Servers form one class if their speeds differ by no more than this factor.
 * Speeds are estimates, so that smaller differences mean little.
 */
#define CLASS_RATIO 1.15

/**
 * A unit is expected to be in time on a server if its estimated run time there,
 * times this margin, is within the time left. Tasks of one step differ in work.
 */
#define RUN_TIME_MARGIN 1.25

/** Time from a preemption until the resources of the stopped runs are free. */
#define STOP_TIME_MS 500

/*
 * A gang is placed on the set of servers with the lowest price: the capacity
 * that it uses there, relative to servers of equal speed, times a power of the
 * speed of the slowest member, which determines when the gang ends.
 */

/** Exponent for gangs that should end soon: the price falls with the speed. */
#define END_SOON_EXPONENT (-2.0)

/** Exponent for other gangs, so that fast servers stay free for urgent ones. */
#define SAVE_FAST_EXPONENT 0.25

/* Classes. */

static double speed_of(const mt_plan_server_t *server)
{
	return server->speed > 0 ? server->speed : 1.0;
}

static int compare_speeds(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return x < y ? -1 : x > y;
}

/** Sets the lowest speed of each class, from the sorted speeds. */
static void find_classes(mt_speed_classes_t *classes, const double *speeds,
			 uint32_t n_speeds)
{
	for (uint32_t i = 0; i < n_speeds; i++) {
		uint32_t n = classes->n;

		if (n && speeds[i] <= classes->lowest[n - 1] * CLASS_RATIO)
			continue;
		if (n < MT_SPEED_CLASSES_MAX)
			classes->lowest[classes->n++] = speeds[i];
	}
}

/** The class with the highest `lowest` that the speed reaches. */
static uint32_t class_of_speed(const mt_speed_classes_t *classes, double speed)
{
	uint32_t speed_class = classes->n - 1;

	while (speed_class && speed < classes->lowest[speed_class])
		speed_class--;
	return speed_class;
}

void mt_speed_classes_init(mt_speed_classes_t *classes, const mt_plan_t *plan)
{
	double *speeds = g_new(double, plan->n_servers + 1);

	*classes = (mt_speed_classes_t){0};
	classes->of_server = g_new0(uint32_t, plan->n_servers + 1);
	for (uint32_t i = 0; i < plan->n_servers; i++)
		speeds[i] = speed_of(&plan->servers[i]);
	if (plan->n_servers)
		qsort(speeds, plan->n_servers, sizeof(*speeds), compare_speeds);
	find_classes(classes, speeds, plan->n_servers);
	for (uint32_t i = 0; i < plan->n_servers; i++)
		classes->of_server[i] =
			class_of_speed(classes, speed_of(&plan->servers[i]));
	g_free(speeds);
}

void mt_speed_classes_clear(mt_speed_classes_t *classes)
{
	g_free(classes->of_server);
}

bool mt_speed_classes_differ(const mt_speed_classes_t *classes)
{
	return classes->n > 1;
}

/* Preference of a unit. */

/** True if the unit ends in time on servers of this speed, with a margin. */
static bool is_in_time(const mt_plan_unit_t *unit, double speed, double margin)
{
	return unit->run_ms * margin <= (double)unit->left_ms * speed;
}

mt_speed_preference_t mt_speed_preference_of(const mt_speed_classes_t *classes,
					     const mt_plan_unit_t *unit)
{
	mt_speed_preference_t preference = {unit->priority == 0, 0};

	if (preference.end_soon || !classes->n)
		return preference;
	if (!is_in_time(unit, classes->lowest[classes->n - 1], 1))
		return preference;
	while (preference.in_time_from < classes->n &&
	       !is_in_time(unit, classes->lowest[preference.in_time_from],
			   RUN_TIME_MARGIN))
		preference.in_time_from++;
	if (preference.in_time_from == classes->n)
		preference = (mt_speed_preference_t){true, 0};
	return preference;
}

uint32_t mt_speed_slowest_in_time(const mt_speed_classes_t *classes,
				  const mt_plan_unit_t *unit)
{
	for (uint32_t i = 0; i < classes->n; i++) {
		if (is_in_time(unit, classes->lowest[i], 1))
			return i;
	}
	return 0;
}

uint32_t mt_speed_slowest_after_stop(const mt_speed_classes_t *classes,
				     const mt_plan_unit_t *unit)
{
	mt_plan_unit_t later = *unit;

	later.left_ms -= STOP_TIME_MS;
	for (uint32_t i = 0; i < classes->n; i++) {
		if (is_in_time(&later, classes->lowest[i], RUN_TIME_MARGIN))
			return i;
	}
	return 0;
}

bool mt_plan_is_late_on(const mt_plan_index_t *index,
			const mt_plan_unit_t *unit,
			const mt_server_set_t *server_set)
{
	const mt_speed_classes_t *classes = &index->classes;
	uint32_t slowest = classes->n - 1;

	for (uint32_t i = 0; i < server_set->n_servers; i++)
		slowest = MIN(slowest,
			      classes->of_server[server_set->servers[i]]);
	return !is_in_time(unit, classes->lowest[slowest], RUN_TIME_MARGIN);
}

uint32_t mt_plan_spare_ms(const mt_plan_unit_t *unit)
{
	double spare_ms = (double)unit->left_ms -
			  unit->run_ms * RUN_TIME_MARGIN - STOP_TIME_MS;

	return spare_ms > 0 ? (uint32_t)MIN(spare_ms, UINT32_MAX) : 0;
}

uint32_t mt_speed_rank(const mt_scope_t *scope,
		       const mt_speed_preference_t *preference, uint32_t server)
{
	const mt_speed_classes_t *classes = &scope->index->classes;
	uint32_t speed_class = classes->of_server[server];

	if (scope->server_set->is_chosen_by_speed)
		return speed_class;
	if (preference->end_soon || speed_class < preference->in_time_from)
		return classes->n - 1 - speed_class;
	return speed_class - preference->in_time_from;
}

/* Sets of servers for a gang. */

/** How many tasks of a gang fit on the servers of each class. */
typedef struct mt_class_fits_t {
	uint32_t fit[MT_SPEED_CLASSES_MAX];
	uint32_t gpu; /**< accelerators that are available */
	bool skipped; /**< servers with a penalty were left out */
} mt_class_fits_t;

/** A candidate: the servers of a set whose classes are within a range. */
typedef struct mt_speed_window_t {
	const mt_server_set_t *server_set; /**< NULL: none */
	uint32_t low;			   /**< slowest class */
	uint32_t high;			   /**< fastest class */
	bool in_time; /**< the gang is expected to end in time */
	double price;
	uint32_t gpu; /**< accelerators that are available in `server_set` */
} mt_speed_window_t;

/** A search for the best window. */
typedef struct mt_window_search_t {
	mt_speed_preference_t preference;
	/** Per class, the factor of the price for its speed. */
	double speed_price[MT_SPEED_CLASSES_MAX];
	bool skip_penalties; /**< only servers without a penalty */
	bool skipped;	     /**< there were servers with a penalty */
	mt_speed_window_t best;
} mt_window_search_t;

static void init_search(mt_window_search_t *search,
			const mt_speed_classes_t *classes,
			const mt_plan_unit_t *unit)
{
	*search = (mt_window_search_t){
		.preference = mt_speed_preference_of(classes, unit),
		.skip_penalties = true,
	};
	for (uint32_t i = 0; i < classes->n; i++)
		search->speed_price[i] =
			pow(classes->lowest[i], search->preference.end_soon
							? END_SOON_EXPONENT
							: SAVE_FAST_EXPONENT);
}

static mt_class_fits_t count_class_fits(const mt_scope_t *scope,
					bool skip_penalties)
{
	mt_class_fits_t fits = {0};

	for (uint32_t i = 0; i < scope->server_set->n_servers; i++) {
		uint32_t server = scope->server_set->servers[i];
		uint32_t speed_class = scope->index->classes.of_server[server];

		if (!mt_scope_allows(scope, server))
			continue;
		fits.gpu += mt_scope_available_on(scope, server).gpu;
		if (skip_penalties && scope->plan->servers[server].penalty) {
			fits.skipped = true;
			continue;
		}
		fits.fit[speed_class] +=
			MIN(mt_scope_fit_count_on(scope, server),
			    scope->unit->count);
	}
	return fits;
}

/**
 * Makes the window whose slowest class is `low`. Its slowest servers are used
 * first, so that the range of its speeds is as small as possible.
 * @return false if the gang does not fit
 */
static bool make_window(const mt_window_search_t *search,
			const mt_scope_t *scope, const mt_class_fits_t *fits,
			uint32_t low, mt_speed_window_t *window)
{
	const mt_speed_classes_t *classes = &scope->index->classes;
	uint32_t left = scope->unit->count;
	uint32_t speed_class = low;
	double speed_sum = 0;
	double capacity;

	if (!fits->fit[low])
		return false;
	for (; speed_class < classes->n && left; speed_class++) {
		uint32_t used = MIN(fits->fit[speed_class], left);

		speed_sum += used * classes->lowest[speed_class];
		left -= used;
	}
	if (left)
		return false;
	capacity = speed_sum / (scope->unit->count * classes->lowest[low]);
	*window = (mt_speed_window_t){
		.server_set = scope->server_set,
		.low = low,
		.high = speed_class - 1,
		.in_time = low >= search->preference.in_time_from,
		.price = capacity * search->speed_price[low],
		.gpu = fits->gpu,
	};
	return true;
}

/** True if the gang should use `window` instead of `best`. */
static bool is_better_window(const mt_speed_window_t *window,
			     const mt_speed_window_t *best)
{
	if (!best->server_set)
		return true;
	if (window->in_time != best->in_time)
		return window->in_time;
	if (!window->in_time && window->low != best->low)
		return window->low > best->low;
	if (window->price != best->price)
		return window->price < best->price;
	return window->gpu < best->gpu;
}

static void search_set(mt_window_search_t *search, const mt_scope_t *scope)
{
	mt_class_fits_t fits = count_class_fits(scope, search->skip_penalties);
	mt_speed_window_t window;

	search->skipped = search->skipped || fits.skipped;
	for (uint32_t low = 0; low < scope->index->classes.n; low++) {
		if (make_window(search, scope, &fits, low, &window) &&
		    is_better_window(&window, &search->best))
			search->best = window;
	}
}

static void search_all_sets(mt_window_search_t *search, const mt_plan_t *plan,
			    const mt_plan_index_t *index,
			    const mt_plan_unit_t *unit, bool one_rack)
{
	const mt_server_set_t *sets = one_rack ? index->racks : &index->all;
	uint32_t n_sets = one_rack ? index->n_racks : 1;

	for (uint32_t i = 0; i < n_sets; i++) {
		mt_scope_t scope = {
			plan, index, unit, &sets[i], MT_CAPACITY_FREE, NULL};

		if (one_rack && unit->data_rack &&
		    sets[i].name != unit->data_rack)
			continue;
		search_set(search, &scope);
	}
}

/** Lists the servers of the window that were not left out of the search. */
static mt_server_set_t list_servers(const mt_window_search_t *search,
				    const mt_plan_t *plan,
				    const mt_plan_index_t *index)
{
	const mt_speed_window_t *window = &search->best;
	const mt_server_set_t *all = window->server_set;
	uint32_t *servers = g_new(uint32_t, all->n_servers + 1);
	uint32_t n = 0;

	for (uint32_t i = 0; i < all->n_servers; i++) {
		uint32_t server = all->servers[i];
		uint32_t speed_class = index->classes.of_server[server];

		if (speed_class < window->low || speed_class > window->high)
			continue;
		if (search->skip_penalties && plan->servers[server].penalty)
			continue;
		servers[n++] = server;
	}
	return (mt_server_set_t){all->name, servers, n, true};
}

bool mt_plan_choose_by_speed(const mt_plan_t *plan,
			     const mt_plan_index_t *index,
			     const mt_plan_unit_t *unit, bool one_rack,
			     mt_server_set_t *chosen)
{
	mt_window_search_t search;

	init_search(&search, &index->classes, unit);
	search_all_sets(&search, plan, index, unit, one_rack);
	if (!search.best.server_set && search.skipped) {
		search.skip_penalties = false;
		search_all_sets(&search, plan, index, unit, one_rack);
	}
	if (!search.best.server_set)
		return false;
	*chosen = list_servers(&search, plan, index);
	return true;
}
