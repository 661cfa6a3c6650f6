#pragma once

#include <cstddef>
#include <mutex>

namespace samphireway::traffic {

/** Limits of the memory for text that callers have yet to read. @see reader_memory */
struct reader_memory_options {
    std::size_t reader_bytes = 64U << 10U; ///< Limit for one reader.
    std::size_t node_bytes = 64U << 20U;   ///< Limit for all readers together.
    std::size_t readers = 4096;            ///< Expected maximum of concurrent readers.
};

/**
    Accounts for the text that a node buffers for its callers and keeps it within the node's limit.

    Half of the limit is reserved in equal parts, one per expected reader. The other half is shared by
    readers that need more than their part, up to the limit per reader.

    @see text_buffer
*/
class reader_memory {
public:
    explicit reader_memory(reader_memory_options options);

    /**
        Reserves bytes for a reader that holds `held_before` bytes. Returns false, and reserves nothing,
        if the reader's limit or the node's limit would be exceeded.
    */
    bool take(std::size_t held_before, std::size_t added);

    /** Releases bytes of a reader that holds `held_before` bytes. */
    void give_back(std::size_t held_before, std::size_t removed);

    /** Returns the bytes currently held for all readers. */
    std::size_t held() const;

    /** Returns the highest count of bytes held for all readers so far. */
    std::size_t peak() const;

    /** Returns the limit for one reader in bytes. */
    std::size_t reader_limit() const noexcept;

private:
    std::size_t shared_part(std::size_t reader_held) const noexcept;

    const reader_memory_options options;
    const std::size_t reserved_per_reader; ///< Bytes reserved for each reader.
    const std::size_t shared_capacity;
    mutable std::mutex mutex;
    std::size_t shared_in_use = 0;
    std::size_t total = 0;
    std::size_t peak_total = 0;
};

} // namespace samphireway::traffic
