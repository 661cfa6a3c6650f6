#include "gateway/quarantine/crash_watch.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace samphireway::gateway {

namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds probe_timeout{400};
// A restarted upstream registers itself at its start; its entry then reaches this node by a watch.
constexpr std::chrono::milliseconds registration_timeout{2000};
constexpr std::chrono::milliseconds registration_interval{100};
// Time in which further refusals show that this node is cut off and the upstream has not crashed.
constexpr std::chrono::milliseconds confirmation_time{300};
constexpr std::size_t maximum_pending = 256;
constexpr std::size_t maximum_prompts = 256;

} // namespace

/** An upstream that may have crashed, and the prompts of the responses that broke off. */
struct crash_watch::suspicion {
    suspicion(asio::io_context& context, const upstream& target_to_use, std::string crash_id_to_use)
        : target(target_to_use), crash_id(std::move(crash_id_to_use)), timer(context)
    {
    }

    const upstream target;
    const std::string crash_id;
    asio::steady_timer timer;
    std::vector<prompt_parts> prompts;
    core::steady_time given_up_at;
    bool is_probing = false;
};

/** A connection attempt to an upstream that may have crashed. */
struct crash_watch::probe {
    explicit probe(asio::io_context& context) : socket(context), timer(context) {}

    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    bool is_done = false;
};

bool is_replaced(const upstream_table& table, const upstream& earlier)
{
    const auto found = table.by_service.find(earlier.service);
    if (found == table.by_service.end()) {
        return false;
    }
    return std::any_of(
        found->second.begin(), found->second.end(), [&earlier](const std::shared_ptr<const upstream>& entry) {
            const bool has_same_address = entry->address == earlier.address && entry->port == earlier.port;
            return (entry->id == earlier.id || has_same_address) &&
                   incarnation_of(*entry) != incarnation_of(earlier);
        });
}

crash_watch::crash_watch(asio::io_context& context, crash_watch_hooks hooks_to_use)
    : io(context), hooks(std::move(hooks_to_use))
{
}

crash_watch::~crash_watch() = default;

void crash_watch::check(const upstream& target, prompt_parts prompt)
{
    if (!this->hooks.on_crash || prompt.empty()) {
        return;
    }
    const std::string crash_id = target.id + "@" + std::to_string(target.started_at_ms);
    std::shared_ptr<suspicion>& doubted = this->pending[crash_id];
    if (doubted == nullptr) {
        if (this->pending.size() > maximum_pending) {
            this->pending.erase(crash_id);
            return;
        }
        doubted = std::make_shared<suspicion>(this->io, target, crash_id);
    }
    if (doubted->prompts.size() < maximum_prompts) {
        doubted->prompts.push_back(std::move(prompt));
    }
    if (!doubted->is_probing) {
        this->start_probe(doubted);
    }
}

void crash_watch::start_probe(const std::shared_ptr<suspicion>& doubted)
{
    doubted->is_probing = true;
    doubted->timer.cancel();
    error_code invalid;
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(doubted->target.address, invalid),
                                           doubted->target.port);
    const auto started = std::make_shared<probe>(this->io);
    const auto finish_once = [this, started, doubted](bool is_refused) {
        if (!started->is_done) {
            started->is_done = true;
            error_code ignored; // The probe is over either way.
            started->timer.cancel();
            started->socket.close(ignored);
            this->on_probed(doubted, is_refused);
        }
    };
    started->timer.expires_after(probe_timeout);
    started->timer.async_wait([finish_once](error_code) { finish_once(false); });
    started->socket.async_connect(endpoint, [this, endpoint, finish_once](error_code failure) {
        if (this->hooks.on_probe) {
            this->hooks.on_probe(endpoint, !failure);
        }
        finish_once(failure == asio::error::connection_refused || failure == asio::error::connection_reset);
    });
}

void crash_watch::on_probed(const std::shared_ptr<suspicion>& doubted, bool is_refused)
{
    doubted->is_probing = false;
    doubted->given_up_at = clock::now() + registration_timeout;
    if (is_refused) {
        this->confirm_refusal(doubted);
        return;
    }
    this->await_registration(doubted);
}

void crash_watch::confirm_refusal(const std::shared_ptr<suspicion>& doubted)
{
    doubted->timer.expires_after(confirmation_time);
    doubted->timer.async_wait([this, doubted](error_code failure) {
        if (failure || doubted->is_probing) {
            return;
        }
        if (this->hooks.is_cut_off && this->hooks.is_cut_off()) {
            // Then a refusal shows nothing, but a crash still shows by the upstream's next registration.
            this->await_registration(doubted);
            return;
        }
        this->finish(doubted, "refused", true);
    });
}

void crash_watch::await_registration(const std::shared_ptr<suspicion>& doubted)
{
    const std::shared_ptr<const upstream_table> table =
        this->hooks.upstreams ? this->hooks.upstreams() : nullptr;
    if (table != nullptr && is_replaced(*table, doubted->target)) {
        this->finish(doubted, "restarted", true);
        return;
    }
    if (clock::now() >= doubted->given_up_at) {
        this->finish(doubted, "no_crash", false);
        return;
    }
    doubted->timer.expires_after(registration_interval);
    doubted->timer.async_wait([this, doubted](error_code failure) {
        if (!failure && !doubted->is_probing) {
            this->await_registration(doubted);
        }
    });
}

void crash_watch::finish(const std::shared_ptr<suspicion>& doubted, std::string_view outcome, bool is_crash)
{
    this->pending.erase(doubted->crash_id);
    core::log_event(core::log_level::info, "crash_probed",
                    {{"crash", doubted->crash_id},
                     {"outcome", outcome},
                     {"prompts", static_cast<long long>(doubted->prompts.size())}});
    if (!is_crash) {
        return;
    }
    for (const prompt_parts& prompt : doubted->prompts) {
        this->hooks.on_crash(doubted->crash_id, prompt);
    }
}

} // namespace samphireway::gateway
