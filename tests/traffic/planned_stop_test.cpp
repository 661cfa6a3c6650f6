#include "traffic/chat_fixture.h"

#include <criterion/criterion.h>

namespace {

using namespace samphireway;
using testing::scripted_engine;

/** An engine that pauses each answer after the first chunk until `may_continue` is set. */
struct paused_engine {
    std::atomic<bool> may_continue = false;
    scripted_engine engine{[this](const Json::Value& body, httplib::DataSink& sink) {
        scripted_engine::write_chunk(sink, body["stream_id"].asString(), 0);
        while (!this->may_continue && sink.is_writable()) {
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
        Json::Value resumed_body = body;
        resumed_body["resume_from"] = 1;
        return this->may_continue && scripted_engine::answer_whole(resumed_body, sink, 4);
    }};
};

/** A node with a drain gate and one streaming caller whose answer has begun. */
struct stopping_node {
    explicit stopping_node(int port) : node({port}, std::chrono::minutes(1), {}, &this->requests)
    {
        this->caller = std::thread([this] {
            const httplib::Result result = this->node.client()->Post(
                "/v1/chat/completions", testing::chat_fixture::body(true), "application/json");
            this->answer = result ? result->body : "";
        });
        while (this->node.memory.peak() == 0) {
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
    }
    stopping_node(const stopping_node&) = delete;
    stopping_node& operator=(const stopping_node&) = delete;
    ~stopping_node()
    {
        if (this->caller.joinable()) {
            this->caller.join();
        }
    }

    traffic::drain_gate requests;
    testing::chat_fixture node;
    std::thread caller;
    std::string answer;
};

} // namespace

// Guards against a planned stop that truncates an answer, accepts new requests or refuses them with a
// wrong verdict.
Test(planned_stop, requests_in_flight_finish_and_new_ones_are_refused)
{
    paused_engine paused;
    stopping_node stopping(paused.engine.port);
    stopping.requests.refuse_new();
    const httplib::Result refused = stopping.node.client()->Post(
        "/v1/chat/completions", testing::chat_fixture::body(true), "application/json");
    cr_assert(static_cast<bool>(refused));
    cr_assert_eq(refused->status, 503);
    cr_assert_eq(refused->get_header_value("X-Samphireway-Verdict"), "not_run");
    cr_assert_eq(stopping.requests.active(), 1);
    paused.may_continue = true;
    cr_assert(stopping.requests.wait_until_idle(core::steady_time::max()));
    stopping.caller.join();
    const auto [text, is_whole] = testing::chat_fixture::read_answer(stopping.answer, true);
    cr_assert(is_whole);
    cr_assert_eq(text, scripted_engine::text_of(4));
}

// Guards against an interrupted stop that hangs, or that ends an answer as if it were complete.
Test(planned_stop, interrupted_answer_reports_draining)
{
    paused_engine paused;
    stopping_node stopping(paused.engine.port);
    stopping.requests.refuse_new();
    stopping.node.fixture.watch.interrupt_all();
    cr_assert(stopping.requests.wait_until_idle(core::steady_time::max()));
    stopping.caller.join();
    cr_assert(!testing::chat_fixture::read_answer(stopping.answer, true).second);
    cr_assert_neq(stopping.answer.find("\"code\":\"draining\""), std::string::npos);
    cr_assert_neq(stopping.answer.find("\"verdict\":\"may_have_run\""), std::string::npos);
    stopping.node.wait_until_clean(1);
}
