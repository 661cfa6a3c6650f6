#include "gateway/control/budget_supply.h"

namespace samphireway::gateway {

namespace {

using std::chrono::milliseconds;
using clock = std::chrono::steady_clock;

constexpr milliseconds deposit_retry{400};
// Requests that lack budget within this time share one write to the ledger.
constexpr milliseconds draw_delay{15};
// Near a plan's end and in its tail holders keep less, so that what is left reaches the node that needs it.
constexpr std::chrono::seconds end_phase{6};
constexpr std::chrono::seconds end_piece{1};
constexpr std::chrono::seconds tail_phase{1};
constexpr std::chrono::seconds kept_when_others_lack{2};
// In a large fleet a ledger writer draws for ten nodes; the object API allows far more than twice the calls.
constexpr double call_factor = 2;
// A draw and the conflicts of the first moments take a tenth of a second; four times the waiting requests
// last until the next one.
constexpr std::int64_t drawn_ahead = 4;
// What was used since the last settlement counts as lost when the node loses power.
constexpr milliseconds settle_interval{1000};
// Shorter than a burst of one workspace, longer than the gaps between requests of a small one.
constexpr std::chrono::seconds demand_smoothing{20};

} // namespace

budget_supply::budget_supply(budget_supply_options given)
    : options(std::move(given)), account(this->purse_options_of()),
      controller(this->account, this->controller_options())
{
}

budget::purse_options budget_supply::purse_options_of()
{
    return budget::purse_options{
        .holder = this->options.holder,
        .ledger_shards = this->options.budget.ledgers,
        .draw = budget::draw_options{.horizon = this->options.budget.horizon,
                                     .end_phase = end_phase,
                                     .end_piece = end_piece,
                                     .tail = tail_phase,
                                     .kept_for_own_use = kept_when_others_lack,
                                     .drawn_ahead = drawn_ahead,
                                     .counts_reservations = true,
                                     .minimum_draw = this->options.budget.minimum_draw_tokens,
                                     .shared_sixteenths = this->options.budget.held_sixteenths,
                                     .tapers_with_rest = true,
                                     .settle_interval = settle_interval,
                                     .demand_smoothing = demand_smoothing},
        .on_shortage = [this] { this->request_draw(); },
        .calls = budget::scale(budget::call_limits_for(this->options.budget.ledgers), call_factor)};
}

budget::budget_controller_options budget_supply::controller_options()
{
    return budget::budget_controller_options{.store = this->watched_store(),
                                             .run_blocking = this->options.run_blocking,
                                             .run_control = [this](std::function<void()> task) {
                                                 this->options.run_control([this, task = std::move(task)] {
                                                     task();
                                                     this->options.on_change();
                                                 });
                                             }};
}

void budget_supply::request_draw()
{
    if (!this->is_draw_requested.exchange(true)) {
        this->options.run_control_at(clock::now() + draw_delay, [this] {
            this->is_draw_requested = false;
            this->controller.tick();
        });
    }
}

platform::object_store budget_supply::watched_store()
{
    platform::object_store store = this->options.store;
    store.get = [this, call = this->options.store.get](const std::string& key) {
        core::result<std::optional<platform::object>> found = call(key);
        this->is_reachable = found.has_value();
        return found;
    };
    store.put = [this, call = this->options.store.put](const std::string& key, const Json::Value& value,
                                                       platform::object_version expected) {
        core::result<platform::put_outcome> outcome = call(key, value, expected);
        this->is_reachable = outcome.has_value();
        return outcome;
    };
    return store;
}

void budget_supply::set_deposits(std::map<std::string, std::int64_t> totals, core::steady_time due)
{
    if (totals == this->wanted_totals) {
        return;
    }
    this->wanted_totals = std::move(totals);
    this->are_totals_stored = false;
    this->store_again_at = due;
    this->tick(clock::now());
}

void budget_supply::tick(core::steady_time now)
{
    this->controller.tick();
    if (!this->are_totals_stored && !this->is_storing && now >= this->store_again_at) {
        this->store_totals();
    }
}

void budget_supply::store_totals()
{
    this->is_storing = true;
    this->are_totals_stored = true; // A configuration that comes meanwhile clears it again.
    this->options.run_blocking([this, totals = this->wanted_totals] {
        const core::result<void> stored = store_deposits(
            this->options.store, this->account,
            deposit_update{.totals = totals, .node = this->options.node, .holder = this->options.holder});
        this->options.run_control([this, stored] {
            this->is_storing = false;
            if (stored) {
                this->options.on_change();
                return;
            }
            this->are_totals_stored = false;
            this->store_again_at = clock::now() + deposit_retry;
            core::log_event(
                core::log_level::warning, "deposits_not_stored",
                {{"code", core::to_string(stored.error().code)}, {"reason", stored.error().message}});
        });
    });
}

void budget_supply::start_drain()
{
    this->account.start_drain();
}

bool budget_supply::is_drained() const
{
    return this->account.is_drained();
}

} // namespace samphireway::gateway
