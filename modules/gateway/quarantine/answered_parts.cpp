#include "gateway/quarantine/answered_parts.h"

namespace samphireway::gateway {

void answered_parts::add(const prompt_parts& prompt)
{
    const std::lock_guard lock(this->mutex);
    ++this->answers;
    for (const std::string& part : prompt) {
        this->current[core::hash64(part)] = this->answers;
    }
    if (this->current.size() >= generation_size) {
        this->previous = std::move(this->current);
        this->current.clear();
    }
}

std::uint64_t answered_parts::count() const
{
    const std::lock_guard lock(this->mutex);
    return this->answers;
}

std::optional<std::uint64_t> answered_parts::last_answer(const std::string& part) const
{
    const std::lock_guard lock(this->mutex);
    const std::uint64_t hash = core::hash64(part);
    for (const auto* generation : {&this->current, &this->previous}) {
        const auto found = generation->find(hash);
        if (found != generation->end()) {
            return found->second;
        }
    }
    return std::nullopt;
}

} // namespace samphireway::gateway
