#include "processes/gateway_process.h"

#include <atomic>
#include <criterion/criterion.h>
#include <csignal>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace {

using namespace samphireway::testing;
using namespace std::chrono_literals;

// Bytes that an answer without end sends on one connection, so that a test cannot use up the machine's
// memory.
constexpr std::size_t endless_bytes = std::size_t{192} << 20U;
constexpr int node_memory_mb = 260;

void pass_bytes(int from, int to, bool& is_open)
{
    std::vector<char> bytes(65536);
    const ssize_t count = ::recv(from, bytes.data(), bytes.size(), 0);
    is_open = count > 0 && ::send(to, bytes.data(), static_cast<std::size_t>(count), MSG_NOSIGNAL) == count;
}

/** Answers each call in an unsound way, until it becomes sound and passes connections to a store. */
class unsound_store {
public:
    using misbehaviour = std::function<void(stage::channel& from, const std::atomic<bool>& is_over)>;

    explicit unsound_store(misbehaviour behave_to_use) : behave(std::move(behave_to_use))
    {
        std::signal(SIGPIPE, SIG_IGN);
        this->platform.set("config", "main", stage::small_configuration());
    }

    ~unsound_store()
    {
        this->is_sound = true;
        this->is_over = true;
        this->front.stop();
        this->platform.stop();
    }

    unsound_store(const unsound_store&) = delete;
    unsound_store& operator=(const unsound_store&) = delete;

    void become_sound()
    {
        this->is_sound = true;
    }

    int port() const
    {
        return this->front.port();
    }

    const temporary_directory directory;

private:
    void serve(stage::channel& from)
    {
        if (!this->is_sound) {
            this->behave(from, this->is_sound);
            return;
        }
        const auto to = stage::channel::connect(this->platform.port());
        bool is_open = true;
        while (is_open && !this->is_over) {
            std::vector<pollfd> ends{{.fd = from.fd, .events = POLLIN, .revents = 0},
                                     {.fd = to->fd, .events = POLLIN, .revents = 0}};
            ::poll(ends.data(), ends.size(), 100);
            if (ends[0].revents != 0) {
                pass_bytes(from.fd, to->fd, is_open);
            }
            if (is_open && ends[1].revents != 0) {
                pass_bytes(to->fd, from.fd, is_open);
            }
        }
    }

    const misbehaviour behave;
    std::atomic<bool> is_sound{false};
    std::atomic<bool> is_over{false};
    stage::record notes{this->directory.path + "/record.txt"};
    stage::store platform{this->notes};
    stage::server front{[this](stage::channel& from) {
        this->serve(from);
    }};
};

void await(const std::atomic<bool>& is_over)
{
    while (!is_over) {
        std::this_thread::sleep_for(20ms);
    }
}

void answer_each_call(stage::channel& from, const std::atomic<bool>& is_over, const std::string& answer)
{
    while (!is_over && stage::read_request_head(from)) {
        from.write(answer);
    }
}

void answer_without_end(stage::channel& from, const std::atomic<bool>& is_over, const std::string& begin,
                        const std::string& piece)
{
    stage::read_request_head(from);
    bool is_open = from.write(begin);
    for (std::size_t sent = 0; is_open && !is_over && sent < endless_bytes; sent += piece.size()) {
        is_open = from.write(piece);
    }
    await(is_over);
}

void check_start(const unsound_store::misbehaviour& behave)
{
    unsound_store store(behave);
    gateway_process node({.id = "node-1",
                          .store_port = store.port(),
                          .directory = store.directory.path,
                          .memory_mb = node_memory_mb});
    cr_expect_not(node.wait_ready(4s), "ready without a configuration");
    cr_assert(node.is_running(), "%s", node.describe_end().c_str());
    cr_expect_leq(node.peak_kilobytes(), node_memory_mb * 1024L, "%ld kB", node.peak_kilobytes());
    store.become_sound();
    cr_expect(node.wait_ready(10s), "%s", node.describe_end().c_str());
    cr_expect(node.is_running(), "%s", node.describe_end().c_str());
}

void check_stop(const unsound_store::misbehaviour& behave)
{
    unsound_store store(behave);
    gateway_process node({.id = "node-1", .store_port = store.port(), .directory = store.directory.path});
    cr_assert(node.wait_log("event=started", 5s));
    std::this_thread::sleep_for(500ms);
    node.signal(SIGTERM);
    cr_expect(node.wait_end(8s), "%s", node.describe_end().c_str());
    cr_expect(node.has_succeeded(), "%s", node.describe_end().c_str());
}

void stay_silent(stage::channel& /*from*/, const std::atomic<bool>& is_over)
{
    await(is_over);
}

void refuse(stage::channel& from, const std::atomic<bool>& is_over)
{
    answer_each_call(from, is_over, "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n");
}

void send_no_http(stage::channel& from, const std::atomic<bool>& is_over)
{
    answer_each_call(from, is_over, std::string("\x16\x03\x01\x00\x02\x02\x28\r\n\r\n", 11));
}

void cut_json(stage::channel& from, const std::atomic<bool>& is_over)
{
    const std::string body = R"({"revision": 101, "items": [{"metadata": {"name": "ma)";
    answer_each_call(from, is_over,
                     "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                         std::to_string(body.size()) + "\r\n\r\n" + body);
}

void send_body_without_end(stage::channel& from, const std::atomic<bool>& is_over)
{
    answer_without_end(from, is_over, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n[",
                       std::string(65536, ' '));
}

void send_fields_without_end(stage::channel& from, const std::atomic<bool>& is_over)
{
    answer_without_end(from, is_over, "HTTP/1.1 200 OK\r\n", "X-More: " + std::string(4096, 'x') + "\r\n");
}

} // namespace

// Guards against a node that ends, or is never ready, since the store did not answer when it started.
Test(unsound_store, silent_store_delays_the_start, .timeout = 60)
{
    check_start(stay_silent);
}

// Guards against the same by a store that refuses each call.
Test(unsound_store, refusing_store_delays_the_start, .timeout = 60)
{
    check_start(refuse);
}

// Guards against the same by a port that does not speak HTTP.
Test(unsound_store, bytes_that_are_no_http_delay_the_start, .timeout = 60)
{
    check_start(send_no_http);
}

// Guards against the same by a list that is cut.
Test(unsound_store, json_that_is_cut_delays_the_start, .timeout = 60)
{
    check_start(cut_json);
}

// Guards against a node that runs out of memory on an answer without end, or never gives it up.
Test(unsound_store, body_without_end_delays_the_start, .timeout = 60)
{
    check_start(send_body_without_end);
}

// Guards against the same by a head without end.
Test(unsound_store, fields_without_end_delay_the_start, .timeout = 60)
{
    check_start(send_fields_without_end);
}

// Guards against a node that cannot be stopped while its calls of the store do not end.
Test(unsound_store, node_stops_while_calls_do_not_end, .timeout = 60)
{
    for (const unsound_store::misbehaviour& behave : std::vector<unsound_store::misbehaviour>{
             stay_silent, send_body_without_end, send_fields_without_end}) {
        check_stop(behave);
    }
}
