#include "gateway/relay/contact_book.h"

#include <algorithm>

namespace samphireway::gateway {

namespace {

// Two polls of a node that is in contact, with a lost one between them.
constexpr std::chrono::milliseconds entry_lifetime{2500};
constexpr std::size_t maximum_returned = 4;
constexpr std::size_t maximum_entries = 1024;

} // namespace

void contact_book::record(const std::string& node, core::steady_time now)
{
    if (this->seen.size() >= maximum_entries) {
        std::erase_if(this->seen, [now](const auto& entry) { return now - entry.second > entry_lifetime; });
    }
    if (!node.empty() && (this->seen.size() < maximum_entries || this->seen.contains(node))) {
        this->seen[node] = now;
    }
}

std::vector<std::string> contact_book::read(core::steady_time now) const
{
    std::vector<std::pair<core::steady_time, std::string>> latest;
    for (const auto& [node, time] : this->seen) {
        if (now - time <= entry_lifetime) {
            latest.emplace_back(time, node);
        }
    }
    std::sort(latest.rbegin(), latest.rend());
    latest.resize(std::min(latest.size(), maximum_returned));
    std::vector<std::string> result;
    result.reserve(latest.size());
    for (auto& [time, node] : latest) {
        result.push_back(std::move(node));
    }
    return result;
}

} // namespace samphireway::gateway
