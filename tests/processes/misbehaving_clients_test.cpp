#include "processes/gateway_process.h"

#include <criterion/criterion.h>
#include <memory>
#include <sys/socket.h>
#include <sys/time.h>
#include <thread>
#include <vector>

namespace {

using namespace samphireway::testing;
using namespace std::chrono_literals;

constexpr int memory_mb = 64;
constexpr int descriptors = 256;
// Connections of the node itself and what is left of those of a crowd.
constexpr std::size_t descriptors_afterwards = 64;

const std::string slow_answer = "/status/slow";
const std::string large_answer = "/status/large";
constexpr std::size_t large_answer_bytes = std::size_t{6} << 20U;

/** A gateway process with one upstream and lowered limits. */
class attacked_node {
public:
    explicit attacked_node(int memory_mb_to_use = memory_mb, int descriptors_to_use = descriptors)
        : memory_limit_mb(memory_mb_to_use), notes(this->directory.path + "/record.txt"), store(this->notes),
          upstream(this->store, this->notes, {.id = "i-desk-1", .service = "desk", .slots = 1000},
                   [](stage::channel& to, stage::request& received) {
                       if (received.target == slow_answer) {
                           std::this_thread::sleep_for(3s);
                       }
                       const std::size_t size = received.target == large_answer ? large_answer_bytes : 4;
                       return to.write(stage::head_of_success(received, "text/plain") + "Content-Length: " +
                                       std::to_string(size) + "\r\n\r\n" + std::string(size, 'o'));
                   })
    {
        Json::Value configuration = stage::small_configuration();
        configuration["limits"]["headerBytes"] = 4096;
        this->store.set("config", "main", configuration);
        this->node = std::make_unique<gateway_process>(
            gateway_process_options{.id = "node-1",
                                    .store_port = this->store.port(),
                                    .directory = this->directory.path,
                                    .memory_mb = memory_mb_to_use,
                                    .maximum_descriptors = descriptors_to_use});
        cr_assert(this->node->wait_ready(15s), "%s", this->node->describe_end().c_str());
        cr_assert_eq(this->ask(), 200, "before the crowd");
    }

    ~attacked_node()
    {
        this->node.reset();
        this->upstream.stop();
        this->store.stop();
    }

    attacked_node(const attacked_node&) = delete;
    attacked_node& operator=(const attacked_node&) = delete;

    /** Sends an ordinary request and returns the status of its response; 0 if there is none. */
    int ask()
    {
        try {
            const auto to = stage::channel::connect(this->node->requester_port());
            to->write(stage::request_text({.path = "/status/1", .method = "GET", .attempt_id = "a1"}));
            return to->wait_readable(30s) ? stage::read_response(*to).status : 0;
        }
        catch (const std::exception&) {
            return 0;
        }
    }

    /** Checks what must hold during and after whatever a crowd has sent. */
    void check()
    {
        cr_assert(this->node->is_running(), "%s", this->node->describe_end().c_str());
        cr_expect_eq(this->ask(), 200, "an ordinary request is not answered");
        const long peak = this->node->peak_kilobytes();
        cr_expect_gt(peak, 0, "the peak of memory cannot be read");
        cr_expect_leq(peak, this->memory_limit_mb * 1024L, "%ld kB", peak);
    }

    void check_descriptors()
    {
        cr_expect_leq(this->node->open_descriptors(), descriptors_afterwards);
    }

    const int memory_limit_mb;
    const temporary_directory directory;
    stage::record notes;
    stage::store store;
    stage::engine upstream;
    std::unique_ptr<gateway_process> node;
};

/** Connects and writes a text, then another one again and again until enough is sent or the connection fails.
 */
std::unique_ptr<stage::channel> flood(int port, const std::string& begin, const std::string& piece,
                                      std::size_t bytes)
{
    auto to = stage::channel::connect(port);
    const timeval limit{.tv_sec = 5, .tv_usec = 0};
    ::setsockopt(to->fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    bool is_open = to->write(begin);
    for (std::size_t sent = 0; is_open && sent < bytes; sent += piece.size()) {
        is_open = to->write(piece);
    }
    return to;
}

std::vector<std::unique_ptr<stage::channel>> flood_together(std::size_t clients, int port,
                                                            const std::string& begin,
                                                            const std::string& piece, std::size_t bytes)
{
    std::vector<std::unique_ptr<stage::channel>> connections(clients);
    std::vector<std::thread> threads;
    for (auto& connection : connections) {
        threads.emplace_back([&] { connection = flood(port, begin, piece, bytes); });
    }
    for (std::thread& thread : threads) {
        thread.join();
    }
    return connections;
}

const std::string chunked_upload = "POST /order/1 HTTP/1.1\r\nHost: desk.example\r\n"
                                   "X-Samphireway-Sw-Attempt-Id: b1\r\nX-Samphireway-Sw-Deadline-Ms: 4000\r\n"
                                   "Authorization: Bearer key-one\r\nTransfer-Encoding: chunked\r\n\r\n";
constexpr std::size_t crowd = 4;
constexpr std::size_t bytes_per_client = std::size_t{32} << 20U;
const std::string filler(16384, 'x');

} // namespace

// Guards against a node that runs out of memory on trailers without end behind a chunked body.
Test(misbehaving_clients, trailers_without_end, .timeout = 120)
{
    attacked_node target;
    flood_together(crowd, target.node->requester_port(), chunked_upload + "4\r\nwood\r\n0\r\n",
                   "X-More: " + filler + "\r\n", bytes_per_client);
    target.check();
    target.check_descriptors();
}

// Guards against the same by a chunk extension.
Test(misbehaving_clients, chunk_extension_without_end, .timeout = 120)
{
    attacked_node target;
    flood_together(crowd, target.node->requester_port(), chunked_upload + "4;a=", filler, bytes_per_client);
    target.check();
    target.check_descriptors();
}

// Guards against the same on the port for other nodes.
Test(misbehaving_clients, trailers_without_end_at_the_internal_port, .timeout = 120)
{
    attacked_node target;
    flood_together(crowd, target.node->internal_port(), chunked_upload + "4\r\nwood\r\n0\r\n",
                   "X-More: " + filler + "\r\n", bytes_per_client);
    target.check();
    target.check_descriptors();
}

// Guards against many unfinished bodies, each inside the limits, that fill a node's memory together.
Test(misbehaving_clients, unfinished_bodies_of_a_crowd, .timeout = 120)
{
    constexpr std::size_t clients = 64;
    constexpr std::size_t body_bytes = std::size_t{2} << 20U;
    attacked_node target;
    std::string begin = chunked_upload;
    const std::string chunked = "Transfer-Encoding: chunked";
    begin.replace(begin.find(chunked), chunked.size(), "Content-Length: 4194304");
    const auto held = flood_together(clients, target.node->requester_port(), begin, filler, body_bytes);
    std::this_thread::sleep_for(2s); // The kernel holds some of the bodies for the node.
    target.check();
}

// Guards against a crowd that holds all descriptors of a node without sending a request.
Test(misbehaving_clients, connections_without_a_request, .timeout = 120)
{
    constexpr std::size_t clients = 300;
    attacked_node target;
    const auto held = flood_together(clients, target.node->requester_port(), "", "", 0);
    target.check();
}

// Guards against complete answers to clients that never read, which fill a node's memory together.
Test(misbehaving_clients, answers_that_nobody_reads, .timeout = 120)
{
    constexpr std::size_t clients = 24;
    attacked_node target;
    std::vector<std::unique_ptr<stage::channel>> held;
    for (std::size_t index = 0; index < clients; ++index) {
        constexpr int small_receive_buffer = 8192;
        held.push_back(stage::channel::connect(target.node->requester_port(), small_receive_buffer));
        held.back()->write(stage::request_text(
            {.path = large_answer, .method = "GET", .attempt_id = "c" + std::to_string(index)}));
        held.back()->wait_readable(5s); // The answer has begun, so that the node has all of it.
    }
    target.check();
}

// Guards against requests that are sent ahead on many connections and fill a node's memory together.
Test(misbehaving_clients, requests_sent_ahead_of_answers, .timeout = 120)
{
    constexpr std::size_t clients = 400;
    constexpr int small_memory_mb = 32;
    constexpr int many_descriptors = 1500;
    constexpr std::size_t bytes_ahead = std::size_t{60} << 10U;
    attacked_node target(small_memory_mb, many_descriptors);
    const std::string first = stage::request_text({.path = slow_answer, .method = "GET", .attempt_id = "d1"});
    const std::string ahead = stage::request_text({.path = "/status/1", .method = "GET", .attempt_id = "d2"});
    const auto held = flood_together(clients, target.node->requester_port(), first, ahead, bytes_ahead);
    std::this_thread::sleep_for(2s); // The kernel holds some of the requests for the node.
    target.check();
}
