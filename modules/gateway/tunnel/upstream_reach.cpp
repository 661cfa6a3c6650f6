#include "gateway/tunnel/upstream_reach.h"

#include <algorithm>
#include <utility>

namespace samphireway::gateway {

upstream_reach::upstream_reach(upstream_reach_options options_to_use) : options(std::move(options_to_use)) {}

void upstream_reach::record_success()
{
    this->failed.clear();
    this->failures = 0;
    ++this->successes;
    const bool has_returned =
        this->current == reach_state::cut_off && this->successes >= this->options.successes_to_return;
    if (this->current == reach_state::doubted || has_returned) {
        this->change(reach_state::connected);
    }
}

void upstream_reach::record_failure(const boost::asio::ip::tcp::endpoint& upstream)
{
    const core::steady_time now = this->options.time.steady();
    if (now > this->last_failure + this->options.failure_age) {
        this->failed.clear();
        this->failures = 0;
    }
    this->last_failure = now;
    this->successes = 0;
    this->failed.insert(upstream);
    ++this->failures;
    const std::size_t distinct =
        std::min(static_cast<std::size_t>(this->options.failures_to_doubt), this->options.upstreams());
    if (this->current == reach_state::connected && this->failures >= this->options.failures_to_doubt &&
        this->failed.size() >= distinct) {
        this->change(reach_state::doubted);
        this->options.on_doubt();
    }
}

void upstream_reach::confirm_doubt()
{
    if (this->current == reach_state::doubted) {
        this->change(reach_state::cut_off);
    }
}

void upstream_reach::dismiss_doubt()
{
    if (this->current == reach_state::doubted) {
        this->failed.clear();
        this->failures = 0;
        this->change(reach_state::connected);
    }
}

void upstream_reach::change(reach_state next)
{
    if (next == reach_state::cut_off || this->current == reach_state::cut_off) {
        const bool is_cut_off = next == reach_state::cut_off;
        core::log_event(core::log_level::warning, is_cut_off ? "upstreams_cut_off" : "upstreams_reached",
                        {{"failures", this->failures}, {"successes", this->successes}});
    }
    this->current = next;
    this->successes = 0;
}

} // namespace samphireway::gateway
