#include "gateway/budget/borrowed_budget.h"

#include <algorithm>

namespace samphireway::gateway {

void borrowed_budget::add(const std::string& workspace, const loan& received)
{
    lender_balances& account = this->lenders[received.lender.token];
    account.lender = received.lender;
    account.by_workspace[workspace].free += received.tokens;
}

std::optional<std::string> borrowed_budget::reserve(const std::string& workspace, std::int64_t tokens)
{
    for (auto& [token, account] : this->lenders) {
        const auto found = account.by_workspace.find(workspace);
        if (found != account.by_workspace.end() && found->second.free >= tokens) {
            balance& source = found->second;
            source.free -= tokens;
            source.reserved += tokens;
            source.minimum_free = std::min(source.minimum_free, source.free);
            return token;
        }
    }
    return std::nullopt;
}

void borrowed_budget::settle(const std::string& workspace, const std::string& lender_token,
                             std::int64_t tokens, std::int64_t used)
{
    const auto found = this->lenders.find(lender_token);
    if (found == this->lenders.end()) {
        return;
    }
    const std::int64_t billed = std::clamp<std::int64_t>(used, 0, tokens);
    balance& settled = found->second.by_workspace[workspace];
    settled.reserved -= tokens;
    settled.used += billed;
    settled.free += tokens - billed;
}

std::vector<outgoing_loan_report> borrowed_budget::collect_reports(bool returns_all)
{
    std::vector<outgoing_loan_report> due;
    for (auto& [token, account] : this->lenders) {
        outgoing_loan_report report{.lender = account.lender, .uses = {}};
        for (auto& [workspace, unreported] : account.by_workspace) {
            const std::int64_t returned =
                returns_all ? unreported.free : std::min(unreported.minimum_free, unreported.free);
            if (unreported.used > 0 || returned > 0) {
                report.uses.push_back(
                    {.workspace = workspace, .used = unreported.used, .returned = returned});
            }
            unreported.free -= returned;
            unreported.minimum_free = unreported.free;
            unreported.used = 0;
        }
        std::erase_if(account.by_workspace, [](const auto& entry) { return entry.second.is_empty(); });
        if (!report.uses.empty()) {
            due.push_back(std::move(report));
        }
    }
    std::erase_if(this->lenders, [](const auto& entry) { return entry.second.by_workspace.empty(); });
    return due;
}

void borrowed_budget::restore(const outgoing_loan_report& unsent)
{
    lender_balances& account = this->lenders[unsent.lender.token];
    account.lender = unsent.lender;
    for (const loan_use& use : unsent.uses) {
        balance& restored = account.by_workspace[use.workspace];
        restored.used += use.used;
        restored.free += use.returned;
    }
}

} // namespace samphireway::gateway
