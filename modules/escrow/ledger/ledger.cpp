#include "escrow/ledger/ledger.h"

#include <algorithm>
#include <charconv>

namespace samphireway::escrow {

namespace {

constexpr std::size_t hash_digits = 16;
// The object API counts its generations from one; what is written in the first one was never restored.
constexpr std::uint64_t first_generation = 1;

core::error malformed(const std::string& what)
{
    return core::error{.code = core::error_code::invalid_argument, .message = "ledger " + what};
}

/** Sets a member unless the value is zero, which keeps the stored object small. */
void set_amount(Json::Value& json, const char* name, amount value)
{
    if (value != 0) {
        json[name] = static_cast<Json::Int64>(value);
    }
}

core::result<void> read_integers(const Json::Value& json, const char* what,
                                 std::map<std::string, std::int64_t>& target)
{
    for (auto entry = json.begin(); entry != json.end(); ++entry) {
        if (!entry->isInt64()) {
            return tl::unexpected(malformed(std::string(what) + " is not an integer"));
        }
        target[entry.name()] = entry->asInt64();
    }
    return {};
}

core::result<void> read_billed_requests(const Json::Value& json, account& target)
{
    for (auto entry = json.begin(); entry != json.end(); ++entry) {
        const std::string name = entry.name();
        std::int64_t time = 0;
        const auto parsed = std::from_chars(name.data(), name.data() + name.size(), time);
        const std::string digits = entry->isString() ? entry->asString() : "";
        if (parsed.ec != std::errc{} || digits.size() % hash_digits != 0) {
            return tl::unexpected(malformed("list of billed requests is malformed"));
        }
        std::vector<std::uint64_t>& hashes = target.billed_requests[time];
        hashes.reserve(digits.size() / hash_digits);
        for (std::size_t at = 0; at < digits.size(); at += hash_digits) {
            std::uint64_t hash = 0;
            constexpr int hexadecimal = 16;
            const char* first = digits.data() + at;
            if (std::from_chars(first, first + hash_digits, hash, hexadecimal).ec != std::errc{}) {
                return tl::unexpected(malformed("hash of a billed request is malformed"));
            }
            hashes.push_back(hash);
        }
    }
    return {};
}

holder_entry holder_from_json(const Json::Value& json)
{
    return holder_entry{.granted = core::integer_member(json, "granted"),
                        .spent = core::integer_member(json, "spent"),
                        .returned = core::integer_member(json, "returned"),
                        .sequence = static_cast<std::uint64_t>(core::integer_member(json, "sequence")),
                        .wanted = core::integer_member(json, "wanted"),
                        .demand_per_second = core::integer_member(json, "demand"),
                        .written_at_ms = core::integer_member(json, "written_at_ms"),
                        .generation = static_cast<std::uint64_t>(core::integer_member(json, "generation"))};
}

Json::Value to_json(const holder_entry& entry)
{
    Json::Value json(Json::objectValue);
    json["granted"] = static_cast<Json::Int64>(entry.granted);
    json["spent"] = static_cast<Json::Int64>(entry.spent);
    json["returned"] = static_cast<Json::Int64>(entry.returned);
    json["sequence"] = static_cast<Json::UInt64>(entry.sequence);
    set_amount(json, "wanted", entry.wanted);
    set_amount(json, "demand", entry.demand_per_second);
    set_amount(json, "written_at_ms", entry.written_at_ms);
    set_amount(json, "generation", static_cast<amount>(entry.generation));
    return json;
}

core::result<account> account_from_json(const Json::Value& json)
{
    if (!json.isObject() || !json["deposits"].isObject() || !json["holders"].isObject()) {
        return tl::unexpected(malformed("account lacks deposits or holders"));
    }
    account parsed;
    parsed.closed_spent = core::integer_member(json, "closed_spent");
    parsed.folded_deposits = core::integer_member(json, "folded_deposits");
    parsed.is_removed = core::boolean_member(json, "removed");
    core::result<void> outcome = read_integers(json["deposits"], "deposit", parsed.deposits);
    if (outcome) {
        outcome = read_integers(json["deposit_times"], "deposit time", parsed.deposit_times);
    }
    if (outcome) {
        outcome = read_billed_requests(json["requests"], parsed);
    }
    if (!outcome) {
        return tl::unexpected(outcome.error());
    }
    const Json::Value& reductions = json["reductions"];
    for (auto entry = reductions.begin(); entry != reductions.end(); ++entry) {
        parsed.reductions[entry.name()] = {.asked = core::integer_member(*entry, "asked"),
                                           .taken = core::integer_member(*entry, "taken")};
    }
    const Json::Value& holders = json["holders"];
    for (auto entry = holders.begin(); entry != holders.end(); ++entry) {
        parsed.holders[entry.name()] = holder_from_json(*entry);
    }
    const Json::Value& closures = json["closures"];
    for (auto entry = closures.begin(); entry != closures.end(); ++entry) {
        closure& parsed_entry = parsed.closures[entry.name()];
        parsed_entry = {.charged = core::integer_member(*entry, "charged"),
                        .released = core::integer_member(*entry, "released"),
                        .closed_at_ms = core::integer_member(*entry, "closed_at_ms")};
        if (entry->isMember("spent")) {
            parsed_entry.spent = core::integer_member(*entry, "spent");
        }
    }
    const Json::Value& ended = json["ended"];
    for (auto entry = ended.begin(); entry != ended.end(); ++entry) {
        parsed.ended[entry.name()] = {.spent = core::integer_member(*entry, "spent"),
                                      .ended_at_ms = core::integer_member(*entry, "ended_at_ms")};
    }
    return parsed;
}

Json::Value billed_requests_json(const account& value)
{
    Json::Value json(Json::objectValue);
    for (const auto& [time, hashes] : value.billed_requests) {
        std::string digits;
        digits.reserve(hashes.size() * hash_digits);
        for (const std::uint64_t hash : hashes) {
            digits.append(core::to_hex(hash));
        }
        json[std::to_string(time)] = digits;
    }
    return json;
}

Json::Value to_json(const account& value)
{
    Json::Value json(Json::objectValue);
    set_amount(json, "closed_spent", value.closed_spent);
    set_amount(json, "folded_deposits", value.folded_deposits);
    if (value.is_removed) {
        json["removed"] = true;
    }
    Json::Value& deposits = json["deposits"] = Json::Value(Json::objectValue);
    for (const auto& [id, sum] : value.deposits) {
        deposits[id] = static_cast<Json::Int64>(sum);
    }
    for (const auto& [id, time] : value.deposit_times) {
        json["deposit_times"][id] = static_cast<Json::Int64>(time);
    }
    for (const auto& [id, entry] : value.reductions) {
        json["reductions"][id]["asked"] = static_cast<Json::Int64>(entry.asked);
        json["reductions"][id]["taken"] = static_cast<Json::Int64>(entry.taken);
    }
    Json::Value& holders = json["holders"] = Json::Value(Json::objectValue);
    for (const auto& [id, entry] : value.holders) {
        holders[id] = to_json(entry);
    }
    for (const auto& [id, entry] : value.closures) {
        Json::Value& closed = json["closures"][id];
        closed["charged"] = static_cast<Json::Int64>(entry.charged);
        closed["released"] = static_cast<Json::Int64>(entry.released);
        closed["closed_at_ms"] = static_cast<Json::Int64>(entry.closed_at_ms);
        if (entry.spent) {
            closed["spent"] = static_cast<Json::Int64>(*entry.spent);
        }
    }
    for (const auto& [id, entry] : value.ended) {
        Json::Value& end = json["ended"][id];
        end["spent"] = static_cast<Json::Int64>(entry.spent);
        end["ended_at_ms"] = static_cast<Json::Int64>(entry.ended_at_ms);
    }
    if (!value.billed_requests.empty()) {
        json["requests"] = billed_requests_json(value);
    }
    return json;
}

} // namespace

amount account::limit() const noexcept
{
    amount sum = this->folded_deposits;
    for (const auto& [id, deposit] : this->deposits) {
        sum += deposit;
    }
    for (const auto& [id, entry] : this->reductions) {
        sum -= entry.taken;
    }
    return sum;
}

amount account::spent() const noexcept
{
    amount sum = this->closed_spent;
    for (const auto& [id, entry] : this->holders) {
        sum += entry.spent;
    }
    return sum;
}

amount account::outstanding() const noexcept
{
    amount sum = 0;
    for (const auto& [id, entry] : this->holders) {
        // What one holder has overspent is nobody's to spend again.
        sum += entry.in_doubt();
    }
    return sum;
}

amount account::available() const noexcept
{
    return this->limit() - this->spent() - this->outstanding();
}

amount account::kept_back(std::uint64_t generation) const noexcept
{
    amount sum = 0;
    for (const auto& [id, entry] : this->holders) {
        const bool has_written = generation <= first_generation || entry.generation >= generation;
        sum += has_written ? 0 : entry.in_doubt();
    }
    return sum;
}

amount account::pending_reduction() const noexcept
{
    amount sum = 0;
    for (const auto& [id, entry] : this->reductions) {
        sum += entry.asked - entry.taken;
    }
    return sum;
}

bool account::has_ended(const std::string& holder, std::uint64_t generation) const noexcept
{
    const bool is_missing = generation == 0 && !this->holders.contains(holder);
    return is_missing || this->closures.contains(holder) || this->ended.contains(holder);
}

bool account::is_billed(std::uint64_t request_hash) const noexcept
{
    return std::any_of(this->billed_requests.begin(), this->billed_requests.end(), [&](const auto& entry) {
        return std::find(entry.second.begin(), entry.second.end(), request_hash) != entry.second.end();
    });
}

core::result<ledger> ledger_from_json(const Json::Value& json)
{
    ledger parsed;
    if (json.isNull()) {
        return parsed;
    }
    if (!json.isObject() || !json["accounts"].isObject()) {
        return tl::unexpected(malformed("lacks accounts"));
    }
    parsed.generation = static_cast<std::uint64_t>(core::integer_member(json, "generation"));
    const Json::Value& accounts = json["accounts"];
    for (auto entry = accounts.begin(); entry != accounts.end(); ++entry) {
        core::result<account> value = account_from_json(*entry);
        if (!value) {
            return tl::unexpected(value.error());
        }
        parsed.accounts[entry.name()] = std::move(*value);
    }
    return parsed;
}

Json::Value to_json(const ledger& value)
{
    Json::Value json(Json::objectValue);
    Json::Value& accounts = json["accounts"] = Json::Value(Json::objectValue);
    for (const auto& [id, entry] : value.accounts) {
        accounts[id] = to_json(entry);
    }
    if (value.generation != 0) {
        json["generation"] = static_cast<Json::UInt64>(value.generation);
    }
    return json;
}

} // namespace samphireway::escrow
