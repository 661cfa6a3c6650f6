#include "bench/measure/remote_counts.h"

#include "escrow/escrow.h"
#include "platform/platform.h"

#include <httplib.h>

namespace samphireway::bench {

namespace {

constexpr std::chrono::seconds call_timeout{5};

Json::Value get_json(const traffic::endpoint& endpoint, const std::string& path,
                     const httplib::Headers& headers)
{
    constexpr int status_ok = 200;
    httplib::Client client(endpoint.address, endpoint.port);
    client.set_connection_timeout(call_timeout);
    client.set_read_timeout(call_timeout);
    const httplib::Result answer = client.Get(path.c_str(), headers);
    if (!answer || answer->status != status_ok) {
        return Json::Value(Json::objectValue);
    }
    const core::result<Json::Value> json = core::parse_json(answer->body);
    return json && json->isObject() ? *json : Json::Value(Json::objectValue);
}

std::map<std::string, plan_budget> read_from_ledgers(const load_options& options)
{
    const traffic::endpoint& endpoint = options.platforms.front();
    platform::http_platform platform({.address = endpoint.address, .port = endpoint.port});
    const core::result<platform::watch_batch> objects = platform.make_object_store().list("ledger/budget/");
    std::map<std::string, plan_budget> budgets;
    if (!objects) {
        return budgets;
    }
    std::map<std::string, escrow::account> accounts;
    for (const platform::object& object : objects->changed) {
        core::result<escrow::ledger> ledger = escrow::ledger_from_json(object.value);
        if (ledger) {
            accounts.merge(ledger->accounts);
        }
    }
    for (const std::string& plan : options.plans) {
        const auto found = accounts.find(plan);
        if (found != accounts.end()) {
            budgets[plan] = plan_budget{.limit = found->second.limit(),
                                        .spent = found->second.spent(),
                                        .available = found->second.available(),
                                        .held = found->second.outstanding()};
        }
    }
    return budgets;
}

std::map<std::string, plan_budget> read_from_admin(const load_options& options)
{
    std::map<std::string, plan_budget> budgets;
    for (const std::string& plan : options.plans) {
        const Json::Value json = options.admin.port == 0
                                     ? Json::Value()
                                     : get_json(options.admin, "/admin/v1/plans/" + plan + "/budget",
                                                {{"Authorization", "Bearer " + options.operator_key}});
        if (json.isObject() && json.isMember("limit")) {
            budgets[plan] = plan_budget{.limit = core::integer_member(json, "limit"),
                                        .spent = core::integer_member(json, "spent"),
                                        .available = core::integer_member(json, "available"),
                                        .held = core::integer_member(json, "held")};
        }
    }
    return budgets;
}

} // namespace

remote_counts read_counts(const load_options& options)
{
    remote_counts counts;
    for (const traffic::endpoint& upstream : options.upstreams) {
        const Json::Value json = get_json(upstream, "/counters", {});
        counts.engine_tokens +=
            core::integer_member(json, "prompt_tokens") + core::integer_member(json, "output_tokens");
        counts.engine_requests += core::integer_member(json, "requests");
        counts.out_of_memory += core::integer_member(json, "out_of_memory");
        counts.peak_running += core::integer_member(json, "peak_running");
    }
    for (const traffic::endpoint& platform : options.platforms) {
        const Json::Value json = get_json(platform, "/counters", {});
        counts.platform_reads += core::integer_member(json, "reads");
        counts.platform_writes += core::integer_member(json, "writes");
    }
    return counts;
}

std::map<std::string, plan_budget> read_budgets(const load_options& options)
{
    return options.platforms.empty() ? read_from_admin(options) : read_from_ledgers(options);
}

} // namespace samphireway::bench
