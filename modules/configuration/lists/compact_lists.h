#pragma once

#include "configuration/lists/lists.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace samphireway::configuration {

namespace detail {

/** The records of one shard, sorted by id and packed into one string. A record is the length of its
    id in one byte, the id, and the content. */
class record_table {
public:
    /** Appends a record; its id must be greater than all ids before it. */
    void append(std::string_view id, std::string_view content);

    /** Releases spare capacity after the last record. */
    void shrink_to_fit();

    /** Returns a record's content, or nothing when there is no such id. */
    std::optional<std::string_view> find(std::string_view id) const;

    /** Returns the position of the first record whose id is greater than `after`. */
    std::size_t position_after(std::string_view after) const;

    std::string_view id_at(std::size_t position) const;
    std::string_view content_at(std::size_t position) const;
    std::size_t size() const;

private:
    std::string buffer;
    std::vector<std::uint32_t> record_offsets; ///< Positions in the buffer at which the records start.
};

} // namespace detail

/**
    One shard of the plans list, immutable once built.

    The plans are stored in packed form, about 60 bytes each and without an allocation of their own,
    because a node holds 110,000 of them.

    @see snapshot
*/
class plan_shard {
public:
    plan_shard() = default;
    explicit plan_shard(const std::map<std::string, plan>& plans);

    std::optional<plan> find(const std::string& id) const;

    /** Returns up to `limit` plans with ids greater than `after`, in ascending order. */
    std::vector<plan> page(const std::string& after, std::size_t limit) const;

    std::size_t size() const;

private:
    plan plan_at(std::size_t position) const;

    detail::record_table records;
};

/**
    One shard of the access list, immutable once built. Plans with equal lists of entries share one
    copy.

    @see snapshot
*/
class access_shard {
public:
    access_shard() = default;
    explicit access_shard(const std::map<std::string, std::vector<access_entry>>& access);

    /** Returns a plan's access entries, valid as long as the shard, or null when there are none. */
    const std::vector<access_entry>* find(const std::string& plan_id) const;

    /** Returns up to `limit` plan ids greater than `after`, in ascending order. */
    std::vector<std::string> page(const std::string& after, std::size_t limit) const;

    /** Returns the distinct lists of entries of all plans, each once. */
    const std::vector<std::vector<access_entry>>& distinct_lists() const;

    /** Returns the id of the first plan whose entries are the list at an index of `distinct_lists`. */
    std::string example_plan(std::size_t index) const;

    std::size_t size() const;

private:
    detail::record_table records;
    std::vector<std::vector<access_entry>> lists;
};

} // namespace samphireway::configuration
