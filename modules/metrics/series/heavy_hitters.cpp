#include "metrics/series/heavy_hitters.h"

#include <algorithm>

namespace samphireway::metrics {

heavy_hitters::heavy_hitters(std::size_t maximum_labels) : capacity(maximum_labels) {}

void heavy_hitters::add(const std::string& label)
{
    const auto found = this->counts.find(label);
    if (found != this->counts.end()) {
        ++found->second;
        return;
    }
    if (this->counts.size() < this->capacity) {
        this->counts.emplace(label, 1);
        return;
    }
    // One scan finds all labels with the smallest count, so that most new labels need no scan.
    while (true) {
        while (!this->replaceable.empty()) {
            const auto candidate = this->counts.find(this->replaceable.back());
            this->replaceable.pop_back();
            if (candidate != this->counts.end() && candidate->second == this->smallest_count) {
                this->counts.erase(candidate);
                this->counts.emplace(label, this->smallest_count + 1);
                return;
            }
        }
        this->smallest_count = this->counts.begin()->second;
        for (const auto& [name, count] : this->counts) {
            this->smallest_count = std::min(this->smallest_count, count);
        }
        for (const auto& [name, count] : this->counts) {
            if (count == this->smallest_count) {
                this->replaceable.push_back(name);
            }
        }
    }
}

std::vector<std::pair<std::string, std::uint64_t>> heavy_hitters::ranking() const
{
    std::vector<std::pair<std::string, std::uint64_t>> ranked(this->counts.begin(), this->counts.end());
    std::sort(ranked.begin(), ranked.end(), [](const auto& left, const auto& right) {
        return left.second != right.second ? left.second > right.second : left.first < right.first;
    });
    return ranked;
}

void heavy_hitters::halve_counts()
{
    for (auto& [label, count] : this->counts) {
        count = (count + 1) / 2;
    }
    this->replaceable.clear();
}

} // namespace samphireway::metrics
