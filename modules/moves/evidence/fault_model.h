#pragma once

#include "moves/evidence/summary.h"

#include <array>
#include <cstddef>
#include <vector>

namespace samphireway::moves {

/** Outcome of a request that a fault changes. */
enum class fault_signal { failure, first_token, gap };

/** A fault of a version: a portion of its requests fails or takes longer. @see outcome_reference */
struct fault_model {
    fault_signal signal{};
    double portion = 0;
    std::size_t slower_by = 0; ///< Buckets of a histogram by which latencies rise; zero for failures.
    double prior = 0;          ///< Weight among the models; the weights add up to one.
};

/**
    Returns the faults that evidence is weighed for: portions of a tenth, a quarter and a half of the requests
    that fail, or whose first token or gap takes two to eight times as long.
*/
const std::vector<fault_model>& fault_models();

/**
    The outcomes of a sound version on one route, as the reference for another version.

    Heavy tails are part of the reference: some of the sound version's latencies may be several times higher
    than any that were observed. A sound version may also be up to twice as slow throughout, since its
    upstreams can have cold caches or slower machines.

    @see fault_models
*/
class outcome_reference {
public:
    /**
        Takes the outcomes of a sound version over the same period as the outcomes to be judged, and over a
        longer period, which counts only a little if there are enough of the former.
    */
    outcome_reference(const summary& concurrent, const summary& whole);

    /**
        Returns the logarithm of the likelihood ratio of each fault model to no fault, in the order of
        `fault_models`. Ratios of independent outcomes are multiplied, so their logarithms are added.

        Source: A. Wald, "Sequential tests of statistical hypotheses", Annals of Mathematical Statistics 16
        (1945) 117-186; for mixtures of models: H. Robbins, "Statistical methods related to the law of the
        iterated logarithm", Annals of Mathematical Statistics 41 (1970) 1397-1409.
    */
    std::vector<double> log_ratios(const summary& observed) const;

private:
    using distribution = std::array<double, histogram::buckets>;

    /** Logarithms of the parts of latencies in each bucket, by shift of a sound version, by model. */
    struct latency_reference {
        std::vector<distribution> sound;
        std::vector<std::vector<distribution>> faulty;
    };

    static distribution smooth(const histogram& concurrent, const histogram& whole);
    static latency_reference make_latencies(fault_signal signal, const histogram& concurrent,
                                            const histogram& whole);
    static void add_latencies(std::vector<double>& ratios, fault_signal signal, const histogram& observed,
                              const latency_reference& expected);

    double failure_rate = 0;
    latency_reference first_token;
    latency_reference gap;
};

/** Returns the logarithm of the mean of likelihood ratios, weighed by the models' priors. */
double log_mixture(const std::vector<double>& log_ratios);

/** Returns log(exp(left) + exp(right)) without overflow. */
double log_sum(double left, double right);

} // namespace samphireway::moves
