#include "gateway/control/budget_supply.h"

namespace samphireway::gateway {

namespace {

using std::chrono::milliseconds;
using clock = std::chrono::steady_clock;

constexpr milliseconds deposit_retry_interval{400};
// All requests that run short of budget within this time share one ledger write.
constexpr milliseconds draw_delay{30};
// When little of a plan's budget is left, holders keep less in advance, so that the remaining tokens
// stay available to the nodes that need them.
constexpr std::chrono::seconds low_phase_threshold{6};
constexpr std::chrono::seconds low_phase_grant{1};
constexpr std::chrono::seconds nearly_exhausted_threshold{1};
constexpr std::chrono::seconds retained_in_shortage{2};
// In a large fleet a ledger writer draws for ten nodes. The object API allows far more than twice the
// default call limits.
constexpr double call_limit_factor = 2;
// A draw, with the write conflicts of a plan's first moments, takes a tenth of a second. Four times the
// tokens that waiting requests lack last until the next draw.
constexpr std::int64_t draw_ahead_factor = 4;
// Tokens used since the last settlement count as lost when the node loses power.
constexpr milliseconds settle_interval{1000};
// Shorter than a burst of one workspace, but longer than the gaps between requests of a small workspace.
constexpr std::chrono::seconds demand_smoothing{20};

} // namespace

budget_supply::budget_supply(budget_supply_options options_to_use)
    : options(std::move(options_to_use)), account(this->grant_options()),
      controller(this->account, this->controller_options())
{
}

budget::grant_pool_options budget_supply::grant_options()
{
    return budget::grant_pool_options{
        .holder = this->options.holder,
        .ledger_shards = this->options.budget.ledgers,
        .draw = budget::draw_options{.horizon = this->options.budget.horizon,
                                     .low_phase_threshold = low_phase_threshold,
                                     .low_phase_grant = low_phase_grant,
                                     .nearly_exhausted_threshold = nearly_exhausted_threshold,
                                     .retained_in_shortage = retained_in_shortage,
                                     .draw_ahead_factor = draw_ahead_factor,
                                     .counts_reservations = true,
                                     .minimum_draw = this->options.budget.minimum_draw_tokens,
                                     .shared_sixteenths = this->options.budget.held_sixteenths,
                                     .tapers_with_unspent = true,
                                     .settle_interval = settle_interval,
                                     .demand_smoothing = demand_smoothing},
        .on_shortage = [this] { this->request_draw(); },
        .calls = budget::scale(budget::call_limits_for(this->options.budget.ledgers), call_limit_factor)};
}

budget::budget_controller_options budget_supply::controller_options()
{
    return budget::budget_controller_options{.store = this->monitored_store(),
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

platform::object_store budget_supply::monitored_store()
{
    platform::object_store store = this->options.store;
    store.get = [this, call = this->options.store.get](const std::string& key) {
        core::result<platform::object_reading> reading = call(key);
        this->is_reachable = reading.has_value();
        return reading;
    };
    store.put = [this, call = this->options.store.put](const std::string& key, const Json::Value& value,
                                                       platform::object_version expected) {
        core::result<platform::put_outcome> outcome = call(key, value, expected);
        this->is_reachable = outcome.has_value();
        return outcome;
    };
    return store;
}

void budget_supply::set_deposits(deposit_update update, core::steady_time not_before)
{
    if (update == this->target) {
        return;
    }
    this->target = std::move(update);
    this->are_totals_stored = false;
    this->next_store_at = not_before;
    this->tick(clock::now());
}

void budget_supply::on_restore(core::steady_time now)
{
    this->account.doubt_ledgers(now);
    this->are_totals_stored = false;
    this->next_store_at = now;
    this->tick(now);
}

void budget_supply::tick(core::steady_time now)
{
    this->controller.tick();
    if (!this->are_totals_stored && !this->is_storing && now >= this->next_store_at) {
        this->store_totals();
    }
}

void budget_supply::store_totals()
{
    this->is_storing = true;
    this->are_totals_stored = true; // Reset by a new configuration or a failed write.
    this->options.run_blocking([this, update = this->target] {
        const core::result<void> stored = store_deposits(this->options.store, this->account, update);
        this->options.run_control([this, stored] {
            this->is_storing = false;
            if (stored) {
                if (this->are_totals_stored) {
                    this->account.trust_ledgers(clock::now());
                }
                this->options.on_change();
                return;
            }
            this->are_totals_stored = false;
            this->next_store_at = clock::now() + deposit_retry_interval;
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
