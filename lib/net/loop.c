/** @file loop.c The libuv event loop, which drives the timer service. */
#include "net/loop.h"

#include <glib.h>

#include <time.h>

#define NS_PER_MS 1000000
#define MS_PER_S 1000

struct mt_loop_t {
	uv_loop_t uv;
	uv_timer_t timer;
	uv_prepare_t prepare;
	uv_check_t check;
	mt_timers_t *timers;
};

/** Monotonic time; includes the time for which the machine was suspended. */
static mt_ms_t monotonic_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_BOOTTIME, &now);
	return (mt_ms_t)(now.tv_sec * MS_PER_S + now.tv_nsec / NS_PER_MS);
}

static void advance_timers(mt_loop_t *loop)
{
	mt_timers_advance(loop->timers, monotonic_ms());
}

static void on_timer(uv_timer_t *timer)
{
	advance_timers(timer->data);
}

/** Called after the loop has polled. */
static void on_check(uv_check_t *check)
{
	advance_timers(check->data);
}

/** Called before the loop polls. Sets the libuv timer to the next due time. */
static void on_prepare(uv_prepare_t *prepare)
{
	mt_loop_t *loop = prepare->data;
	mt_ms_t next = mt_timers_next(loop->timers);
	mt_ms_t now = monotonic_ms();

	if (next == MT_NEVER_MS)
		uv_timer_stop(&loop->timer);
	else
		uv_timer_start(&loop->timer, on_timer,
			       next > now ? next - now : 0, 0);
}

mt_loop_t *mt_loop_new(void)
{
	mt_loop_t *loop = g_new0(mt_loop_t, 1);

	uv_loop_init(&loop->uv);
	loop->timers = mt_timers_new(monotonic_ms());
	mt_timers_set_clock(loop->timers, monotonic_ms);
	uv_timer_init(&loop->uv, &loop->timer);
	uv_prepare_init(&loop->uv, &loop->prepare);
	uv_check_init(&loop->uv, &loop->check);
	loop->timer.data = loop;
	loop->prepare.data = loop;
	loop->check.data = loop;
	uv_prepare_start(&loop->prepare, on_prepare);
	uv_check_start(&loop->check, on_check);
	return loop;
}

uv_loop_t *mt_loop_uv(mt_loop_t *loop)
{
	return &loop->uv;
}

mt_timers_t *mt_loop_timers(mt_loop_t *loop)
{
	return loop->timers;
}

void mt_loop_run(mt_loop_t *loop)
{
	uv_run(&loop->uv, UV_RUN_DEFAULT);
}

void mt_loop_stop(mt_loop_t *loop)
{
	uv_stop(&loop->uv);
}
