#include "gateway/relay/relay_order.h"

#include "core/core.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace samphireway::gateway {

namespace {

/** Returns a number in (0, 1] that depends on a key and an id. */
double unit_hash(const std::string& key, const std::string& id)
{
    constexpr double hash_range = 18446744073709551616.0; // 2^64
    return (static_cast<double>(core::hash64(key + "/" + id)) + 1) / (hash_range + 1);
}

} // namespace

std::vector<member> rank_by_capacity(std::vector<member> nodes, const std::string& key)
{
    // The logarithm method of weighted rendezvous hashing (Schindelhauer and Schomaker, 2005).
    const auto score = [&key](const member& node) {
        return -std::log(unit_hash(key, node.id)) / node.capacity;
    };
    std::vector<std::pair<double, member>> ranked;
    ranked.reserve(nodes.size());
    for (member& node : nodes) {
        const double node_score = score(node);
        ranked.emplace_back(node_score, std::move(node));
    }
    std::sort(ranked.begin(), ranked.end(), [](const auto& left, const auto& right) {
        return std::tie(left.first, left.second.id) < std::tie(right.first, right.second.id);
    });
    std::vector<member> result;
    result.reserve(ranked.size());
    for (auto& [node_score, node] : ranked) {
        result.push_back(std::move(node));
    }
    return result;
}

relay_order order_relays(const member_list* known, const relay_order_options& options)
{
    relay_order result;
    if (known == nullptr) {
        return result;
    }
    std::map<std::string, std::vector<member>> by_zone;
    for (const member& node : known->members) {
        by_zone[node.availability_zone].push_back(node);
    }
    const auto relays = static_cast<std::size_t>(options.relays_per_zone);
    const std::vector<member> own_zone =
        rank_by_capacity(by_zone[options.availability_zone], options.availability_zone);
    const auto own = std::find_if(own_zone.begin(), own_zone.end(),
                                  [&options](const member& node) { return node.id == options.node; });
    const auto own_rank = static_cast<std::size_t>(own - own_zone.begin());
    result.is_relay =
        known->members.size() < options.minimum_nodes || own == own_zone.end() || own_rank < relays;
    for (std::size_t rank = 0; rank < std::min(own_zone.size(), relays + options.alternatives); ++rank) {
        if (own_zone[rank].id != options.node) {
            result.candidates.push_back(own_zone[rank]);
        }
    }
    // With several relays in a zone, each node prefers one of them by its own hash.
    const std::size_t preferred = std::min(result.candidates.size(), relays);
    if (preferred > 1) {
        std::rotate(result.candidates.begin(),
                    result.candidates.begin() +
                        static_cast<std::ptrdiff_t>(core::hash64(options.node) % preferred),
                    result.candidates.begin() + static_cast<std::ptrdiff_t>(preferred));
    }
    std::vector<member> elsewhere;
    for (const auto& [zone, nodes] : by_zone) {
        if (zone != options.availability_zone) {
            elsewhere.push_back(rank_by_capacity(nodes, zone).front());
        }
    }
    std::sort(elsewhere.begin(), elsewhere.end(), [&options](const member& left, const member& right) {
        return core::hash64(options.node + left.id) < core::hash64(options.node + right.id);
    });
    elsewhere.resize(std::min(elsewhere.size(), options.relays_elsewhere));
    result.candidates.insert(result.candidates.end(), elsewhere.begin(), elsewhere.end());
    return result;
}

} // namespace samphireway::gateway
