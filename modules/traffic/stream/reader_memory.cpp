#include "traffic/stream/reader_memory.h"

#include <algorithm>
#include <cassert>

namespace samphireway::traffic {

reader_memory::reader_memory(reader_memory_options options_to_use)
    : options(options_to_use),
      reserved_per_reader(
          std::min(options_to_use.reader_bytes,
                   options_to_use.node_bytes / 2 / std::max<std::size_t>(1, options_to_use.readers))),
      shared_capacity(options_to_use.node_bytes - this->reserved_per_reader * options_to_use.readers)
{
}

bool reader_memory::take(std::size_t held_before, std::size_t added)
{
    const std::lock_guard lock(this->mutex);
    const std::size_t held_after = held_before + added;
    const std::size_t shared_added = this->shared_part(held_after) - this->shared_part(held_before);
    // The last check has an effect only if there are more readers than expected by the options.
    if (held_after > this->options.reader_bytes ||
        this->shared_in_use + shared_added > this->shared_capacity ||
        this->total + added > this->options.node_bytes) {
        return false;
    }
    this->shared_in_use += shared_added;
    this->total += added;
    this->peak_total = std::max(this->peak_total, this->total);
    return true;
}

void reader_memory::give_back(std::size_t held_before, std::size_t removed)
{
    const std::lock_guard lock(this->mutex);
    assert(removed <= held_before);
    this->shared_in_use -= this->shared_part(held_before) - this->shared_part(held_before - removed);
    this->total -= removed;
}

std::size_t reader_memory::held() const
{
    const std::lock_guard lock(this->mutex);
    return this->total;
}

std::size_t reader_memory::peak() const
{
    const std::lock_guard lock(this->mutex);
    return this->peak_total;
}

std::size_t reader_memory::reader_limit() const noexcept
{
    return this->options.reader_bytes;
}

std::size_t reader_memory::shared_part(std::size_t reader_held) const noexcept
{
    return reader_held > this->reserved_per_reader ? reader_held - this->reserved_per_reader : 0;
}

} // namespace samphireway::traffic
