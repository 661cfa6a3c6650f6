#include "gateway/budget/drawer_choice.h"

#include "core/core.h"

#include <algorithm>

namespace samphireway::gateway {

std::vector<member> choose_drawers(const std::vector<member>& nodes, std::size_t maximum)
{
    std::vector<member> ranked = nodes;
    std::sort(ranked.begin(), ranked.end(), [](const member& left, const member& right) {
        return core::hash64(left.id) < core::hash64(right.id);
    });
    ranked.resize(std::min(ranked.size(), maximum));
    return ranked;
}

bool is_drawer(const member_list* known, const std::string& node)
{
    return known == nullptr || known->drawers.empty() ||
           std::any_of(known->drawers.begin(), known->drawers.end(),
                       [&node](const member& drawer) { return drawer.id == node; });
}

} // namespace samphireway::gateway
