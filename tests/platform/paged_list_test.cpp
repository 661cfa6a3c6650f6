#include "gateway/control/upstream_tracker.h"
#include "platform/store/object_api.h"
#include "platform/wire/stored_objects.h"

#include <atomic>
#include <criterion/criterion.h>
#include <functional>
#include <httplib.h>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace {

using namespace samphireway;

/** A JSON string that stands for the bytes of a name, without any check of their encoding. */
std::string entry(const std::string& name)
{
    std::string text;
    for (const char character : name) {
        text +=
            character == '"' || character == '\\' ? std::string("\\") + character : std::string(1, character);
    }
    return R"({"metadata":{"name":")" + text + R"(","revision":5},"spec":{"service":"s","zone":"z",)" +
           R"("version":"v1","slots":4,"state":"ready","address":"10.0.0.1:80"}})";
}

std::string page(const std::string& items, bool has_more)
{
    return R"({"items":[)" + items + R"(],"at":9,"hasMore":)" + (has_more ? "true" : "false") + "}";
}

/** An object API that answers each call with what a function makes of the decoded `afterRev`; 400 for
 * nothing. */
class paging_api {
public:
    explicit paging_api(std::function<std::string(const std::string& after)> answer_to_use)
        : answer(std::move(answer_to_use))
    {
        this->server.set_keep_alive_max_count(1000);
        const auto on_any = [this](const httplib::Request& request, httplib::Response& response) {
            const std::lock_guard lock(this->mutex);
            this->targets.push_back(request.method + " " + request.path);
            const std::string content = this->answer(request.get_param_value("afterRev"));
            if (this->generation > 0) {
                response.set_header("Store-Era", std::to_string(this->generation));
            }
            response.status = content.empty() ? 400 : 200;
            response.set_content(content, "application/json");
        };
        this->server.Get(".*", on_any);
        this->server.Put(".*", on_any);
        this->server.Delete(".*", on_any);
        const int port = this->server.bind_to_any_port("127.0.0.1");
        this->thread = std::thread([this] { this->server.listen_after_bind(); });
        this->client = std::make_unique<adapter::object_api>(
            adapter::object_api_options{.address = "127.0.0.1", .port = port});
    }
    ~paging_api()
    {
        this->client.reset(); // The server waits for its open connections.
        this->server.stop();
        this->thread.join();
    }
    paging_api(const paging_api&) = delete;
    paging_api& operator=(const paging_api&) = delete;

    platform::object_store store()
    {
        return this->client->make_store();
    }

    /** Returns methods and decoded paths of the calls. */
    std::vector<std::string> calls()
    {
        const std::lock_guard lock(this->mutex);
        return this->targets;
    }

    std::atomic<int> generation{0}; ///< Named in the answers unless it is zero.

private:
    const std::function<std::string(const std::string& after)> answer;
    httplib::Server server;
    std::thread thread;
    std::mutex mutex;
    std::vector<std::string> targets;
    std::unique_ptr<adapter::object_api> client;
};

/** Serves one entry a page, in the order of the names' bytes. */
std::string one_entry_a_page(std::vector<std::string> names, const std::string& after)
{
    std::sort(names.begin(), names.end());
    const auto next = std::upper_bound(names.begin(), names.end(), after);
    return next == names.end() ? page("", false) : page(entry(*next), next + 1 != names.end());
}

const std::vector<std::string> odd_names{
    "m&x",     "m#x", "m%41x", "m%",  "m+x",       "m x",       "m/x",           "m?x",
    "m=x&a=b", "m\"", "m\\",   "m;x", "m\xff\xfe", "m\xc3\x28", "m\xe2\x82\xac", std::string(1000, 'm')};

} // namespace

// Guards against a name that ends a list, skips entries or is refused when the next page is asked for.
Test(paged_list, goes_on_after_any_name)
{
    for (const std::string& odd : odd_names) {
        paging_api api([&odd](const std::string& after) {
            return one_entry_a_page({"a", odd, "z1", "z2"}, after);
        });
        const auto batch = api.store().list("servers/");
        cr_expect(batch.has_value(), "%.20s", odd.c_str());
        cr_expect_eq(batch ? batch->changed.size() : 0, 4U, "%.20s", odd.c_str());
    }
}

// Guards against calls for an object that reach another one, since its name ends the path or is decoded.
Test(paged_list, object_is_called_under_its_own_name)
{
    for (const std::string& odd : odd_names) {
        if (odd.find('/') != std::string::npos) {
            continue; // The adapter replaces slashes in the names that the node writes.
        }
        paging_api api([](const std::string&) { return entry("any"); });
        const platform::object_store store = api.store();
        const std::string key = "rollouts/" + odd;
        store.get(key);
        store.put(key, Json::Value(1), 4);
        store.put_status(key, Json::Value(1), 4);
        store.remove(key, 4);
        const std::string path = "/objects/" + key;
        const std::vector<std::string> expected{"GET " + path, "PUT " + path, "PUT " + path + "/status",
                                                "DELETE " + path};
        cr_expect(api.calls() == expected, "%.20s", odd.c_str());
    }
}

// Guards against a list without progress that counts as whole, so that what was not read counts as gone.
Test(paged_list, list_without_progress_is_partial)
{
    const std::string a = entry("a");
    const std::string nameless = R"({"metadata":{"name":7},"spec":{}}, "text", {"metadata":{"name":""}})";
    const std::vector<std::function<std::string(const std::string&)>> stores{
        [&](const std::string& after) { return after.empty() ? page(a, true) : page(nameless, true); },
        [&](const std::string& after) { return after.empty() ? page(a, true) : page("", true); },
        [&](const std::string&) { return page(a, true); },
        // The two names follow each other for ever.
        [&](const std::string& after) { return page(after == "a" ? entry("b") : a, true); },
    };
    for (const auto& answer : stores) {
        paging_api api(answer);
        const auto batch = api.store().list("servers/");
        cr_assert(batch.has_value());
        cr_expect(batch->is_partial);
        cr_expect_geq(batch->changed.size(), 1U);
        cr_expect_leq(api.calls().size(), 3U);
    }
    paging_api api([&](const std::string&) { return page(nameless, true); });
    cr_expect(api.store().list("servers/")->is_partial);
}

// Guards against a later page that is refused for good and keeps a node from the entries before it.
Test(paged_list, refused_page_leaves_a_partial_list)
{
    paging_api api([](const std::string& after) { return after.empty() ? page(entry("a"), true) : ""; });
    const auto batch = api.store().list("servers/");
    cr_assert(batch.has_value());
    cr_expect(batch->is_partial);
    cr_expect_eq(batch->changed.size(), 1U);
}

// Guards against a change between two pages that neither the list nor the watch after it shows.
Test(paged_list, watch_starts_at_the_first_page)
{
    int at = 20;
    paging_api api([&at](const std::string& after) {
        const std::string text = after.empty() ? page(entry("b"), true) : page(entry("c"), false);
        return std::string(text).replace(text.find("\"at\":9"), 6, "\"at\":" + std::to_string(at++));
    });
    const auto batch = api.store().list("servers/");
    cr_expect_eq(batch->revision, 20U);
    cr_expect_eq(batch->changed.size(), 2U);
    cr_expect_not(batch->is_partial);
}

// Guards against a list whose pages come from before and after a restore of the store, and so lacks what lies
// between.
Test(paged_list, pages_of_two_generations_are_not_joined)
{
    paging_api* store = nullptr;
    paging_api api([&store](const std::string& after) {
        store->generation = after.empty() ? 1 : 2;
        return after.empty() ? page(entry("a"), true) : page(entry("b"), false);
    });
    store = &api;
    cr_expect_not(api.store().list("servers/").has_value());
}

// Guards against revisions that are compared across a restore, since the generation is not read.
Test(paged_list, generation_of_the_answers_is_read)
{
    paging_api api([](const std::string&) { return page(entry("a"), false); });
    const platform::object_store store = api.store();
    cr_expect_eq(store.list("servers/")->generation, 0U);
    api.generation = 7;
    cr_expect_eq(store.list("servers/")->generation, 7U);
    cr_expect_eq(store.watch("servers/", 5, std::chrono::steady_clock::now())->generation, 7U);
    api.generation = 0;
    cr_expect_eq(store.list("servers/")->generation, 7U,
                 "an answer that names none is of the last one named");
}
