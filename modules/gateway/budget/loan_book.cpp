#include "gateway/budget/loan_book.h"

#include <algorithm>

namespace samphireway::gateway {

namespace {

// Longer than the longest stream plus the report after it. The loans of a crashed borrower count as
// spent only after this time, and until then their tokens stay reserved.
constexpr std::chrono::seconds loan_lifetime{30};

} // namespace

void loan_book::add(const std::string& borrower, budget::reservation lent, core::steady_time now)
{
    const loan_key key(borrower, lent.plan);
    this->loans[key].push_back(open_loan{.lent = std::move(lent), .expires_at = now + loan_lifetime});
}

void loan_book::apply(const loan_report& report)
{
    for (const loan_use& use : report.uses) {
        const auto found = this->loans.find({report.borrower, use.workspace});
        if (found == this->loans.end()) {
            continue;
        }
        this->settle(found->second, use.used, true);
        this->settle(found->second, use.returned, false);
        if (found->second.empty()) {
            this->loans.erase(found);
        }
    }
}

void loan_book::settle(std::deque<open_loan>& open, std::int64_t tokens, bool is_used)
{
    while (tokens > 0 && !open.empty()) {
        budget::reservation& oldest = open.front().lent;
        budget::reservation settled = oldest;
        settled.reserved = std::min(tokens, oldest.reserved);
        this->grant_pool.settle(settled, is_used ? settled.reserved : 0);
        tokens -= settled.reserved;
        oldest.reserved -= settled.reserved;
        if (oldest.reserved == 0) {
            open.pop_front();
        }
    }
}

void loan_book::expire(core::steady_time now)
{
    for (auto entry = this->loans.begin(); entry != this->loans.end();) {
        std::deque<open_loan>& open = entry->second;
        while (!open.empty() && now >= open.front().expires_at) {
            core::log_event(core::log_level::info, "loan_expired",
                            {{"borrower", entry->first.first},
                             {"workspace", entry->first.second},
                             {"tokens", open.front().lent.reserved}});
            this->settle(open, open.front().lent.reserved, true);
        }
        entry = open.empty() ? this->loans.erase(entry) : std::next(entry);
    }
}

void loan_book::close_all()
{
    this->expire(core::steady_time::max());
}

} // namespace samphireway::gateway
