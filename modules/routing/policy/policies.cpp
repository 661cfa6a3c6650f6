#include "routing/policy/policies.h"

#include <algorithm>
#include <memory>
#include <mutex>
#include <random>

namespace samphireway::routing {

namespace {

/** A random number generator shared by several threads. */
class shared_random {
public:
    explicit shared_random(std::uint64_t seed) : generator(seed) {}

    std::size_t next_below(std::size_t bound)
    {
        const std::lock_guard lock(this->mutex);
        return std::uniform_int_distribution<std::size_t>(0, bound - 1)(this->generator);
    }

private:
    std::mutex mutex;
    std::mt19937_64 generator;
};

std::size_t find_home(const std::vector<candidate>& candidates, std::uint64_t prefix)
{
    const std::string seed = core::to_hex(prefix);
    std::size_t home = 0;
    std::uint64_t highest = 0;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const std::uint64_t score = core::hash64(seed + candidates[index].upstream->id);
        if (score >= highest) {
            highest = score;
            home = index;
        }
    }
    return home;
}

} // namespace

routing_policy make_random_policy(std::uint64_t seed)
{
    return [random = std::make_shared<shared_random>(seed)](const std::vector<candidate>& candidates,
                                                            const route_request&) {
        return random->next_below(candidates.size());
    };
}

routing_policy make_two_choices_policy(std::uint64_t seed)
{
    return [random = std::make_shared<shared_random>(seed)](const std::vector<candidate>& candidates,
                                                            const route_request&) {
        const std::size_t first = random->next_below(candidates.size());
        const std::size_t second = random->next_below(candidates.size());
        return candidates[first].in_flight <= candidates[second].in_flight ? first : second;
    };
}

routing_policy make_affinity_policy(affinity_weights weights)
{
    return [weights](const std::vector<candidate>& candidates, const route_request& request) {
        const std::size_t home = find_home(candidates, request.prefix_hash);
        std::size_t best = 0;
        double lowest_cost = 0.0;
        for (std::size_t index = 0; index < candidates.size(); ++index) {
            const candidate& entry = candidates[index];
            const auto agreed =
                static_cast<double>(std::max<std::int64_t>(1, entry.upstream->agreed_requests));
            double cost = static_cast<double>(entry.in_flight) / agreed;
            cost -= weights.prefix * entry.prefix_confidence;
            cost -= index == home ? weights.home : 0.0;
            cost -= entry.is_same_zone ? weights.zone : 0.0;
            if (index == 0 || cost < lowest_cost) {
                lowest_cost = cost;
                best = index;
            }
        }
        return best;
    };
}

} // namespace samphireway::routing
