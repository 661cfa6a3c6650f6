#include "gateway/tunnel/tunnel_client.h"

#include <algorithm>

namespace samphireway::gateway {

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using boost::system::error_code;
using std::chrono::milliseconds;

// Pause between two searches for helpers, and between two attempts to connect to an upstream without one. The
// second bounds the time for which a node uses tunnels after its links are back: twice the pause.
constexpr milliseconds search_interval{100};
constexpr milliseconds own_attempt_interval{400};
constexpr milliseconds attempt_timeout{300};
// With several helpers one that is cut off or stops costs little, and the load is spread.
constexpr std::size_t wanted_helpers = 4;
// In this node's zone, and as many in the others: a whole zone may be cut off, whatever its size.
constexpr std::size_t attempts_at_once = 2;
// With fewer helpers of this node's zone those of the others are used as well.
constexpr std::size_t enough_near_helpers = 2;
// Time in which another node may show that this one is cut off; long enough to ask the nodes of several
// zones.
constexpr milliseconds doubt_time{1000};
// A tunnel may also fail because its upstream is down.
constexpr int tolerated_failures = 3;
constexpr milliseconds failed_helper_pause{2000};

/** An attempt to connect to an upstream. */
struct own_attempt {
    explicit own_attempt(asio::io_context& io) : socket(io), timer(io) {}

    tcp::socket socket;
    asio::steady_timer timer;
};

} // namespace

tunnel_client::tunnel_client(asio::io_context& context, tunnel_client_options options_to_use)
    : io(context), options(std::move(options_to_use)), reach(this->reach_options()), timer(context)
{
}

upstream_reach_options tunnel_client::reach_options()
{
    return {.upstreams = [this] { return this->registered_upstreams().size(); },
            .on_doubt =
                [this] {
                    const core::steady_time now = this->options.time.steady();
                    this->helpers.clear();
                    this->doubted_until = now + doubt_time;
                    this->next_own_attempt = now + own_attempt_interval;
                    this->search();
                },
            .time = this->options.time};
}

std::optional<member> tunnel_client::choose()
{
    nodes_by_zone known = this->candidates(true);
    if (known.near.size() < enough_near_helpers) {
        known.near.insert(known.near.end(), known.far.begin(), known.far.end());
    }
    if (known.near.empty()) {
        known = this->candidates(false);
        known.near.insert(known.near.end(), known.far.begin(), known.far.end());
    }
    if (known.near.empty()) {
        return std::nullopt;
    }
    return known.near[std::uniform_int_distribution<std::size_t>(0, known.near.size() - 1)(this->random)];
}

void tunnel_client::record_own(const tcp::endpoint& upstream, bool is_connected)
{
    is_connected ? this->reach.record_success() : this->reach.record_failure(upstream);
}

void tunnel_client::record_helper(const std::string& id, link_outcome outcome)
{
    helper_state& state = this->helpers[id];
    const core::steady_time now = this->options.time.steady();
    if (outcome == link_outcome::connected) {
        if (!state.is_proven) {
            core::log_event(core::log_level::info, "helper_found", {{"node", id}});
        }
        state = {.is_proven = true};
        return;
    }
    state.is_tried = false;
    if (outcome == link_outcome::upstream_failed) {
        state.skipped_until = state.is_proven ? core::steady_time{} : now + attempt_timeout;
        return;
    }
    ++state.failures;
    if (state.is_proven && state.failures < tolerated_failures) {
        return;
    }
    core::log_event(core::log_level::info, "helper_failed", {{"node", id}});
    state = {.skipped_until = now + failed_helper_pause};
}

tunnel_client::nodes_by_zone tunnel_client::candidates(bool is_proven)
{
    nodes_by_zone result;
    const std::shared_ptr<const member_list> list = this->options.members();
    if (list == nullptr) {
        return result;
    }
    const core::steady_time now = this->options.time.steady();
    for (const member& node : list->members) {
        const helper_state& state = this->helpers[node.id];
        if (node.id == this->options.node || state.is_proven != is_proven || now < state.skipped_until) {
            continue;
        }
        (node.availability_zone == this->options.availability_zone ? result.near : result.far)
            .push_back(node);
    }
    return result;
}

std::vector<std::shared_ptr<const upstream>> tunnel_client::registered_upstreams() const
{
    std::vector<std::shared_ptr<const upstream>> known;
    const std::shared_ptr<const upstream_table> table = this->options.upstreams();
    if (table != nullptr) {
        for (const auto& [service, upstreams] : table->by_service) {
            known.insert(known.end(), upstreams.begin(), upstreams.end());
        }
    }
    return known;
}

std::optional<tcp::endpoint> tunnel_client::draw_upstream()
{
    const std::vector<std::shared_ptr<const upstream>> known = this->registered_upstreams();
    if (known.empty()) {
        return std::nullopt;
    }
    const upstream& drawn =
        *known[std::uniform_int_distribution<std::size_t>(0, known.size() - 1)(this->random)];
    error_code invalid;
    return tcp::endpoint(asio::ip::make_address(drawn.address, invalid), drawn.port);
}

void tunnel_client::search()
{
    if (this->reach.state() == reach_state::doubted) {
        this->try_to_confirm();
    }
    else if (this->reach.state() == reach_state::cut_off) {
        this->try_own_link();
        this->try_helpers();
    }
    if (this->reach.state() == reach_state::connected) {
        return;
    }
    this->timer.expires_after(search_interval);
    this->timer.async_wait([this](error_code failure) {
        if (!failure) {
            this->search();
        }
    });
}

void tunnel_client::try_to_confirm()
{
    if (this->options.time.steady() >= this->doubted_until) {
        this->reach.dismiss_doubt();
        return;
    }
    const std::set<tcp::endpoint>& failed = this->reach.failed_upstreams();
    for (const member& node : this->draw_untried()) {
        if (failed.empty()) {
            return;
        }
        auto drawn = failed.begin();
        std::advance(drawn, std::uniform_int_distribution<std::size_t>(0, failed.size() - 1)(this->random));
        this->try_tunnel(node, *drawn);
    }
}

void tunnel_client::try_helpers()
{
    const auto proven = std::count_if(this->helpers.begin(), this->helpers.end(),
                                      [](const auto& entry) { return entry.second.is_proven; });
    if (static_cast<std::size_t>(proven) >= wanted_helpers) {
        return;
    }
    for (const member& node : this->draw_untried()) {
        const std::optional<tcp::endpoint> upstream = this->draw_upstream();
        if (upstream) {
            this->try_tunnel(node, *upstream);
        }
    }
}

std::vector<member> tunnel_client::draw_untried()
{
    nodes_by_zone untried = this->candidates(false);
    std::vector<member> drawn;
    for (std::vector<member>* const nodes : {&untried.near, &untried.far}) {
        std::erase_if(*nodes, [this](const member& node) { return this->helpers[node.id].is_tried; });
        std::shuffle(nodes->begin(), nodes->end(), this->random);
        nodes->resize(std::min(nodes->size(), attempts_at_once));
        drawn.insert(drawn.end(), nodes->begin(), nodes->end());
    }
    return drawn;
}

void tunnel_client::try_tunnel(const member& helper, const tcp::endpoint& upstream)
{
    this->helpers[helper.id].is_tried = true;
    std::make_shared<tunnel_call>(this->io, helper, upstream)
        ->start(this->options.time.steady() + attempt_timeout,
                [this, id = helper.id](const core::result<tcp::socket>& opened) {
                    this->record_helper(id, link_outcome_of(opened));
                    if (opened) {
                        this->reach.confirm_doubt();
                    }
                });
}

void tunnel_client::try_own_link()
{
    const core::steady_time now = this->options.time.steady();
    const std::optional<tcp::endpoint> upstream = this->draw_upstream();
    if (now < this->next_own_attempt || !upstream) {
        return;
    }
    this->next_own_attempt = now + own_attempt_interval;
    const auto attempt = std::make_shared<own_attempt>(this->io);
    attempt->timer.expires_after(attempt_timeout);
    attempt->timer.async_wait([attempt](error_code failure) {
        if (!failure) {
            error_code ignored; // The attempt then fails.
            attempt->socket.close(ignored);
        }
    });
    attempt->socket.async_connect(*upstream, [this, attempt, upstream](error_code failure) {
        attempt->timer.cancel();
        this->record_own(*upstream, !failure);
    });
}

} // namespace samphireway::gateway
