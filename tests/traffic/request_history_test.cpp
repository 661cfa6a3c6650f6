#include "support/request_history.h"
#include "traffic/chat_fixture.h"

#include <criterion/criterion.h>
#include <random>

namespace {

using namespace samphireway;
using testing::history_event;
using testing::scripted_engine;
using kind = testing::history_event::kind;

const std::map<std::string, testing::agreed_limits> agreed{{"engine", {.requests = 1, .tokens = 10}}};

bool rejects(const std::vector<history_event>& history)
{
    return !testing::check_history(history, agreed).empty();
}

history_event asked(bool is_idempotent = true)
{
    return {.what = kind::asked, .request = "r", .text = "whole", .is_idempotent = is_idempotent};
}

history_event started(const std::string& request = "r", std::int64_t tokens = 5)
{
    return {.what = kind::started, .request = request, .upstream = "engine", .tokens = tokens};
}

history_event ended(const std::string& request = "r")
{
    return {.what = kind::ended, .request = request, .upstream = "engine", .tokens = 5};
}

history_event answered(const std::string& text)
{
    return {.what = kind::answered, .request = "r", .text = text};
}

history_event refused(core::verdict verdict)
{
    return {.what = kind::refused, .request = "r", .verdict = verdict};
}

/** Thread-safe recorder of what callers and engines observe of requests. */
struct recorder {
    void add(history_event event)
    {
        const std::lock_guard lock(this->mutex);
        this->history.push_back(std::move(event));
    }

    std::mutex mutex;
    std::vector<history_event> history;
};

/**
    Returns the script of an engine that records its runs and at random answers completely, truncates
    its answer, skips a chunk or sends a chunk of another stream. Complete answers that resume repeat
    one chunk.
*/
scripted_engine::script faulty(recorder& record, const std::string& upstream, std::uint32_t seed)
{
    auto random = std::make_shared<std::mt19937>(seed);
    auto mutex = std::make_shared<std::mutex>();
    return [&record, upstream, random, mutex](const Json::Value& body, httplib::DataSink& sink) {
        const std::string stream = body["stream_id"].asString();
        const std::string request = body["messages"][0]["content"].asString();
        std::uint32_t fault = 0;
        {
            const std::lock_guard lock(*mutex);
            fault = (*random)() % 8;
        }
        record.add({.what = kind::started, .request = request, .upstream = upstream, .tokens = 1});
        const std::int64_t from = core::integer_member(body, "resume_from");
        bool is_whole = false;
        if (fault == 0) {
            is_whole = scripted_engine::write_chunk(sink, stream, from) && false;
        }
        else if (fault == 1) {
            is_whole = scripted_engine::write_chunk(sink, stream, from + 1);
        }
        else if (fault == 2) {
            is_whole = scripted_engine::write_chunk(sink, "another", from);
        }
        else {
            if (from > 0) {
                scripted_engine::write_chunk(sink, stream, from - 1);
            }
            is_whole = scripted_engine::answer_whole(body, sink, 12);
        }
        record.add({.what = kind::ended, .request = request, .upstream = upstream, .tokens = 1});
        return is_whole;
    };
}

} // namespace

// Guards against a history checker that accepts a bad history or rejects a good one.
Test(request_history, broken_histories_are_rejected)
{
    cr_assert(!rejects({asked(), started(), ended(), answered("whole")}));
    cr_assert(
        !rejects({asked(), refused(core::verdict::not_run), asked(), started(), ended(), answered("whole")}));
    cr_assert(!rejects({asked(false), started(), refused(core::verdict::may_have_run)}));
    cr_assert(rejects({asked(), started(), ended(), answered("who")}), "truncated");
    cr_assert(rejects({asked(), started(), ended(), answered("other")}), "another request's");
    cr_assert(rejects({asked(), answered("whole")}), "never run");
    cr_assert(rejects({answered("")}), "never asked");
    cr_assert(rejects({asked(), started(), refused(core::verdict::not_run)}), "ran before not_run");
    cr_assert(rejects({asked(), refused(core::verdict::not_run), started()}), "ran after not_run");
    cr_assert(rejects({asked(false), started(), ended(), started()}), "ran twice");
    cr_assert(rejects({asked(), started(), started("other")}), "requests above the agreed load");
    cr_assert(rejects({asked(), started("r", 11)}), "tokens above the agreed load");
}

// Guards against a wrong or truncated answer, or a wrong verdict, when engines truncate answers and
// skip, mix up or repeat chunks.
Test(request_history, answers_stay_correct_with_faulty_engines)
{
    recorder record;
    scripted_engine first(faulty(record, "engine-0", 1));
    scripted_engine second(faulty(record, "engine-1", 2));
    scripted_engine refusing(faulty(record, "engine-2", 3), 503);
    testing::chat_fixture node({first.port, second.port, refusing.port});
    constexpr int callers = 8;
    constexpr int requests = 25;
    std::vector<std::thread> threads;
    for (int caller = 0; caller < callers; ++caller) {
        threads.emplace_back([&node, &record, caller] {
            const std::unique_ptr<httplib::Client> client = node.client();
            for (int index = 0; index < requests; ++index) {
                const bool is_streaming = (caller + index) % 2 == 0;
                const std::string id = std::to_string(caller) + "-" + std::to_string(index);
                Json::Value body = *core::parse_json(testing::chat_fixture::body(is_streaming));
                body["messages"][0]["content"] = id;
                record.add({.what = kind::asked, .request = id, .text = scripted_engine::text_of(12)});
                const httplib::Result result =
                    client->Post("/v1/chat/completions", core::write_json(body), "application/json");
                if (!result) {
                    continue;
                }
                const auto [text, is_whole] = testing::chat_fixture::read_answer(result->body, is_streaming);
                if (result->status == 200 && is_whole) {
                    record.add({.what = kind::answered, .request = id, .text = text});
                }
                const bool is_unrun = result->get_header_value("X-Samphireway-Verdict") == "not_run";
                if (result->status != 200) {
                    record.add({.what = kind::refused,
                                .request = id,
                                .verdict = is_unrun ? core::verdict::not_run : core::verdict::may_have_run});
                }
            }
        });
    }
    for (std::thread& thread : threads) {
        thread.join();
    }
    node.wait_until_clean(static_cast<std::size_t>(callers) * requests);
    const std::lock_guard lock(record.mutex);
    const testing::agreed_limits limit{.requests = 100000, .tokens = 100000};
    const std::vector<std::string> broken = testing::check_history(
        record.history, {{"engine-0", limit}, {"engine-1", limit}, {"engine-2", limit}});
    cr_assert(broken.empty(), "%s", broken.empty() ? "" : broken.front().c_str());
    const auto answers =
        std::count_if(record.history.begin(), record.history.end(),
                      [](const history_event& event) { return event.what == kind::answered; });
    cr_assert_gt(answers, 0);
}

// Guards against exceeding the agreed load of an engine when many callers send at once, as after an
// outage.
Test(request_history, simultaneous_callers_stay_within_the_agreed_load)
{
    recorder record;
    const auto serve = [&record](const Json::Value& body, httplib::DataSink& sink) {
        const std::string request = body["messages"][0]["content"].asString();
        record.add({.what = kind::started, .request = request, .upstream = "engine-0", .tokens = 1});
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
        record.add({.what = kind::ended, .request = request, .upstream = "engine-0", .tokens = 1});
        return scripted_engine::answer_whole(body, sink, 3);
    };
    scripted_engine engine(serve);
    constexpr limits::amount agreed_requests = 3;
    testing::chat_fixture node({engine.port}, std::chrono::minutes(1), {}, nullptr, agreed_requests);
    constexpr int callers = 48;
    std::vector<std::thread> threads;
    for (int caller = 0; caller < callers; ++caller) {
        threads.emplace_back([&node, &record, caller] {
            const std::string id = std::to_string(caller);
            Json::Value body = *core::parse_json(testing::chat_fixture::body(true));
            body["messages"][0]["content"] = id;
            record.add({.what = kind::asked, .request = id, .text = scripted_engine::text_of(3)});
            // The library's listen backlog is short, so each caller connects before it sends its
            // request.
            const std::unique_ptr<httplib::Client> client = node.client();
            client->set_keep_alive(true);
            while (!client->Get("/")) {
                std::this_thread::yield();
            }
            const httplib::Result result =
                client->Post("/v1/chat/completions", core::write_json(body), "application/json");
            cr_assert(static_cast<bool>(result));
            const auto [text, is_whole] = testing::chat_fixture::read_answer(result->body, true);
            if (result->status == 200 && is_whole) {
                record.add({.what = kind::answered, .request = id, .text = text});
                return;
            }
            const bool is_unrun = result->get_header_value("X-Samphireway-Verdict") == "not_run";
            record.add({.what = kind::refused,
                        .request = id,
                        .verdict = is_unrun ? core::verdict::not_run : core::verdict::may_have_run});
        });
    }
    for (std::thread& thread : threads) {
        thread.join();
    }
    const std::vector<std::string> broken = testing::check_history(
        record.history, {{"engine-0", {.requests = agreed_requests, .tokens = 100000}}});
    cr_assert(broken.empty(), "%s", broken.empty() ? "" : broken.front().c_str());
}
