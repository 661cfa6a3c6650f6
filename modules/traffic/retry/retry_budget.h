#pragma once

#include <map>
#include <mutex>
#include <string>

namespace samphireway::traffic {

/** Options of a retry budget. @see retry_budget */
struct retry_budget_options {
    // With one retry per ten successes, retries raise an upstream's load by at most a tenth over time.
    double earned_per_success = 0.1;
    // Allows a node with little traffic to retry when one upstream fails, and limits the burst of
    // retries when many requests fail at once.
    double maximum = 10.0;
};

/**
    Limits retries per upstream to a fraction of its successful requests.

    When every upstream fails, no retries are earned and retrying stops, so that retries cannot prolong
    an outage.
*/
class retry_budget {
public:
    explicit retry_budget(retry_budget_options options);

    /** Adds the fraction of a retry that a success at an upstream earns. */
    void earn(const std::string& upstream);

    /** Spends one retry at an upstream; returns false when its budget is used up. */
    bool spend(const std::string& upstream);

    /** Returns whether the budget of an upstream allows a retry. */
    bool has_retry(const std::string& upstream) const;

private:
    double& balance(const std::string& upstream);

    const retry_budget_options options;
    mutable std::mutex mutex;
    std::map<std::string, double> balances;
};

} // namespace samphireway::traffic
