#include "gateway/control/generation_watch.h"

#include <algorithm>
#include <utility>

namespace samphireway::gateway {

namespace {

// The object API counts its generations from one.
constexpr std::uint64_t first_generation = 1;

} // namespace

generation_watch::generation_watch(std::function<void(std::uint64_t generation)> on_restore)
    : notify(std::move(on_restore))
{
}

platform::object_store generation_watch::observe(const platform::object_store& store)
{
    // The result types differ, but all name their generation.
    const auto observed = [this](auto call) {
        return [this, call = std::move(call)](const auto&... arguments) {
            auto outcome = call(arguments...);
            if (outcome) {
                this->record(outcome->generation);
            }
            return outcome;
        };
    };
    platform::object_store result = store;
    result.get = observed(store.get);
    result.put = observed(store.put);
    result.remove = observed(store.remove);
    result.list = observed(store.list);
    result.watch = observed(store.watch);
    if (store.put_status) {
        result.put_status = observed(store.put_status);
    }
    return result;
}

void generation_watch::record(std::uint64_t generation)
{
    std::uint64_t known = this->latest;
    while (generation > known && !this->latest.compare_exchange_weak(known, generation)) {
    }
    if (generation > std::max(known, first_generation)) {
        this->notify(generation);
    }
}

} // namespace samphireway::gateway
