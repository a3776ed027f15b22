#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "monsoonspindle/coord.h"

#define SEEDS 1000
#define RECEIVERS 3
#define STEP (5 * MSP_MS)
#define STEPS 2400 /* 12 s */
#define LOG_SIZE 8192
#define IN_FLIGHT 64

/* Bytes and requests on one link, with their sums over the last second. */
typedef struct link_log {
	msp_time_t at[LOG_SIZE];
	uint64_t bytes[LOG_SIZE];
	uint32_t requests[LOG_SIZE];
	uint32_t first, next;
	uint64_t byte_sum, request_sum;
	uint64_t max_bytes, max_requests, total_requests;
} link_log_t;

/* An admitted request of a receiver. */
typedef struct pending {
	msp_credit_reservation_t reservation;
	msp_time_t run_end; /* 0: free */
	msp_time_t response_at; /* when it is sent; 0: not settled */
	uint64_t bytes;
} pending_t;

typedef struct receiver {
	msp_credit_granter_t *granter;
	pending_t pending[IN_FLIGHT];
	msp_time_t new_share_at; /* when it gets its changed share */
} receiver_t;

static void
log_link(link_log_t *link, msp_time_t now, uint64_t bytes, uint32_t requests)
{
	while (link->first < link->next &&
	    link->at[link->first % LOG_SIZE] + MSP_SECOND <= now) {
		link->byte_sum -= link->bytes[link->first % LOG_SIZE];
		link->request_sum -= link->requests[link->first % LOG_SIZE];
		link->first++;
	}
	link->at[link->next % LOG_SIZE] = now;
	link->bytes[link->next % LOG_SIZE] = bytes;
	link->requests[link->next % LOG_SIZE] = requests;
	link->next++;
	link->byte_sum += bytes;
	link->request_sum += requests;
	link->total_requests += requests;
	if (link->byte_sum > link->max_bytes)
		link->max_bytes = link->byte_sum;
	if (link->request_sum > link->max_requests)
		link->max_requests = link->request_sum;
}

static void
set_share(receiver_t *receiver, const msp_credit_rate_t *cap,
    const uint32_t *weights, size_t index)
{
	msp_credit_rate_t share = {
	    .requests = (uint32_t)msp_split_cap(
		cap->requests, weights, RECEIVERS, index),
	    .bytes = msp_split_cap(cap->bytes, weights, RECEIVERS, index),
	};

	assert_int_equal(
	    msp_set_credit_share(receiver->granter, "a", &share), MSP_OK);
}

/* Settles finished requests and sends the responses that are due. */
static void
send_responses(receiver_t *receiver, link_log_t *link, msp_time_t now)
{
	int i;

	for (i = 0; i < IN_FLIGHT; i++) {
		pending_t *pending = &receiver->pending[i];

		if (pending->run_end == 0 || pending->run_end > now)
			continue;
		if (pending->response_at == 0)
			pending->response_at = now +
			    msp_settle_credit(receiver->granter,
				&pending->reservation, pending->bytes);
		if (pending->response_at > now)
			continue;
		log_link(link, now, pending->bytes, 0);
		*pending = (pending_t){0};
	}
}

static void
send_request(
    receiver_t *receiver, link_log_t *link, msp_rng_t *rng, msp_time_t now)
{
	uint64_t largest = msp_next_random(rng) % 20 == 0 ? 60000 : 4000;
	int i;

	for (i = 0; i < IN_FLIGHT; i++) {
		pending_t *pending = &receiver->pending[i];

		if (pending->run_end != 0)
			continue;
		if (msp_reserve_credit(receiver->granter, "a", 500,
			&pending->reservation) != MSP_OK)
			return;
		log_link(link, now, 500, 1);
		pending->bytes = msp_next_random(rng) % largest;
		pending->run_end = now + msp_next_random(rng) % 80000 + 1;
		return;
	}
}

static void
new_receiver(receiver_t *receiver, const msp_env_t *env)
{
	msp_credit_granter_options_t options = {
	    .propagation_delay = MSP_SECOND};

	msp_drop_credit_granter(receiver->granter);
	receiver->granter = msp_new_credit_granter(env, &options);
	memset(receiver->pending, 0, sizeof(receiver->pending));
}

/*
 * Three receivers share the cap of a region, which must hold in every second
 * although senders use all credit, response sizes jump, the weights change
 * midway and reach the receivers at different times, and a receiver restarts.
 */
static void
admitted_requests_stay_under_cap(void **state)
{
	static link_log_t link;
	static receiver_t receivers[RECEIVERS];
	/* The first limits requests, the second bytes. */
	const msp_credit_rate_t caps[2] = {
	    {.requests = 120, .bytes = 900000},
	    {.requests = 2000, .bytes = 300000},
	};
	const uint32_t weights[2][RECEIVERS] = {{5, 3, 2}, {1, 2, 7}};
	uint64_t seed, passed = 0, max_requests = 0, max_bytes = 0;
	uint64_t violations = 0;
	int i, step;

	(void)state;
	for (seed = 1; seed <= SEEDS; seed++) {
		msp_virtual_env_t venv = {
		    .now = MSP_MINUTE, .rng = {.state = seed}};
		msp_rng_t rng = {.state = seed * 31};
		msp_env_t env = msp_virtual_env(&venv);
		int replaced = (int)(seed % RECEIVERS);
		msp_credit_rate_t cap = caps[seed % 2];

		memset(&link, 0, sizeof(link));
		memset(receivers, 0, sizeof(receivers));
		for (i = 0; i < RECEIVERS; i++) {
			new_receiver(&receivers[i], &env);
			set_share(&receivers[i], &cap, weights[0], (size_t)i);
			receivers[i].new_share_at = venv.now + 6 * MSP_SECOND +
			    msp_next_random(&rng) % MSP_SECOND;
		}
		for (step = 0; step < STEPS; step++) {
			venv.now += STEP + msp_next_random(&rng) % 100;
			if (step == 1000 + (int)seed % 300) {
				int has_new_share =
				    receivers[replaced].new_share_at <=
				    venv.now;

				new_receiver(&receivers[replaced], &env);
				set_share(&receivers[replaced], &cap,
				    weights[has_new_share], (size_t)replaced);
			}
			for (i = 0; i < RECEIVERS; i++) {
				receiver_t *receiver = &receivers[i];
				msp_spare_capacity_t spare = {
				    .capacity = 40,
				    .service_time = 40 * MSP_MS,
				};

				if (receiver->new_share_at <= venv.now)
					set_share(receiver, &cap, weights[1],
					    (size_t)i);
				if (step % 50 == i)
					msp_update_credit_offers(
					    receiver->granter, &spare);
				send_responses(receiver, &link, venv.now);
				send_request(receiver, &link, &rng, venv.now);
			}
		}
		passed += link.total_requests;
		violations += link.max_requests > cap.requests;
		violations += link.max_bytes > cap.bytes;
		if (seed % 2 == 0 && link.max_requests > max_requests)
			max_requests = link.max_requests;
		if (seed % 2 == 1 && link.max_bytes > max_bytes)
			max_bytes = link.max_bytes;
		for (i = 0; i < RECEIVERS; i++) {
			msp_drop_credit_granter(receivers[i].granter);
			receivers[i].granter = NULL;
		}
	}
	print_message("%llu requests; most in a second: %llu requests of %u, "
		      "%llu bytes of %llu\n",
	    (unsigned long long)passed, (unsigned long long)max_requests,
	    caps[0].requests, (unsigned long long)max_bytes,
	    (unsigned long long)caps[1].bytes);
	assert_true(passed > 200 * SEEDS);
	assert_int_equal(violations, 0);
}

typedef struct split_case {
	uint64_t cap;
	uint32_t weights[3];
	uint64_t shares[3];
} split_case_t;

static void
shares_add_up_to_at_most_the_cap(void **state)
{
	static const split_case_t cases[] = {
	    {10, {1, 1, 1}, {3, 3, 3}},
	    {500000000, {9, 9, 18}, {125000000, 125000000, 250000000}},
	    {1, {1, 1, 1}, {0, 0, 0}},
	    {7, {0, 0, 0}, {0, 0, 0}},
	    {UINT64_MAX, {1, 0, 0}, {UINT64_MAX, 0, 0}},
	};
	size_t i, j;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		for (j = 0; j < 3; j++)
			assert_int_equal(
			    msp_split_cap(cases[i].cap, cases[i].weights, 3, j),
			    cases[i].shares[j]);
	}
}

static void
credit_expires(void **state)
{
	msp_virtual_env_t venv = {.now = MSP_MINUTE};
	msp_env_t env = msp_virtual_env(&venv);
	msp_credit_granter_options_t options = {0};
	msp_credit_granter_t *granter = msp_new_credit_granter(&env, &options);
	msp_sender_credits_t *credits = msp_new_sender_credits(&env);
	msp_credit_rate_t share = {.requests = 100, .bytes = 1000000};
	msp_spare_capacity_t spare = {
	    .capacity = 10, .service_time = 50 * MSP_MS};
	msp_credit_offer_t offer;
	msp_credit_reservation_t reservation;

	(void)state;
	msp_set_credit_share(granter, "a", &share);
	msp_update_credit_offers(granter, &spare);
	msp_get_credit_offer(granter, "a", &offer);
	/* A new granter offers nothing yet. */
	assert_int_equal(offer.valid_for, 0);
	venv.now += 3100 * MSP_MS; /* propagation delay 0, and the lifetime */
	msp_update_credit_offers(granter, &spare);
	venv.now += 500 * MSP_MS;
	msp_get_credit_offer(granter, "a", &offer);
	assert_true(offer.rate.requests > 0);
	msp_accept_credit_offer(credits, "p", &offer, 1, 100 * MSP_MS);
	venv.now += 500 * MSP_MS;
	assert_int_equal(msp_spend_credit(credits, "p"), MSP_OK);
	assert_int_equal(
	    msp_reserve_credit(granter, "a", 1, &reservation), MSP_OK);
	msp_settle_credit(granter, &reservation, 1);
	assert_int_equal(
	    msp_reserve_credit(granter, "b", 1, &reservation), MSP_E_NO_CREDIT);
	venv.now += 3 * MSP_SECOND;
	assert_int_equal(msp_spend_credit(credits, "p"), MSP_E_NO_CREDIT);
	assert_int_equal(
	    msp_reserve_credit(granter, "a", 1, &reservation), MSP_E_NO_CREDIT);
	msp_drop_sender_credits(credits);
	msp_drop_credit_granter(granter);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(admitted_requests_stay_under_cap),
	    cmocka_unit_test(shares_add_up_to_at_most_the_cap),
	    cmocka_unit_test(credit_expires),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
