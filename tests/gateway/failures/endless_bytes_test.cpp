#include "gateway/gateway_messages.h"
#include "gateway/loopback_gateway.h"

#include <algorithm>
#include <atomic>
#include <criterion/criterion.h>
#include <thread>

#if defined(__SANITIZE_ADDRESS__)
// Declared here, since the compiler's packages lack sanitizer/allocator_interface.h.
// NOLINTNEXTLINE(bugprone-reserved-identifier)
extern "C" std::size_t __sanitizer_get_current_allocated_bytes();
#else
#include <malloc.h>
#endif

namespace {

using namespace samphireway;
using namespace testing;
using namespace std::chrono_literals;
using gateway::route_kind;

constexpr std::size_t part_size = 64U << 10U;
constexpr std::size_t response_memory_bytes = 4U << 20U;

/** Bytes of live allocations of the process; memory that a sanitizer keeps back after a release does not
 * count. */
std::size_t allocated_bytes()
{
#if defined(__SANITIZE_ADDRESS__)
    return __sanitizer_get_current_allocated_bytes();
#else
    return ::mallinfo2().uordblks;
#endif
}

/** Samples the allocations on a thread of its own while it exists. */
class memory_peak {
public:
    memory_peak()
        : start(allocated_bytes()), peak(this->start), sampler([this] {
              while (!this->is_stopping) {
                  this->peak = std::max(this->peak.load(), allocated_bytes());
                  std::this_thread::sleep_for(1ms);
              }
          })
    {
    }

    ~memory_peak()
    {
        this->is_stopping = true;
        this->sampler.join();
    }

    memory_peak(const memory_peak&) = delete;
    memory_peak& operator=(const memory_peak&) = delete;

    std::size_t growth() const
    {
        return this->peak - this->start;
    }

private:
    const std::size_t start;
    std::atomic<std::size_t> peak;
    std::atomic<bool> is_stopping = false;
    std::thread sampler;
};

struct outcome {
    std::string response;
    std::size_t grown = 0; ///< Largest growth of the process's allocations in bytes.
    int closed = 0;        ///< Connections that the gateway has closed.
};

/** Serves one request whose upstream sends `first` and then `repeated` until the connection is closed. */
outcome serve_endless(route_kind kind, const std::string& first, const std::string& repeated)
{
    loopback_gateway fixture;
    fixture.configure(plain_route(kind, 1));
    auto& upstream = fixture.add_upstream([&](const received_request&) {
        return upstream_reply{.parts = {first, repeated}, .is_endless = true, .pause = 0ms};
    });
    const memory_peak memory;
    outcome result;
    result.response = fixture.send(request("a1"));
    fixture.run_until([&] { return upstream.closed_connections() > 0; });
    result.grown = memory.growth();
    result.closed = upstream.closed_connections();
    return result;
}

/** Returns a request with a deadline that leaves time for large transfers under the sanitizers. */
std::string patient_request(const std::string& id)
{
    std::string patient = request(id);
    const std::string deadline = "Deadline-Ms: 4000";
    return patient.replace(patient.find(deadline), deadline.size(), "Deadline-Ms: 30000");
}

/** Responses of a gateway to requests that come at once, of which one has a sound upstream. */
struct crowd_outcome {
    std::string sound_response;
    std::vector<std::string> endless_responses;
    std::size_t grown = 0; ///< Largest growth of the process's allocations in bytes.
};

/** Serves 20 requests at once whose upstream sends `first` and then bytes without end, beside a sound one. */
crowd_outcome serve_crowd(const std::string& first, const std::string& repeated)
{
    constexpr int endless_requests = 20;
    loopback_gateway fixture(response_memory_bytes);
    gateway::route route = plain_route(route_kind::unsafe, 1);
    route.timeout = 30s;
    fixture.configure(route);
    fixture.add_upstream([&](const received_request& received) {
        if (received.header("X-Samphireway-Sw-Attempt-Id") == "sound") {
            return upstream_reply{.parts = {whole(std::string(100000, 's'))}};
        }
        return upstream_reply{.parts = {first, repeated}, .is_endless = true, .pause = 0ms};
    });
    std::vector<std::string> requests{patient_request("sound")};
    for (int number = 0; number < endless_requests; ++number) {
        requests.push_back(patient_request("a" + std::to_string(number)));
    }
    const memory_peak memory;
    std::vector<std::string> responses = fixture.send_together(requests);
    crowd_outcome result{.sound_response = std::move(responses.front()), .grown = memory.growth()};
    result.endless_responses.assign(responses.begin() + 1, responses.end());
    return result;
}

void check_crowd(const crowd_outcome& result, std::size_t allowed_growth)
{
    cr_assert(result.sound_response.ends_with(std::string(100000, 's')));
    for (const std::string& response : result.endless_responses) {
        cr_assert(has(response, "HTTP/1.1 502"), "%s", response.substr(0, 200).c_str());
        cr_assert(has(response, "may_have_run"));
    }
    cr_assert_lt(result.grown, allowed_growth);
}

void check_refused(const outcome& result)
{
    constexpr std::size_t allowed_growth = 8U << 20U;
    cr_assert(has(result.response, "HTTP/1.1 50"), "%s", result.response.substr(0, 200).c_str());
    cr_assert(has(result.response, "may_have_run"));
    cr_assert_geq(result.closed, 1);
    cr_assert_lt(result.grown, allowed_growth);
}

} // namespace

// Guards against memory and time without bound when an upstream in trouble sends bytes that are no response
// until its connection is closed: headers without end.
Test(endless_bytes, headers_without_end, .timeout = 60)
{
    const std::string line = "X-Filler: " + std::string(1000, 'x') + "\r\n";
    std::string many;
    while (many.size() < part_size) {
        many += line;
    }
    check_refused(serve_endless(route_kind::unsafe, "HTTP/1.1 200 OK\r\n", many));
}

// The same with one header line without end.
Test(endless_bytes, header_line_without_end, .timeout = 60)
{
    check_refused(
        serve_endless(route_kind::unsafe, "HTTP/1.1 200 OK\r\nX-Long: ", std::string(part_size, 'x')));
}

// The same with a chunk size line without end.
Test(endless_bytes, chunk_size_line_without_end, .timeout = 60)
{
    check_refused(serve_endless(route_kind::unsafe, chunked_head + "1;x=", std::string(part_size, 'x')));
}

// The same with interim responses without end.
Test(endless_bytes, interim_responses_without_end, .timeout = 60)
{
    const std::string interim = "HTTP/1.1 102 Processing\r\n\r\n";
    check_refused(serve_endless(route_kind::unsafe, interim, interim));
}

// The same with a response to another request whose body has no end.
Test(endless_bytes, discarded_body_without_end, .timeout = 60)
{
    check_refused(serve_endless(route_kind::unsafe,
                                "HTTP/1.1 200 OK\r\nX-Samphireway-Sw-Attempt-Id: other\r\n"
                                "Transfer-Encoding: chunked\r\n\r\n",
                                chunk(std::string(part_size, 'x'))));
}

// The same with an event without end: a stream that has not begun is refused.
Test(endless_bytes, event_without_end, .timeout = 60)
{
    check_refused(serve_endless(route_kind::stream, chunked_head + chunk("data: "),
                                chunk(std::string(part_size, 'x'))));
}

// Guards against a whole response that is lost, and against unbounded reading, when bytes without end follow
// it.
Test(endless_bytes, bytes_after_a_complete_response, .timeout = 60)
{
    const outcome result = serve_endless(route_kind::unsafe, whole("answer"), std::string(part_size, 'x'));
    cr_assert(result.response.ends_with("answer"), "%s", result.response.substr(0, 200).c_str());
    cr_assert_geq(result.closed, 1);
}

// Guards against an unsafe request that is sent again, or reported as not run, after its response was too
// large to be kept.
Test(endless_bytes, too_large_response_of_unsafe_request_is_not_repeated, .timeout = 60)
{
    loopback_gateway fixture;
    gateway::route route = plain_route(route_kind::unsafe, 3);
    route.timeout = 30s; // The transfer of 16 MiB takes seconds under the sanitizers.
    fixture.configure(route);
    const auto reply = [](const received_request&) {
        return upstream_reply{
            .parts = {chunked_head, chunk(std::string(1U << 20U, 'x'))}, .is_endless = true, .pause = 0ms};
    };
    auto& first = fixture.add_upstream(reply);
    auto& second = fixture.add_upstream(reply);
    const std::string response = fixture.send(patient_request("a1"));
    cr_assert(has(response, "HTTP/1.1 502"), "%s", response.substr(0, 200).c_str());
    cr_assert(has(response, "may_have_run"));
    cr_assert_eq(first.requests().size() + second.requests().size(), 1U);
}

// Guards against a node that runs out of memory, and ends the requests of all its callers, when an upstream
// answers many requests with failures without end.
Test(endless_bytes, failures_without_end_of_many_requests, .timeout = 120)
{
    const crowd_outcome result = serve_crowd("HTTP/1.1 500 Internal Server Error\r\n"
                                             "X-Samphireway-Sw-Attempt-Id: {id}\r\n"
                                             "X-Samphireway-Sw-Signature: s\r\n\r\n",
                                             std::string(part_size, '?'));
    constexpr std::size_t a_quarter_of_a_small_vm = std::size_t{40} << 20U;
    check_crowd(result, a_quarter_of_a_small_vm);
}

// The same with successes whose body has no end.
Test(endless_bytes, successes_without_end_of_many_requests, .timeout = 120)
{
    const crowd_outcome result = serve_crowd(chunked_head, chunk(std::string(part_size, 'x')));
    // A text that grows is copied, and each of the connections has a buffer.
    check_crowd(result, 4 * response_memory_bytes);
}

// Guards against a small sound response that is given up for the large one of an upstream in trouble.
Test(memory_account, largest_response_is_given_up_first)
{
    gateway::memory_account memory(1000);
    int given_up_small = 0;
    int given_up_large = 0;
    const int small = 0;
    const int large = 0;
    const int newest = 0;
    cr_assert(memory.keep(&small, 100, [&] { ++given_up_small; }));
    cr_assert(memory.keep(&large, 700, [&] { ++given_up_large; }));
    cr_assert(memory.keep(&newest, 300, [] {}));
    cr_assert_eq(given_up_large, 1);
    cr_assert_eq(given_up_small, 0);
    cr_assert_eq(memory.total(), 400);
    cr_assert_not(memory.keep(&newest, 950, [] {}), "the owner's own response is the largest");
    cr_assert_eq(memory.total(), 100);
    memory.release(&small);
    cr_assert_eq(memory.total(), 0);
}

// Guards against a request that an upstream may run and that is given up for one that is being read, and
// against ordinary requests that give way to a large one.
Test(memory_account, what_cannot_be_given_up_makes_the_largest_other_give_way)
{
    gateway::memory_account memory(1000);
    int given_up_small = 0;
    int given_up_large = 0;
    const int small = 0;
    const int large = 0;
    const int served = 0;
    cr_assert(memory.keep(&small, 100, [&] { ++given_up_small; }));
    cr_assert(memory.keep(&large, 400, [&] { ++given_up_large; }));
    cr_assert(memory.keep(&served, 900, {}));
    cr_assert_eq(given_up_large, 1);
    cr_assert_eq(given_up_small, 0);
    cr_assert_eq(memory.total(), 1000);
    cr_assert_not(memory.keep(&large, 200, [] {}), "nothing smaller gives way to it");
    cr_assert_eq(memory.total(), 1000);
    cr_assert(memory.keep(&served, 2000, {}), "what is served stays");
    cr_assert_eq(given_up_small, 1);
}
