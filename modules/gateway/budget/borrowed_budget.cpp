#include "gateway/budget/borrowed_budget.h"

#include <algorithm>

namespace samphireway::gateway {

void borrowed_budget::add(const std::string& workspace, const loan& received)
{
    lender_balances& from = this->lenders[received.lender.token];
    from.lender = received.lender;
    from.by_workspace[workspace].free += received.tokens;
}

std::optional<std::string> borrowed_budget::take(const std::string& workspace, std::int64_t tokens)
{
    for (auto& [token, from] : this->lenders) {
        const auto found = from.by_workspace.find(workspace);
        if (found != from.by_workspace.end() && found->second.free >= tokens) {
            balance& taken = found->second;
            taken.free -= tokens;
            taken.taken += tokens;
            taken.least_free = std::min(taken.least_free, taken.free);
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
    settled.taken -= tokens;
    settled.used += billed;
    settled.free += tokens - billed;
}

std::vector<due_report> borrowed_budget::take_reports(bool returns_all)
{
    std::vector<due_report> due;
    for (auto& [token, from] : this->lenders) {
        due_report report{.lender = from.lender, .uses = {}};
        for (auto& [workspace, kept] : from.by_workspace) {
            const std::int64_t returned = returns_all ? kept.free : std::min(kept.least_free, kept.free);
            if (kept.used > 0 || returned > 0) {
                report.uses.push_back({.workspace = workspace, .used = kept.used, .returned = returned});
            }
            kept.free -= returned;
            kept.least_free = kept.free;
            kept.used = 0;
        }
        std::erase_if(from.by_workspace, [](const auto& entry) { return entry.second.is_empty(); });
        if (!report.uses.empty()) {
            due.push_back(std::move(report));
        }
    }
    std::erase_if(this->lenders, [](const auto& entry) { return entry.second.by_workspace.empty(); });
    return due;
}

void borrowed_budget::restore(const due_report& unsent)
{
    lender_balances& from = this->lenders[unsent.lender.token];
    from.lender = unsent.lender;
    for (const loan_use& use : unsent.uses) {
        balance& kept = from.by_workspace[use.workspace];
        kept.used += use.used;
        kept.free += use.returned;
    }
}

} // namespace samphireway::gateway
