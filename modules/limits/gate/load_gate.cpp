#include "limits/gate/load_gate.h"

#include <algorithm>
#include <limits>

namespace samphireway::limits {

namespace {

constexpr std::size_t requests_index = 0;
constexpr std::size_t tokens_index = 1;

// A share usually becomes free within milliseconds or when the next request ends, so one second suffices.
constexpr std::chrono::milliseconds minimum_retry_after{1000};
// Each request has a weight of 1/16 in the moving average of request durations.
constexpr int duration_smoothing_divisor = 16;

} // namespace

slot::slot(load_gate& gate, std::string upstream, admission_request admitted_request,
           std::uint64_t admitted_epoch)
    : owner(&gate), upstream_id(std::move(upstream)), request(std::move(admitted_request)),
      epoch(admitted_epoch), admitted(gate.options.time.steady())
{
}

slot::slot(slot&& other) noexcept
    : owner(std::exchange(other.owner, nullptr)), upstream_id(std::move(other.upstream_id)),
      request(std::move(other.request)), epoch(other.epoch), admitted(other.admitted)
{
}

slot& slot::operator=(slot&& other) noexcept
{
    if (this != &other) {
        this->release();
        this->owner = std::exchange(other.owner, nullptr);
        this->upstream_id = std::move(other.upstream_id);
        this->request = std::move(other.request);
        this->epoch = other.epoch;
        this->admitted = other.admitted;
    }
    return *this;
}

slot::~slot()
{
    this->release();
}

const std::string& slot::upstream() const noexcept
{
    return this->upstream_id;
}

bool slot::may_send() const
{
    return this->owner != nullptr && this->owner->is_valid(*this);
}

void slot::release() noexcept
{
    if (this->owner != nullptr) {
        std::exchange(this->owner, nullptr)->release(*this);
    }
}

load_gate::load_gate(load_gate_options options_to_use)
    : options(std::move(options_to_use)), queue(this->options.queue_capacity),
      observer(this->options.clock_margin)
{
}

void load_gate::configure(const std::vector<agreed_load>& loads, std::uint64_t new_generation)
{
    const std::lock_guard lock(this->mutex);
    if (new_generation < this->generation) {
        return;
    }
    this->generation = new_generation;
    for (auto& [id, share] : this->upstreams) {
        for (account_share& account : share.accounts) {
            account.limit = 0;
        }
    }
    for (const agreed_load& load : loads) {
        upstream_share& share = this->upstreams[load.upstream];
        share.shard = load_shard(load.upstream, this->options.ledger_shards);
        share.accounts[requests_index].limit = load.requests;
        share.accounts[tokens_index].limit = load.tokens;
        shard_state& shard = this->shards[share.shard];
        if (shard.holder.empty()) {
            shard.holder = this->options.holder;
        }
    }
    for (auto& [id, share] : this->upstreams) {
        for (account_share& account : share.accounts) {
            // A lowered agreed load limits new admissions at once; the ledger is updated by the next write.
            const amount total = std::max<amount>(1, account.last_read.outstanding);
            const amount own_share = account.holder->committed_entry().outstanding();
            if (account.last_read.outstanding > account.limit) {
                account.cap = std::min(account.cap, own_share * account.limit / total);
            }
        }
    }
}

core::result<slot> load_gate::admit(const std::string& upstream, amount estimate)
{
    const std::lock_guard lock(this->mutex);
    const admission_request request{.estimate = estimate};
    core::result<slot> admitted = this->try_reserve(upstream, request);
    if (!admitted) {
        return this->record_refusal(upstream, request, admitted.error().message);
    }
    return admitted;
}

core::result<slot> load_gate::admit(const std::vector<std::string>& acceptable,
                                    const admission_request& request)
{
    std::unique_lock lock(this->mutex);
    const bool is_within_agreed_tokens =
        std::any_of(acceptable.begin(), acceptable.end(), [&](const std::string& id) {
            const auto found = this->upstreams.find(id);
            return found != this->upstreams.end() &&
                   found->second.accounts[tokens_index].limit >= request.estimate;
        });
    const bool has_agreed_load =
        std::any_of(acceptable.begin(), acceptable.end(), [&](const std::string& id) {
            const auto found = this->upstreams.find(id);
            return found != this->upstreams.end() && found->second.accounts[requests_index].limit > 0;
        });
    if (!has_agreed_load) {
        return tl::unexpected(this->overload_error(
            request.workspace, "no agreed load is configured for any acceptable upstream"));
    }
    if (!is_within_agreed_tokens) {
        return core::failure(core::error_code::payload_too_large,
                             "request estimated at " + std::to_string(request.estimate) +
                                 " tokens exceeds the agreed tokens of every acceptable upstream");
    }
    if (this->queue.size() == 0) {
        for (const std::string& upstream : acceptable) {
            core::result<slot> admitted = this->try_reserve(upstream, request);
            if (admitted) {
                return admitted;
            }
        }
    }
    if (this->options.time.steady() + this->expected_wait(request.workspace) > request.deadline) {
        return this->record_refusal(
            acceptable.front(), request,
            "the expected wait for a share of the agreed load exceeds the request's deadline");
    }
    waiter waiting{.request = request,
                   .upstreams = acceptable,
                   .granted_upstream = {},
                   .is_evicted = false,
                   .changed = {}};
    if (!this->queue.add(waiting)) {
        return this->record_refusal(acceptable.front(), request, "the admission queue is full");
    }
    this->serve_queue();
    if (waiting.granted_upstream.empty() && !waiting.is_evicted) {
        lock.unlock();
        this->options.on_shortage();
        lock.lock();
        waiting.changed.wait_until(lock, request.deadline,
                                   [&] { return waiting.is_evicted || !waiting.granted_upstream.empty(); });
    }
    if (!waiting.granted_upstream.empty()) {
        return slot(*this, waiting.granted_upstream, request, waiting.granted_epoch);
    }
    this->queue.remove(waiting);
    return this->record_refusal(
        acceptable.front(), request,
        waiting.is_evicted ? "the admission queue is full"
                           : "no share of the agreed load became free before the request's deadline");
}

tl::unexpected<core::error> load_gate::record_refusal(const std::string& upstream,
                                                      const admission_request& request,
                                                      const std::string& message)
{
    const auto found = this->upstreams.find(upstream);
    if (found != this->upstreams.end()) {
        found->second.accounts[requests_index].refused_demand[0] += 1;
        found->second.accounts[tokens_index].refused_demand[0] += request.estimate;
    }
    return tl::unexpected(this->overload_error(request.workspace, message));
}

bool load_gate::can_admit(const std::string& upstream, amount estimate) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->upstreams.find(upstream);
    return found != this->upstreams.end() && this->has_free_share(found->second, estimate);
}

amount load_gate::in_flight(const std::string& upstream) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->upstreams.find(upstream);
    return found == this->upstreams.end() ? 0 : found->second.accounts[requests_index].holder->reserved();
}

amount load_gate::total_in_flight() const
{
    const std::lock_guard lock(this->mutex);
    amount sum = 0;
    for (const auto& [id, share] : this->upstreams) {
        sum += share.accounts[requests_index].holder->reserved();
    }
    return sum;
}

bool load_gate::has_valid_lease(const shard_state& shard) const
{
    // The steady clock may stop while a VM is suspended, so the wall clock is checked as well.
    return this->options.time.steady() < shard.lease_end && this->options.time.now() < shard.lease_end_wall;
}

bool load_gate::has_free_share(const upstream_share& share, amount estimate) const
{
    const auto has_free_amount = [](const account_share& account, amount needed) {
        return needed <= account.holder->free() && account.holder->reserved() + needed <= account.cap;
    };
    return this->has_valid_lease(this->shards.at(share.shard)) &&
           has_free_amount(share.accounts[requests_index], 1) &&
           (estimate == 0 || has_free_amount(share.accounts[tokens_index], estimate));
}

core::result<slot> load_gate::try_reserve(const std::string& upstream, const admission_request& request)
{
    const auto found = this->upstreams.find(upstream);
    if (found == this->upstreams.end() || !this->has_free_share(found->second, request.estimate)) {
        return tl::unexpected(this->overload_error(
            request.workspace, "this node's share of the upstream's agreed load is in use"));
    }
    found->second.accounts[requests_index].holder->reserve(1);
    found->second.accounts[tokens_index].holder->reserve(request.estimate);
    for (account_share& account : found->second.accounts) {
        this->update_peak(account, account.holder->reserved());
    }
    ++this->in_use_by_workspace[request.workspace];
    return slot(*this, upstream, request, this->shards.at(found->second.shard).epoch);
}

bool load_gate::try_serve(waiter& waiting, std::size_t upstream_count, std::map<std::string, bool>& blocked)
{
    for (std::size_t index = 0; index < std::min(upstream_count, waiting.upstreams.size()); ++index) {
        const std::string& upstream = waiting.upstreams[index];
        if (blocked[upstream]) {
            continue;
        }
        core::result<slot> admitted = this->try_reserve(upstream, waiting.request);
        if (admitted) {
            // The waiting thread creates its own slot for this reservation, so this one must not release it.
            admitted->owner = nullptr;
            waiting.granted_upstream = upstream;
            waiting.granted_epoch = admitted->epoch;
            waiting.changed.notify_all();
            return true;
        }
        const auto found = this->upstreams.find(upstream);
        // Later waiters must not overtake one that can be admitted here as soon as requests end. A waiter
        // that needs more than this node's whole share doesn't block the others.
        blocked[upstream] = found == this->upstreams.end() ||
                            (found->second.accounts[requests_index].cap > 0 &&
                             waiting.request.estimate <= found->second.accounts[tokens_index].cap);
    }
    return false;
}

void load_gate::serve_queue()
{
    // The first pass serves only requests that prefer the upstream, because their prompts are cached there.
    // Under overload, admitting any other request would cost a prefill each time. The second pass admits
    // requests at all their upstreams, so that no free share stays idle.
    for (const std::size_t upstream_count : {preferred_upstreams, std::numeric_limits<std::size_t>::max()}) {
        std::map<std::string, bool> blocked;
        this->queue.serve(this->in_use_by_workspace,
                          [&](waiter& waiting) { return this->try_serve(waiting, upstream_count, blocked); });
    }
}

std::chrono::milliseconds load_gate::expected_wait(const std::string& workspace) const
{
    amount in_use = 0;
    for (const auto& [id, count] : this->in_use_by_workspace) {
        in_use += count;
    }
    if (in_use == 0) {
        return std::chrono::milliseconds(0);
    }
    // Workspaces take turns, so each other workspace has at most as many requests ahead as this one.
    const std::size_t own_turns = this->queue.size_of(workspace) + 1;
    const std::size_t ahead = std::min(this->queue.size(), own_turns * this->in_use_by_workspace.size());
    const auto wait = this->mean_request_duration * static_cast<std::int64_t>(ahead) / in_use;
    return std::chrono::duration_cast<std::chrono::milliseconds>(wait);
}

core::error load_gate::overload_error(const std::string& workspace, const std::string& message) const
{
    return core::error{.code = core::error_code::overloaded,
                       .message = message,
                       .run = core::verdict::not_run,
                       .retry_after = std::max(minimum_retry_after, this->expected_wait(workspace))};
}

bool load_gate::is_valid(const slot& checked) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->upstreams.find(checked.upstream_id);
    if (found == this->upstreams.end()) {
        return false;
    }
    const shard_state& shard = this->shards.at(found->second.shard);
    return shard.epoch == checked.epoch && this->has_valid_lease(shard);
}

void load_gate::release(slot& released) noexcept
{
    const std::lock_guard lock(this->mutex);
    upstream_share& share = this->upstreams.at(released.upstream_id);
    if (this->shards.at(share.shard).epoch == released.epoch) {
        share.accounts[requests_index].holder->settle(1, 0);
        share.accounts[tokens_index].holder->settle(released.request.estimate, 0);
    }
    const auto used = this->in_use_by_workspace.find(released.request.workspace);
    if (--used->second == 0) {
        this->in_use_by_workspace.erase(used);
    }
    const auto duration = std::chrono::duration_cast<std::chrono::microseconds>(this->options.time.steady() -
                                                                                released.admitted);
    this->mean_request_duration += (duration - this->mean_request_duration) / duration_smoothing_divisor;
    this->serve_queue();
}

std::vector<share_status> load_gate::status() const
{
    const std::lock_guard lock(this->mutex);
    std::vector<share_status> shares;
    for (const auto& [id, share] : this->upstreams) {
        share_status& status = shares.emplace_back(share_status{.upstream = id});
        for (const std::size_t index : {requests_index, tokens_index}) {
            status.held.at(index) = share.accounts.at(index).holder->committed_entry().outstanding();
            status.in_use.at(index) = share.accounts.at(index).holder->reserved();
            status.limit.at(index) = share.accounts.at(index).limit;
        }
    }
    return shares;
}

std::size_t load_gate::queued() const
{
    const std::lock_guard lock(this->mutex);
    return this->queue.size();
}

} // namespace samphireway::limits
