#include "configuration/lists/compact_lists.h"

#include <algorithm>
#include <cassert>
#include <cstring>

namespace samphireway::configuration {

namespace {

constexpr std::size_t hash_bytes = 32;

unsigned digit_value(char digit)
{
    return static_cast<unsigned>(digit <= '9' ? digit - '0' : digit - 'a' + 10);
}

std::string pack_hash(const std::string& hexadecimal)
{
    std::string packed(hash_bytes, '\0');
    for (std::size_t index = 0; index < hash_bytes; ++index) {
        packed[index] = static_cast<char>(digit_value(hexadecimal[2 * index]) << 4U |
                                          digit_value(hexadecimal[2 * index + 1]));
    }
    return packed;
}

std::string unpack_hash(std::string_view packed)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string hexadecimal;
    for (const char byte : packed) {
        const auto value = static_cast<unsigned char>(byte);
        hexadecimal += digits[value >> 4U];
        hexadecimal += digits[value & 0x0FU];
    }
    return hexadecimal;
}

std::string pack_plan(const plan& value)
{
    std::string packed;
    packed += static_cast<char>(value.is_enabled ? 1 : 0);
    packed += static_cast<char>(value.key_hashes.size());
    for (const std::string& hash : value.key_hashes) {
        assert(hash.size() == 2 * hash_bytes);
        packed += pack_hash(hash);
    }
    packed += value.workspace;
    return packed;
}

plan unpack_plan(std::string_view id, std::string_view packed)
{
    plan value{.id = std::string(id), .is_enabled = packed[0] != 0};
    const auto hashes = static_cast<std::size_t>(static_cast<unsigned char>(packed[1]));
    packed.remove_prefix(2);
    for (std::size_t index = 0; index < hashes; ++index) {
        value.key_hashes.push_back(unpack_hash(packed.substr(index * hash_bytes, hash_bytes)));
    }
    value.workspace = std::string(packed.substr(hashes * hash_bytes));
    return value;
}

std::uint32_t unpack_index(std::string_view content)
{
    std::uint32_t index = 0;
    std::memcpy(&index, content.data(), sizeof(index));
    return index;
}

} // namespace

namespace detail {

void record_table::append(std::string_view id, std::string_view content)
{
    assert(id.size() < 256);
    this->record_offsets.push_back(static_cast<std::uint32_t>(this->buffer.size()));
    this->buffer += static_cast<char>(id.size());
    this->buffer += id;
    this->buffer += content;
}

void record_table::shrink_to_fit()
{
    this->buffer.shrink_to_fit();
    this->record_offsets.shrink_to_fit();
}

std::string_view record_table::id_at(std::size_t position) const
{
    const std::size_t start = this->record_offsets[position];
    const auto length = static_cast<unsigned char>(this->buffer[start]);
    return std::string_view(this->buffer).substr(start + 1, length);
}

std::string_view record_table::content_at(std::size_t position) const
{
    const std::string_view id = this->id_at(position);
    const auto start = static_cast<std::size_t>(id.data() + id.size() - this->buffer.data());
    const std::size_t end =
        position + 1 < this->record_offsets.size() ? this->record_offsets[position + 1] : this->buffer.size();
    return std::string_view(this->buffer).substr(start, end - start);
}

std::size_t record_table::position_after(std::string_view after) const
{
    std::size_t low = 0;
    std::size_t high = this->record_offsets.size();
    while (low < high) {
        const std::size_t middle = low + (high - low) / 2;
        if (this->id_at(middle) > after) {
            high = middle;
        }
        else {
            low = middle + 1;
        }
    }
    return low;
}

std::optional<std::string_view> record_table::find(std::string_view id) const
{
    const std::size_t position = this->position_after(id);
    if (position == 0 || this->id_at(position - 1) != id) {
        return std::nullopt;
    }
    return this->content_at(position - 1);
}

std::size_t record_table::size() const
{
    return this->record_offsets.size();
}

} // namespace detail

plan_shard::plan_shard(const std::map<std::string, plan>& plans)
{
    for (const auto& [id, value] : plans) {
        this->records.append(id, pack_plan(value));
    }
    this->records.shrink_to_fit();
}

std::optional<plan> plan_shard::find(const std::string& id) const
{
    const std::optional<std::string_view> content = this->records.find(id);
    return content ? std::optional<plan>(unpack_plan(id, *content)) : std::nullopt;
}

std::vector<plan> plan_shard::page(const std::string& after, std::size_t limit) const
{
    std::vector<plan> plans;
    std::size_t position = this->records.position_after(after);
    while (position < this->records.size() && plans.size() < limit) {
        plans.push_back(this->plan_at(position));
        ++position;
    }
    return plans;
}

plan plan_shard::plan_at(std::size_t position) const
{
    return unpack_plan(this->records.id_at(position), this->records.content_at(position));
}

std::size_t plan_shard::size() const
{
    return this->records.size();
}

access_shard::access_shard(const std::map<std::string, std::vector<access_entry>>& access)
{
    std::map<std::string, std::uint32_t> list_indexes;
    for (const auto& [id, entries] : access) {
        const auto next = static_cast<std::uint32_t>(this->lists.size());
        const auto [found, is_new] = list_indexes.try_emplace(core::write_json(to_json(entries)), next);
        if (is_new) {
            this->lists.push_back(entries);
        }
        std::string content(sizeof(std::uint32_t), '\0');
        std::memcpy(content.data(), &found->second, sizeof(std::uint32_t));
        this->records.append(id, content);
    }
    this->records.shrink_to_fit();
    this->lists.shrink_to_fit();
}

const std::vector<access_entry>* access_shard::find(const std::string& plan_id) const
{
    const std::optional<std::string_view> content = this->records.find(plan_id);
    return content ? &this->lists[unpack_index(*content)] : nullptr;
}

std::vector<std::string> access_shard::page(const std::string& after, std::size_t limit) const
{
    std::vector<std::string> ids;
    std::size_t position = this->records.position_after(after);
    while (position < this->records.size() && ids.size() < limit) {
        ids.emplace_back(this->records.id_at(position));
        ++position;
    }
    return ids;
}

const std::vector<std::vector<access_entry>>& access_shard::distinct_lists() const
{
    return this->lists;
}

std::string access_shard::example_plan(std::size_t index) const
{
    for (std::size_t position = 0; position < this->records.size(); ++position) {
        if (unpack_index(this->records.content_at(position)) == index) {
            return std::string(this->records.id_at(position));
        }
    }
    return {};
}

std::size_t access_shard::size() const
{
    return this->records.size();
}

} // namespace samphireway::configuration
