#include "admin/admin.h"
#include "support/fake_object_store.h"

#include <criterion/criterion.h>

namespace {

using namespace samphireway;

/** Serves the administration API over HTTP with a fake platform. */
struct served_api {
    served_api()
    {
        this->api.add_routes(this->server);
        // The library lets several processes share a fixed port, and tests run in parallel.
        this->port = this->server.bind_to_any_port("127.0.0.1");
        cr_assert_gt(this->port, 0);
        this->thread = std::thread([this] { this->server.listen_after_bind(); });
    }

    ~served_api()
    {
        this->server.stop();
        this->thread.join();
    }

    served_api(const served_api&) = delete;
    served_api& operator=(const served_api&) = delete;

    httplib::Result send(const std::string& method, const std::string& path, const std::string& body,
                         httplib::Headers headers, const std::string& secret = "editor")
    {
        httplib::Client client("127.0.0.1", this->port);
        httplib::Request request;
        request.method = method;
        request.path = "/admin/v1" + path;
        request.body = body;
        request.headers = std::move(headers);
        request.set_header("Authorization", "Bearer " + secret);
        httplib::Result result = client.send(request);
        const auto listed = this->store.hooks().list("config/");
        for (const platform::object& object : listed->changed) {
            this->repository.offer(object.key, object.value);
        }
        return result;
    }

    testing::fake_object_store store;
    configuration::repository repository{4};
    admin::admin_api api{admin::admin_services{
        .editor = configuration::editor(
            this->store.hooks(), 4,
            {.stored = [this](const std::string& key) { return this->repository.stored(key); },
             .current =
                 [this] {
                     return this->repository.current();
                 }}),
        .budgets = admin::budget_accounts(this->store.hooks(), 2),
        .configuration = [this] { return this->repository.current(); },
        .status = [] { return Json::Value(Json::objectValue); },
        .fleet_status = [] { return Json::Value(Json::objectValue); },
        .operators =
            {{.name = "ann", .key_hash = core::sha256_hex("editor"), .role = settings::operator_role::editor},
             {.name = "ann", .key_hash = core::sha256_hex("next"), .role = settings::operator_role::editor},
             {.name = "vic", .key_hash = core::sha256_hex("viewer")}}}};
    httplib::Server server;
    int port = 0;
    std::thread thread;
};

const std::string plan = R"({"workspace": "w"})";

} // namespace

// Guards against changes by viewers or without a valid key, and against refusing an operator whose key
// is being rotated, when both keys must work.
Test(admin_api, roles_and_key_rotation)
{
    served_api served;
    cr_assert_eq(served.send("PUT", "/plans/p", plan, {}, "viewer")->status, 403);
    cr_assert_eq(served.send("PUT", "/plans/p", plan, {}, "stranger")->status, 401);
    cr_assert_eq(served.send("GET", "/plans", "", {}, "stranger")->status, 401);
    cr_assert_eq(served.send("PUT", "/plans/p", plan, {}, "editor")->status, 200);
    cr_assert_eq(served.send("PUT", "/plans/p", plan, {}, "next")->status, 200);
    cr_assert_eq(served.send("GET", "/plans", "", {}, "viewer")->status, 200);
}

// Guards against an edit that overwrites another operator's edit, a retry that is applied twice, and a
// conflict response that does not show the changes.
Test(admin_api, preconditions_and_retries)
{
    served_api served;
    const httplib::Headers retry{{"Idempotency-Key", "one"}};
    cr_assert_eq(served.send("PUT", "/plans/p", plan, retry)->get_header_value("ETag"), "\"1\"");
    cr_assert_eq(served.send("PUT", "/plans/p", R"({"workspace": "x"})", {{"If-Match", "\"1\""}})->status,
                 200);
    const httplib::Result repeated = served.send("PUT", "/plans/p", plan, retry);
    cr_assert_eq(repeated->status, 200);
    cr_assert_eq(repeated->get_header_value("X-Samphireway-Repeated"), "true");
    const httplib::Result conflicting = served.send("PUT", "/plans/p", plan, {{"If-Match", "\"1\""}});
    cr_assert_eq(conflicting->status, 412);
    const Json::Value body = *core::parse_json(conflicting->body);
    cr_assert_eq(body["current"]["workspace"].asString(), "x");
    cr_assert_eq(body["changes"][0]["operator"].asString(), "ann");
    cr_assert_eq(served.send("PUT", "/plans/p", plan, {{"If-None-Match", "*"}})->status, 412);
    cr_assert_eq(served.send("PUT", "/plans/p", plan, {{"If-Match", "soon"}})->status, 400);
    cr_assert_eq(served.send("DELETE", "/plans/q", "", {})->status, 404);
}

// Guards against pages that omit or repeat entries, and against responses of unbounded size.
Test(admin_api, lists_in_pages)
{
    served_api served;
    for (int index = 0; index < 25; ++index) {
        served.send("PUT", "/plans/plan-" + std::to_string(index), plan, {});
    }
    std::string after;
    std::vector<std::string> ids;
    do {
        const httplib::Result page = served.send("GET", "/plans?limit=10&after=" + after, "", {});
        const Json::Value body = *core::parse_json(page->body);
        for (const std::string& id : body["plans"].getMemberNames()) {
            ids.push_back(id);
        }
        after = body["next"].asString();
    } while (!after.empty());
    cr_assert_eq(ids.size(), 25);
    cr_assert(std::is_sorted(ids.begin(), ids.end()));
    cr_assert_eq(served.send("GET", "/plans?limit=100000", "", {})->status, 400);
    cr_assert_eq(served.send("GET", "/upstreams", "", {})->status, 200);
    cr_assert_eq(served.send("GET", "/access", "", {})->status, 200);
}
