#include "gateway/budget/budget_access.h"

#include <algorithm>

namespace samphireway::gateway {

namespace {

using std::chrono::milliseconds;

// The ledger usually answers within milliseconds; a longer wait means that it is unavailable or
// contended. A node that can borrow instead waits less, so that the loan comes in time as well.
constexpr milliseconds maximum_draw_wait{600};
constexpr milliseconds draw_wait_before_loan{250};
// The borrower waits for the answer with a short timeout, so a draw on its behalf must be quick.
constexpr milliseconds maximum_lend_wait{150};
// Lenders size their draws by the reported use, which they measure once a second.
constexpr milliseconds report_interval{1000};

core::error unavailable_error(const std::string& workspace)
{
    return core::error{.code = core::error_code::budget_unavailable,
                       .message = "no budget of " + workspace + " could be drawn or borrowed in time"};
}

} // namespace

budget_access::budget_access(budget::grant_pool& grants_to_use, budget_access_hooks hooks_to_use)
    : grant_pool(grants_to_use), waiters(grants_to_use), hooks(std::move(hooks_to_use)),
      loans_to_others(grants_to_use)
{
}

void budget_access::reserve(const std::string& workspace, std::int64_t tokens, core::steady_time now,
                            core::steady_time deadline, const outcome_handler& on_outcome)
{
    core::result<budget::reservation> granted = this->grant_pool.reserve(workspace, tokens);
    if (granted) {
        on_outcome(budget_reservation{
            .workspace = workspace, .tokens = tokens, .grant = std::move(*granted), .lender = {}});
        return;
    }
    if (std::optional<budget_reservation> held = this->reserve_borrowed(workspace, tokens)) {
        on_outcome(std::move(*held));
        return;
    }
    if (this->hooks.is_ledger_writer() && this->hooks.can_draw()) {
        this->draw_or_borrow(workspace, tokens, now, deadline, on_outcome);
        return;
    }
    this->borrow(workspace, tokens, deadline, on_outcome);
}

void budget_access::draw_or_borrow(const std::string& workspace, std::int64_t tokens, core::steady_time now,
                                   core::steady_time deadline, const outcome_handler& on_outcome)
{
    this->await_draw(
        workspace, tokens, now, std::min(deadline, now + draw_wait_before_loan),
        [this, workspace, tokens, deadline, on_outcome](core::result<budget_reservation> outcome) {
            const bool is_late = !outcome && outcome.error().code == core::error_code::budget_unavailable;
            if (is_late && this->hooks.time.steady() < deadline) {
                this->borrow(workspace, tokens, deadline, on_outcome);
                return;
            }
            on_outcome(std::move(outcome));
        });
}

void budget_access::borrow(const std::string& workspace, std::int64_t tokens, core::steady_time deadline,
                           const outcome_handler& on_outcome)
{
    this->hooks.borrow(workspace, tokens,
                       [this, workspace, tokens, deadline, on_outcome](const core::result<loan>& received) {
                           this->on_loan(workspace, tokens, received, deadline, on_outcome);
                       });
}

void budget_access::await_draw(const std::string& workspace, std::int64_t tokens, core::steady_time now,
                               core::steady_time deadline, const outcome_handler& on_outcome)
{
    this->waiters.reserve(
        workspace, tokens, now, std::min(deadline, now + maximum_draw_wait),
        [workspace, tokens, on_outcome](core::result<budget::reservation> outcome) {
            if (!outcome) {
                on_outcome(tl::unexpected(outcome.error()));
                return;
            }
            on_outcome(budget_reservation{
                .workspace = workspace, .tokens = tokens, .grant = std::move(*outcome), .lender = {}});
        });
}

void budget_access::on_loan(const std::string& workspace, std::int64_t tokens,
                            const core::result<loan>& received, core::steady_time deadline,
                            const outcome_handler& on_outcome)
{
    if (received) {
        this->borrowed.add(workspace, *received);
        std::optional<budget_reservation> held = this->reserve_borrowed(workspace, tokens);
        on_outcome(held ? core::result<budget_reservation>(std::move(*held))
                        : tl::unexpected(unavailable_error(workspace)));
        return;
    }
    // If no ledger writer can be reached, any node draws from the ledger itself.
    const bool has_no_lender = received.error().code == core::error_code::no_upstream;
    if (has_no_lender && !this->hooks.is_ledger_writer() && this->hooks.can_draw()) {
        this->await_draw(workspace, tokens, this->hooks.time.steady(), deadline, on_outcome);
        return;
    }
    core::error cause = received.error();
    cause.code = has_no_lender ? core::error_code::budget_unavailable : cause.code;
    on_outcome(tl::unexpected(std::move(cause)));
}

std::optional<budget_reservation> budget_access::reserve_borrowed(const std::string& workspace,
                                                                  std::int64_t tokens)
{
    std::optional<std::string> lender = this->borrowed.reserve(workspace, tokens);
    if (!lender) {
        return std::nullopt;
    }
    return budget_reservation{
        .workspace = workspace, .tokens = tokens, .grant = std::nullopt, .lender = std::move(*lender)};
}

void budget_access::settle(const budget_reservation& held, std::int64_t used)
{
    if (held.grant) {
        this->grant_pool.settle(*held.grant, used);
        return;
    }
    this->borrowed.settle(held.workspace, held.lender, held.tokens, used);
}

void budget_access::lend(const loan_call& call, core::steady_time now,
                         const std::function<void(core::result<void>)>& on_outcome)
{
    const auto record_loan = [this, borrower = call.borrower, now,
                              on_outcome](core::result<budget::reservation> outcome) {
        if (!outcome) {
            on_outcome(tl::unexpected(outcome.error()));
            return;
        }
        this->loans_to_others.add(borrower, std::move(*outcome), now);
        on_outcome({});
    };
    if (this->hooks.can_draw()) {
        this->waiters.reserve(call.workspace, call.tokens, now, now + maximum_lend_wait, record_loan);
        return;
    }
    record_loan(this->grant_pool.reserve(call.workspace, call.tokens));
}

void budget_access::apply_report(const loan_report& report)
{
    this->loans_to_others.apply(report);
}

void budget_access::check(core::steady_time now)
{
    this->waiters.check(now);
}

void budget_access::sweep(core::steady_time now)
{
    this->loans_to_others.expire(now);
    if (now >= this->next_report) {
        this->next_report = now + report_interval;
        this->send_reports(false);
    }
}

void budget_access::close()
{
    this->send_reports(true);
    this->loans_to_others.close_all();
}

void budget_access::send_reports(bool returns_all)
{
    for (const outgoing_loan_report& report : this->borrowed.collect_reports(returns_all)) {
        this->hooks.report(report, [this, report] { this->borrowed.restore(report); });
    }
}

} // namespace samphireway::gateway
