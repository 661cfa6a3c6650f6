#include "gateway/budget/ledger_writers.h"

#include "core/core.h"

#include <algorithm>

namespace samphireway::gateway {

std::vector<member> choose_ledger_writers(const std::vector<member>& nodes, std::size_t maximum)
{
    std::vector<member> ranked = nodes;
    std::sort(ranked.begin(), ranked.end(), [](const member& left, const member& right) {
        return core::hash64(left.id) < core::hash64(right.id);
    });
    ranked.resize(std::min(ranked.size(), maximum));
    return ranked;
}

bool is_ledger_writer(const member_list* known, const std::string& node)
{
    return known == nullptr || known->ledger_writers.empty() ||
           std::any_of(known->ledger_writers.begin(), known->ledger_writers.end(),
                       [&node](const member& writer) { return writer.id == node; });
}

} // namespace samphireway::gateway
