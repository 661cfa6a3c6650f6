#include "traffic/runner_fixture.h"

#include <criterion/criterion.h>

namespace {

using namespace samphireway;
using testing::scripted_engine;

constexpr std::int64_t length = 6;

bool answer_completely(const Json::Value& body, httplib::DataSink& sink)
{
    return scripted_engine::answer_whole(body, sink, length);
}

/** Returns a port on which nothing listens any more. */
int closed_port()
{
    return scripted_engine(answer_completely).port;
}

/** Answers completely, except that the first call runs `fault` after two chunks. */
scripted_engine::script first_call_fails_with(const scripted_engine::script& fault)
{
    return [fault](const Json::Value& body, httplib::DataSink& sink) {
        if (body["call"].asInt() > 1) {
            return answer_completely(body, sink);
        }
        scripted_engine::write_chunk(sink, "stream", 0);
        scripted_engine::write_chunk(sink, "stream", 1);
        return fault(body, sink);
    };
}

void expect_resumed(const scripted_engine::script& fault,
                    std::chrono::milliseconds answer_timeout = std::chrono::seconds(10))
{
    scripted_engine engine(first_call_fails_with(fault));
    scripted_engine other(answer_completely);
    testing::runner_fixture fixture({engine.port, other.port});
    fixture.answer_timeout = answer_timeout;
    traffic::attempt_progress progress = fixture.progress();
    const traffic::engine_outcome outcome = fixture.run(progress);
    cr_assert(!outcome.failure.has_value());
    cr_assert_eq(fixture.text, scripted_engine::text_of(length));
    cr_assert_eq(outcome.usage.output, length);
    cr_assert_eq(engine.calls.load(), 2);
    cr_assert_eq(other.calls.load(), 0);
}

} // namespace

// Guards against losing a request to one failed upstream when another can serve it.
Test(attempt_runner, failed_upstream_is_retried_elsewhere)
{
    scripted_engine broken(answer_completely, 500);
    scripted_engine good(answer_completely);
    testing::runner_fixture fixture({broken.port, closed_port(), good.port});
    traffic::attempt_progress progress = fixture.progress();
    cr_assert(!fixture.run(progress).failure.has_value());
    cr_assert_eq(fixture.text, scripted_engine::text_of(length));
    cr_assert_eq(progress.attempts, 3);
    cr_assert_eq(fixture.reports[1], traffic::call_report::dead);
}

// Guards against `not_run` after an attempt that may have run, and against `may_have_run` when nothing
// was sent.
Test(attempt_runner, verdict_covers_all_attempts)
{
    scripted_engine broken(answer_completely, 500);
    scripted_engine refusing(answer_completely, 503);
    testing::runner_fixture mixed({broken.port, refusing.port});
    traffic::attempt_progress first = mixed.progress();
    cr_assert_eq(mixed.run(first).failure->run, core::verdict::may_have_run);
    testing::runner_fixture unsent({refusing.port, closed_port()});
    traffic::attempt_progress second = unsent.progress();
    cr_assert_eq(unsent.run(second).failure->run, core::verdict::not_run);
}

// Guards against a truncated or restarted answer when the connection is closed in the middle of it.
Test(attempt_runner, broken_connection_resumes_at_its_position)
{
    expect_resumed([](const Json::Value&, httplib::DataSink&) { return false; });
}

// Guards against relaying an answer with a missing chunk.
Test(attempt_runner, gap_is_a_failure_and_resumes)
{
    expect_resumed([](const Json::Value&, httplib::DataSink& sink) {
        scripted_engine::write_chunk(sink, "stream", 3);
        return scripted_engine::write_end(sink, "stream", length);
    });
}

// Guards against relaying text of another request.
Test(attempt_runner, chunk_of_another_stream_is_a_failure)
{
    expect_resumed([](const Json::Value&, httplib::DataSink& sink) {
        return scripted_engine::write_chunk(sink, "other", 2);
    });
}

// Guards against treating a stream that ended early, with or without `[DONE]`, as a complete answer.
Test(attempt_runner, early_end_is_a_failure_and_resumes)
{
    expect_resumed([](const Json::Value&, httplib::DataSink&) { return true; });
    expect_resumed([](const Json::Value&, httplib::DataSink& sink) {
        const std::string done = "data: [DONE]\n\n";
        return sink.write(done.data(), done.size());
    });
}

// Guards against giving up on an upstream whose old connection went silent while a fresh one works.
Test(attempt_runner, silent_connection_resumes_on_a_fresh_one)
{
    std::atomic<bool> is_over = false;
    expect_resumed(
        [&is_over](const Json::Value&, httplib::DataSink& sink) {
            while (!is_over && sink.is_writable()) {
                std::this_thread::sleep_for(std::chrono::milliseconds(10));
            }
            return false;
        },
        std::chrono::seconds(1));
}

// Guards against repeated text when an engine sends chunks again.
Test(attempt_runner, duplicate_chunks_are_dropped)
{
    scripted_engine engine([](const Json::Value& body, httplib::DataSink& sink) {
        scripted_engine::write_chunk(sink, "stream", 0);
        scripted_engine::write_chunk(sink, "stream", 0);
        scripted_engine::write_chunk(sink, "stream", 1);
        scripted_engine::write_chunk(sink, "stream", 0);
        Json::Value resumed_body = body;
        resumed_body["resume_from"] = 2;
        return answer_completely(resumed_body, sink);
    });
    testing::runner_fixture fixture({engine.port});
    traffic::attempt_progress progress = fixture.progress();
    cr_assert(!fixture.run(progress).failure.has_value());
    cr_assert_eq(fixture.text, scripted_engine::text_of(length));
}

// Guards against waiting forever for an engine that stops sending, and against continuing its answer at
// another engine.
Test(attempt_runner, stalled_engine_fails_the_answer)
{
    scripted_engine engine([](const Json::Value&, httplib::DataSink& sink) {
        scripted_engine::write_chunk(sink, "stream", 0);
        while (sink.is_writable()) {
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
        return false;
    });
    scripted_engine other(answer_completely);
    testing::runner_fixture fixture({engine.port, other.port});
    fixture.answer_timeout = std::chrono::milliseconds(500);
    traffic::attempt_progress progress = fixture.progress();
    const traffic::engine_outcome outcome = fixture.run(progress);
    cr_assert_eq(outcome.failure->run, core::verdict::may_have_run);
    cr_assert_eq(other.calls.load(), 0);
}

// Guards against retries that multiply the load during an outage.
Test(attempt_runner, retries_are_bounded_in_an_outage)
{
    scripted_engine first(answer_completely, 503);
    scripted_engine second(answer_completely, 503);
    testing::runner_fixture fixture({first.port, second.port});
    constexpr int requests = 100;
    for (int index = 0; index < requests; ++index) {
        traffic::attempt_progress progress = fixture.progress();
        cr_assert(fixture.run(progress).failure.has_value());
    }
    cr_assert_leq(first.calls + second.calls, requests + 20);
}

// Guards against sending a request on an expired lease, because the load may belong to another node.
Test(attempt_runner, expired_lease_prevents_the_send)
{
    scripted_engine engine(answer_completely);
    testing::runner_fixture fixture({engine.port});
    const traffic::engine_request request{
        .where = {.address = "127.0.0.1", .port = engine.port},
        .body = "{}",
        .stream_id = "stream",
        .may_send = [] { return false; },
        .first_byte_deadline = std::chrono::steady_clock::now() + std::chrono::hours(1),
        .gap_timeout = std::chrono::hours(1),
        .deadline = std::chrono::steady_clock::now() + std::chrono::hours(1)};
    const traffic::engine_outcome outcome = traffic::call_engine(
        fixture.connections, fixture.watch, request, [](const std::string&, std::int64_t) { return true; });
    cr_assert_eq(outcome.failure->run, core::verdict::not_run);
    cr_assert_eq(engine.calls.load(), 0);
}

// Guards against an engine that keeps generating after the reader has cancelled.
Test(attempt_runner, cancelled_stream_is_cancelled_at_the_engine)
{
    scripted_engine engine(answer_completely);
    testing::runner_fixture fixture({engine.port});
    traffic::attempt_progress progress = fixture.progress();
    const traffic::attempt_runner runner(fixture.services());
    const traffic::engine_outcome outcome =
        runner.run(progress, [](const std::string&, std::int64_t position) { return position < 2; });
    cr_assert_eq(outcome.failure->code, core::error_code::cancelled);
    cr_assert_eq(progress.position, 2);
    cr_assert_eq(engine.cancels.load(), 1);
}
