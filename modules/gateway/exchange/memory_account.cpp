#include "gateway/exchange/response_memory.h"

#include <algorithm>
#include <utility>

namespace samphireway::gateway {

bool response_memory::keep(owner kept_for, std::size_t bytes, std::function<void()> give_up)
{
    this->release(kept_for);
    this->sum += bytes;
    this->responses[kept_for] = kept_response{.bytes = bytes, .give_up = std::move(give_up)};
    while (this->sum > this->limit) {
        const auto largest = std::max_element(
            this->responses.begin(), this->responses.end(),
            [](const auto& left, const auto& right) { return left.second.bytes < right.second.bytes; });
        const bool is_own = largest->first == kept_for;
        const std::function<void()> give_up_largest = std::move(largest->second.give_up);
        this->release(largest->first);
        if (is_own) {
            return false;
        }
        give_up_largest();
    }
    return true;
}

void response_memory::release(owner kept_for)
{
    const auto found = this->responses.find(kept_for);
    if (found == this->responses.end()) {
        return;
    }
    this->sum -= found->second.bytes;
    this->responses.erase(found);
}

} // namespace samphireway::gateway
