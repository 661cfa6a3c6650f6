#pragma once

#include "budget/budget.h"
#include "metrics/metrics.h"
#include "traffic/chat/request_outcome.h"

#include <array>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace samphireway::node {

/** Functions that each scrape reads. The metrics of an empty function are omitted. @see node_metrics */
struct metric_sources {
    std::function<std::int64_t()> streams_open; ///< Requests that are open at upstreams.
    /// Memory that buffers answers for slow readers, in bytes.
    std::function<std::int64_t()> reader_buffer_bytes;
    /// Account of a plan, as last read.
    std::function<budget::account_summary(const std::string& plan)> budget_summary;
    /// Tokens that this node can reserve for a plan without a new grant.
    std::function<escrow::amount(const std::string& plan)> budget_free;
};

/**
    Metrics of one node, exposed at `/metrics`.

    The number of series does not grow with the number of workspaces, plans or models: only the busiest
    of them get series of their own, see `maximum_workspaces`, `maximum_plans` and `maximum_models`.

    @see metrics::bounded_series
*/
class node_metrics {
public:
    // Enough for two users with about ten workspaces each together with the busiest of the 30,000
    // workspaces of the design size. One scrape stays below 300 KB.
    static constexpr std::size_t maximum_workspaces = 50;
    static constexpr std::size_t maximum_plans = 50;
    // More than the 9 models of the design size, because callers can name models that do not exist.
    static constexpr std::size_t maximum_models = 16;

    explicit node_metrics(metric_sources sources_to_use);

    /** Records the outcome of a request. May be called from any thread. */
    void observe(const traffic::request_outcome& outcome);

    /**
        Records how long a request of a priority class waited for admission. May be called from any
        thread.
    */
    void observe_queueing(std::string_view priority_class, std::chrono::microseconds waited);

    /**
        Counts a platform call by kind: `get`, `put`, `remove`, `list`, `watch` or `vms`. May be called
        from any thread.
    */
    void observe_platform_call(std::string_view kind, bool has_failed);

    /**
        Returns all metrics in the text exposition format. Also updates which workspaces, plans and
        models have series of their own.
    */
    std::string expose();

private:
    struct workspace_record {
        std::int64_t requests = 0;
        std::int64_t failures = 0;
        std::int64_t prompt_tokens = 0;
        std::int64_t output_tokens = 0;
        std::int64_t billed_tokens = 0;
        metrics::duration_histogram first_token;

        void merge(const workspace_record& other);
    };

    struct model_record {
        metrics::duration_histogram first_token;
        metrics::duration_histogram token_gap;

        void merge(const model_record& other);
    };

    struct plan_record {
        std::int64_t refused_exhausted = 0;
        std::int64_t refused_unavailable = 0;

        void merge(const plan_record& other);
    };

    struct call_record {
        std::int64_t calls = 0;
        std::int64_t failures = 0;
    };

    void write_workspaces(metrics::text_writer& writer) const;
    void write_models(metrics::text_writer& writer) const;
    void write_plans(metrics::text_writer& writer) const;
    void write_node(metrics::text_writer& writer) const;

    const metric_sources sources;
    mutable std::mutex mutex;
    metrics::bounded_series<workspace_record> workspaces;
    metrics::bounded_series<model_record> models;
    metrics::bounded_series<plan_record> plans;
    std::map<std::pair<core::error_code, core::verdict>, std::int64_t> failures;
    std::map<std::string, metrics::duration_histogram, std::less<>> queueing;
    std::map<std::string, call_record, std::less<>> platform_calls;
};

} // namespace samphireway::node
