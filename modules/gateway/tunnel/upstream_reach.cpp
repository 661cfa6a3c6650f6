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
    if (this->is_cut && this->successes >= this->options.successes_to_return) {
        this->change(false);
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
        std::min(static_cast<std::size_t>(this->options.failures_to_cut), this->options.upstreams());
    if (!this->is_cut && this->failures >= this->options.failures_to_cut && this->failed.size() >= distinct) {
        this->change(true);
    }
}

void upstream_reach::change(bool is_now_cut)
{
    this->is_cut = is_now_cut;
    core::log_event(core::log_level::warning, is_now_cut ? "upstreams_cut_off" : "upstreams_reached",
                    {{"failures", this->failures}, {"successes", this->successes}});
    this->failed.clear();
    this->failures = 0;
    this->successes = 0;
    if (is_now_cut && this->on_cut_off) {
        this->on_cut_off();
    }
}

} // namespace samphireway::gateway
