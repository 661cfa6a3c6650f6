#include "gateway/quarantine/crash_watch.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>

namespace samphireway::gateway {

namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr std::chrono::milliseconds probe_timeout{400};
constexpr std::size_t maximum_pending = 256;

} // namespace

/** A connection attempt to an upstream that may have crashed. */
struct crash_watch::probe {
    explicit probe(asio::io_context& context) : socket(context), timer(context) {}

    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    bool is_done = false;
};

void crash_watch::check(const upstream& target, shared_parts prompt)
{
    if (!this->on_crash || prompt.empty() || this->pending.size() >= maximum_pending) {
        return;
    }
    const std::string crash_id = target.id + "@" + std::to_string(target.started_at_ms);
    std::vector<shared_parts>& prompts = this->pending[crash_id];
    prompts.push_back(std::move(prompt));
    if (prompts.size() > 1) {
        return; // A probe is under way.
    }
    error_code invalid;
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(target.address, invalid), target.port);
    const auto started = std::make_shared<probe>(this->io);
    const auto finish_once = [this, started, crash_id](bool is_refused) {
        if (!started->is_done) {
            started->is_done = true;
            error_code ignored; // The probe is over either way.
            started->timer.cancel();
            started->socket.close(ignored);
            this->finish(crash_id, is_refused);
        }
    };
    started->timer.expires_after(probe_timeout);
    started->timer.async_wait([finish_once](error_code) { finish_once(false); });
    started->socket.async_connect(endpoint, [finish_once](error_code failure) {
        finish_once(failure == asio::error::connection_refused || failure == asio::error::connection_reset);
    });
}

void crash_watch::finish(const std::string& crash_id, bool is_refused)
{
    const auto ended = this->pending.extract(crash_id);
    if (ended.empty()) {
        return;
    }
    core::log_event(core::log_level::info, "crash_probed",
                    {{"crash", crash_id},
                     {"outcome", is_refused ? "refused" : "no_crash"},
                     {"prompts", static_cast<long long>(ended.mapped().size())}});
    if (!is_refused) {
        return;
    }
    for (const shared_parts& prompt : ended.mapped()) {
        this->on_crash(crash_id, prompt);
    }
}

} // namespace samphireway::gateway
