#include "gateway/budget/budget_access.h"

#include <algorithm>

namespace samphireway::gateway {

namespace {

using std::chrono::milliseconds;

// The ledger answers within milliseconds; a longer wait means that it is down or under contention.
constexpr milliseconds draw_wait{600};
// Another node waits for the answer, so a draw for it must be quick.
constexpr milliseconds lend_wait{150};

core::error unavailable(const std::string& workspace)
{
    return core::error{.code = core::error_code::budget_unavailable,
                       .message = "no budget of " + workspace + " could be drawn or borrowed in time"};
}

} // namespace

budget_access::budget_access(budget::purse& given_purse, budget_access_hooks given)
    : purse(given_purse), waiters(given_purse), hooks(std::move(given))
{
}

void budget_access::reserve(const std::string& workspace, std::int64_t tokens, core::steady_time now,
                            core::steady_time deadline, const outcome_handler& on_outcome)
{
    core::result<budget::reservation> granted = this->purse.reserve(workspace, tokens);
    if (granted) {
        on_outcome(held_budget{.workspace = workspace, .tokens = tokens, .grant = std::move(*granted)});
        return;
    }
    if (std::optional<held_budget> held = this->take_borrowed(workspace, tokens)) {
        on_outcome(std::move(*held));
        return;
    }
    if (this->hooks.can_draw()) {
        this->waiters.reserve(workspace, tokens, now, std::min(deadline, now + draw_wait),
                              [workspace, tokens, on_outcome](core::result<budget::reservation> outcome) {
                                  if (!outcome) {
                                      on_outcome(tl::unexpected(outcome.error()));
                                      return;
                                  }
                                  on_outcome(held_budget{.workspace = workspace,
                                                         .tokens = tokens,
                                                         .grant = std::move(*outcome)});
                              });
        return;
    }
    this->hooks.borrow(workspace, tokens,
                       [this, workspace, tokens, on_outcome](core::result<std::int64_t> loan) {
                           if (!loan) {
                               on_outcome(tl::unexpected(loan.error()));
                               return;
                           }
                           this->borrowed[workspace] += *loan;
                           std::optional<held_budget> held = this->take_borrowed(workspace, tokens);
                           if (!held) {
                               on_outcome(tl::unexpected(unavailable(workspace)));
                               return;
                           }
                           on_outcome(std::move(*held));
                       });
}

std::optional<held_budget> budget_access::take_borrowed(const std::string& workspace, std::int64_t tokens)
{
    const auto found = this->borrowed.find(workspace);
    if (found == this->borrowed.end() || found->second < tokens) {
        return std::nullopt;
    }
    found->second -= tokens;
    return held_budget{.workspace = workspace, .tokens = tokens, .grant = std::nullopt};
}

void budget_access::settle(const held_budget& held, std::int64_t used)
{
    if (held.grant) {
        this->purse.settle(*held.grant, used);
        return;
    }
    this->borrowed[held.workspace] += held.tokens - std::clamp<std::int64_t>(used, 0, held.tokens);
}

void budget_access::lend(const std::string& workspace, std::int64_t tokens, core::steady_time now,
                         const std::function<void(core::result<std::int64_t>)>& on_outcome)
{
    const auto book = [this, tokens, on_outcome](core::result<budget::reservation> outcome) {
        if (!outcome) {
            on_outcome(tl::unexpected(outcome.error()));
            return;
        }
        this->purse.settle(*outcome, tokens);
        on_outcome(tokens);
    };
    if (this->hooks.can_draw()) {
        this->waiters.reserve(workspace, tokens, now, now + lend_wait, book);
        return;
    }
    book(this->purse.reserve(workspace, tokens));
}

void budget_access::check(core::steady_time now)
{
    this->waiters.check(now);
}

} // namespace samphireway::gateway
