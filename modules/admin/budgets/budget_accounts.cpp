#include "admin/budgets/budget_accounts.h"

namespace samphireway::admin {

namespace {

// Keeps sums of deposits far below the overflow of 64-bit integers.
constexpr escrow::amount maximum_limit = 1'000'000'000'000'000;

// A holder with grants writes to the ledger every few seconds while it serves requests. One that only
// waits for long requests can be silent until the deadline of these requests.
constexpr std::chrono::seconds minimum_silence{60};

tl::unexpected<core::error> refuse(core::error_code code, const std::string& message)
{
    return core::failure(code, message);
}

core::result<void> check_amount(escrow::amount amount)
{
    if (amount <= 0 || amount > maximum_limit) {
        return refuse(core::error_code::invalid_argument,
                      "amount: expected 1 to " + std::to_string(maximum_limit));
    }
    return {};
}

} // namespace

budget_accounts::budget_accounts(platform::object_store store_to_use, std::uint32_t ledger_shards_to_use,
                                 core::clock time_to_use)
    : store(std::move(store_to_use)), ledger_shards(ledger_shards_to_use), time(std::move(time_to_use))
{
}

std::string budget_accounts::ledger_key(const std::string& plan) const
{
    return budget::grant_pool::object_key(
        static_cast<std::uint32_t>(core::hash64(plan) % this->ledger_shards));
}

core::result<escrow::account> budget_accounts::update_account(const std::string& plan, bool may_create,
                                                              const account_change& apply) const
{
    std::optional<core::error> refusal;
    escrow::ledger_client client(this->ledger_key(plan));
    const core::result<escrow::ledger> written = client.update(this->store, [&](escrow::ledger& ledger) {
        refusal.reset();
        if (!may_create && !ledger.accounts.contains(plan)) {
            refusal = core::error{.code = core::error_code::not_found,
                                  .message = "plan " + plan + " has no budget"};
            return false;
        }
        const core::result<bool> changed = apply(ledger, ledger.accounts[plan]);
        if (!changed) {
            refusal = changed.error();
            return false;
        }
        return *changed;
    });
    if (refusal) {
        return tl::unexpected(*refusal);
    }
    if (!written) {
        return tl::unexpected(written.error());
    }
    return written->accounts.at(plan);
}

core::result<escrow::account> budget_accounts::deposit(const std::string& plan, const std::string& deposit_id,
                                                       escrow::amount amount) const
{
    const core::result<void> valid = check_amount(amount);
    if (!valid) {
        return tl::unexpected(valid.error());
    }
    const std::int64_t now_ms = core::to_unix_ms(this->time.now());
    return this->update_account(
        plan, true, [&](escrow::ledger& ledger, escrow::account& account) -> core::result<bool> {
            const auto earlier = account.deposits.find(deposit_id);
            if (earlier != account.deposits.end()) {
                if (earlier->second != amount) {
                    return refuse(core::error_code::conflict, "deposit id was used with another amount");
                }
                return false;
            }
            if (account.is_removed) {
                return refuse(core::error_code::conflict, "plan " + plan + " was removed");
            }
            if (account.limit() + amount > maximum_limit) {
                return refuse(core::error_code::invalid_argument,
                              "the total of the plan's deposits would be too large");
            }
            escrow::fold_old_entries(account, now_ms);
            const bool is_full = account.deposits.size() >= escrow::maximum_deposits_kept ||
                                 escrow::size_bound(ledger) > escrow::maximum_ledger_bytes;
            if (is_full) {
                return refuse(core::error_code::overloaded,
                              "the budget ledger is full; add ledger shards or wait "
                              "until deposits are a day old and can be merged");
            }
            account.deposits[deposit_id] = amount;
            account.deposit_times[deposit_id] = now_ms;
            return true;
        });
}

core::result<escrow::account>
budget_accounts::reduce(const std::string& plan, const std::string& reduction_id, escrow::amount amount) const
{
    const core::result<void> valid = check_amount(amount);
    if (!valid) {
        return tl::unexpected(valid.error());
    }
    return this->update_account(
        plan, false, [&](escrow::ledger&, escrow::account& account) -> core::result<bool> {
            const auto earlier = account.reductions.find(reduction_id);
            if (earlier != account.reductions.end()) {
                if (earlier->second.asked != amount) {
                    return refuse(core::error_code::conflict, "reduction id was used with another amount");
                }
                return false;
            }
            const escrow::amount unspent = account.limit() - account.spent() - account.pending_reduction();
            if (amount > unspent) {
                return refuse(core::error_code::conflict,
                              "only " + std::to_string(unspent) + " tokens of the plan are unspent");
            }
            if (account.reductions.size() >= escrow::maximum_deposits_kept) {
                return refuse(core::error_code::overloaded, "the plan has too many reductions");
            }
            account.reductions[reduction_id] = {.asked = amount};
            escrow::take_reductions(account);
            return true;
        });
}

core::result<escrow::account> budget_accounts::remove(const std::string& plan) const
{
    return this->update_account(plan, false,
                                [](escrow::ledger&, escrow::account& account) -> core::result<bool> {
                                    const bool is_change = !account.is_removed;
                                    account.is_removed = true;
                                    return is_change;
                                });
}

core::result<escrow::account> budget_accounts::read(const std::string& plan) const
{
    escrow::ledger_client client(this->ledger_key(plan));
    const core::result<escrow::ledger> ledger = client.read(this->store);
    if (!ledger) {
        return tl::unexpected(ledger.error());
    }
    const auto found = ledger->accounts.find(plan);
    if (found == ledger->accounts.end()) {
        return refuse(core::error_code::not_found, "plan " + plan + " has no budget");
    }
    return found->second;
}

core::result<std::vector<holder_in_doubt>> budget_accounts::in_doubt(const std::string& plan,
                                                                     bool lists_all) const
{
    const core::result<escrow::account> account = this->read(plan);
    if (!account) {
        return tl::unexpected(account.error());
    }
    std::vector<holder_in_doubt> found;
    for (const auto& [id, entry] : account->holders) {
        const auto silent = std::chrono::duration_cast<std::chrono::milliseconds>(
            this->time.now() - core::from_unix_ms(entry.written_at_ms));
        if (entry.outstanding() != 0 && (lists_all || silent >= minimum_silence)) {
            found.push_back({.holder = id, .outstanding = entry.outstanding(), .silent = silent});
        }
    }
    return found;
}

core::result<escrow::account> budget_accounts::settle_in_doubt(const std::string& plan,
                                                               const std::string& holder,
                                                               std::optional<escrow::amount> charged) const
{
    const std::int64_t now_ms = core::to_unix_ms(this->time.now());
    return this->update_account(
        plan, false, [&](escrow::ledger&, escrow::account& account) -> core::result<bool> {
            const auto entry = account.holders.find(holder);
            const escrow::amount all = entry == account.holders.end() ? 0 : entry->second.in_doubt();
            const bool is_repeated = account.closures.contains(holder);
            const core::result<escrow::closure> closed =
                escrow::close_holder(account, holder, charged.value_or(all), now_ms);
            if (!closed) {
                return tl::unexpected(closed.error());
            }
            if (is_repeated && charged && closed->charged != *charged) {
                return refuse(core::error_code::conflict,
                              "the holder was already closed with another charge");
            }
            return !is_repeated;
        });
}

} // namespace samphireway::admin
