#include "traffic/runner_fixture.h"

#include <criterion/criterion.h>

namespace {

using namespace samphireway;

/** A service that counts its runs and can cut off answers or refuse calls. */
struct counting_service {
    counting_service()
    {
        this->server.Post(".*", [this](const httplib::Request& request, httplib::Response& response) {
            if (this->refusals > 0) {
                --this->refusals;
                response.status = 503;
                return;
            }
            ++this->runs;
            if (this->lost_answers > 0) {
                --this->lost_answers;
                response.set_content_provider(
                    1000, "text/plain", [](std::size_t, std::size_t, httplib::DataSink&) { return false; });
                return;
            }
            response.set_content(request.target + " run " + std::to_string(this->runs), "text/plain");
        });
        this->port = this->server.bind_to_any_port("127.0.0.1");
        this->thread = std::thread([this] { this->server.listen_after_bind(); });
        while (!this->server.is_running()) {
            std::this_thread::yield();
        }
    }
    counting_service(const counting_service&) = delete;
    counting_service& operator=(const counting_service&) = delete;
    ~counting_service()
    {
        this->server.stop();
        this->thread.join();
    }

    std::atomic<int> runs = 0;
    std::atomic<int> lost_answers = 0;
    std::atomic<int> refusals = 0;
    int port = 0;
    httplib::Server server;
    std::thread thread;
};

/** Service handler of one node. Several of them on one store simulate several nodes. */
struct service_node {
    service_node(testing::fake_object_store& store, int port)
        : fixture({port}), records(store.hooks()),
          handler({.configuration = [this] { return this->snapshot; },
                   .attempts = fixture.services(),
                   .records = &records})
    {
        const configuration::plan shop{
            .id = "shop", .workspace = "shop", .key_hashes = {core::sha256_hex("secret")}};
        const auto plans = std::make_shared<configuration::plan_shard>(
            std::map<std::string, configuration::plan>{{"shop", shop}});
        const auto access = std::make_shared<configuration::access_shard>(
            std::map<std::string, std::vector<configuration::access_entry>>{{"shop", {{.model = "orders"}}}});
        auto upstreams = std::make_shared<configuration::upstream_list>();
        configuration::upstream upstream = fixture.upstreams[0];
        upstream.service = "orders";
        upstream.idempotent_prefixes = {"/check"};
        upstreams->upstreams[upstream.id] = upstream;
        this->snapshot = std::make_shared<configuration::snapshot>(configuration::snapshot{
            .plan_shards = {plans}, .access_shards = {access}, .upstreams = upstreams});
    }

    httplib::Response call(const std::string& key, const std::string& body = "wheel",
                           const std::string& path = "/services/orders/place")
    {
        httplib::Request request;
        request.method = "POST";
        request.path = path;
        request.target = path;
        request.body = body;
        request.set_header("Authorization", "Bearer shop.secret");
        if (!key.empty()) {
            request.set_header("Idempotency-Key", key);
        }
        httplib::Response response;
        this->handler.handle(request, response);
        return response;
    }

    testing::runner_fixture fixture;
    std::shared_ptr<const configuration::snapshot> snapshot;
    traffic::idempotency_store records;
    traffic::service_handler handler;
};

std::string verdict(const httplib::Response& response)
{
    return response.get_header_value("X-Samphireway-Verdict");
}

} // namespace

// Guards against a second run when a caller retries at another node.
Test(at_most_once, retry_at_another_node_gets_the_stored_answer)
{
    counting_service service;
    testing::fake_object_store store;
    service_node first(store, service.port);
    service_node second(store, service.port);
    const httplib::Response answer = first.call("key");
    const httplib::Response again = second.call("key");
    cr_assert_eq(answer.status, 200);
    cr_assert_eq(again.body, answer.body);
    cr_assert_eq(service.runs.load(), 1);
}

// Guards against a second run after a run whose answer was lost.
Test(at_most_once, run_with_a_lost_answer_is_not_repeated)
{
    counting_service service;
    testing::fake_object_store store;
    service_node first(store, service.port);
    service_node second(store, service.port);
    service.lost_answers = 1;
    cr_assert_eq(verdict(first.call("key")), "may_have_run");
    const httplib::Response again = second.call("key");
    cr_assert_eq(again.status, 409);
    cr_assert_eq(verdict(again), "may_have_run");
    cr_assert_eq(service.runs.load(), 1);
}

// Guards against running a call whose record was left pending by a node that stopped.
Test(at_most_once, pending_record_of_a_stopped_node_blocks_the_call)
{
    counting_service service;
    testing::fake_object_store store;
    const traffic::idempotency_store dead(store.hooks());
    const std::string identity = "POST\n/services/orders/place\nwheel";
    cr_assert(dead.claim({.workspace = "shop", .key = "key", .fingerprint = core::sha256_hex(identity)})
                  .has_value());
    service_node node(store, service.port);
    cr_assert_eq(verdict(node.call("key")), "may_have_run");
    cr_assert_eq(service.runs.load(), 0);
}

// Guards against running a call whose record could not be created.
Test(at_most_once, call_without_a_record_is_not_sent)
{
    counting_service service;
    testing::fake_object_store store;
    service_node node(store, service.port);
    store.is_down = true;
    const httplib::Response refused = node.call("key");
    cr_assert_eq(refused.status, 503);
    cr_assert_eq(verdict(refused), "not_run");
    cr_assert_eq(service.runs.load(), 0);
}

// Guards against refusing the own record, or running a call twice, when the write that creates the
// record is lost or its answer is lost.
Test(at_most_once, lost_create_is_recognized_and_retried)
{
    counting_service service;
    testing::fake_object_store store;
    service_node node(store, service.port);
    store.lose_answers = 1;
    cr_assert_eq(node.call("first").status, 200);
    store.lose_writes = 1;
    cr_assert_eq(node.call("second").status, 200);
    cr_assert_eq(node.call("first").status, 200);
    cr_assert_eq(service.runs.load(), 2);
}

// Guards against answering one call with the answer of another.
Test(at_most_once, key_is_valid_for_one_call_only)
{
    counting_service service;
    testing::fake_object_store store;
    service_node node(store, service.port);
    node.call("key");
    const httplib::Response other = node.call("key", "another wheel");
    cr_assert_eq(other.status, 409);
    cr_assert_eq(verdict(other), "not_run");
    cr_assert_eq(service.runs.load(), 1);
    cr_assert_eq(node.call("").status, 400);
}

// Guards against blocking later retries of a call that the service refused before running it.
Test(at_most_once, refused_call_may_run_later)
{
    counting_service service;
    testing::fake_object_store store;
    service_node node(store, service.port);
    service.refusals = 1;
    cr_assert_eq(verdict(node.call("key")), "not_run");
    cr_assert_eq(node.call("key").status, 200);
    cr_assert_eq(service.runs.load(), 1);
}

// Guards against calls to the object store for idempotent calls, and against not retrying them.
Test(at_most_once, idempotent_calls_need_no_record_and_are_retried)
{
    counting_service service;
    testing::fake_object_store store;
    service_node node(store, service.port);
    service.lost_answers = 1;
    const httplib::Response answer = node.call("", "wheel", "/services/orders/check");
    cr_assert_eq(answer.status, 200);
    cr_assert_eq(store.calls, 0);
}
