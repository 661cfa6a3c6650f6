#include "gateway/budget/ledger_writers.h"

#include "gateway/relay/relay_order.h"

#include <algorithm>

namespace samphireway::gateway {

namespace {

const std::string ranking_key = "ledger";
// Conflicts of so few writers cost less than the loans that they would save.
constexpr std::size_t all_draw_up_to = 8;

} // namespace

std::vector<member> choose_ledger_writers(const std::vector<member>& nodes, std::size_t maximum)
{
    std::vector<member> ranked = rank_by_capacity(nodes, ranking_key);
    if (ranked.size() > all_draw_up_to) {
        ranked.resize(std::min(ranked.size(), maximum));
    }
    return ranked;
}

bool is_ledger_writer(const member_list* known, const std::string& node)
{
    return known == nullptr || known->ledger_writers.empty() ||
           std::any_of(known->ledger_writers.begin(), known->ledger_writers.end(),
                       [&node](const member& writer) { return writer.id == node; });
}

} // namespace samphireway::gateway
