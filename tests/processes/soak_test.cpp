#include "processes/small_deployment.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <criterion/criterion.h>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <iterator>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <sys/socket.h>
#include <sys/time.h>
#include <thread>
#include <vector>

namespace {

using namespace samphireway::testing;
using namespace std::chrono_literals;
using stage::steady;
using std::chrono::milliseconds;

constexpr milliseconds default_event_time{20000};
constexpr milliseconds end_time{8000};      // The grace of the settings.
constexpr milliseconds service_time{12000}; // After the last event.
constexpr milliseconds step{2};
constexpr int requests_afterwards = 20;

unsigned read_seed()
{
    const char* const seed = std::getenv("SAMPHIREWAY_TEST_SEED");
    return seed == nullptr ? 1 : static_cast<unsigned>(std::atoi(seed));
}

milliseconds read_event_time()
{
    const char* const seconds = std::getenv("SAMPHIREWAY_TEST_SECONDS");
    return seconds == nullptr ? default_event_time : milliseconds(1000 * std::atoi(seconds));
}

/** Returns the body of the only right answer to a request. */
std::string expected_body(const std::string& id)
{
    constexpr std::size_t largest = 40000;
    const std::size_t size = std::hash<std::string>{}(id) % largest + id.size();
    std::string body;
    while (body.size() < size) {
        body += id + ";";
    }
    return body;
}

/** Answers each request with its own body, some with a length and some in chunks. */
bool serve(stage::channel& to, stage::request& received)
{
    constexpr std::size_t piece = 4096;
    const std::string body = expected_body(received.header("X-Samphireway-Sw-Attempt-Id"));
    const std::string head = stage::head_of_success(received, "text/plain");
    if (body.size() % 2 == 0) {
        return to.write(head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }
    bool is_open = to.write(head + "Transfer-Encoding: chunked\r\n\r\n");
    for (std::size_t at = 0; is_open && at < body.size(); at += piece) {
        is_open = to.write(stage::chunk(body.substr(at, piece)));
        std::this_thread::sleep_for(1ms);
    }
    return is_open && to.write(stage::chunk(""));
}

std::string status_request(const std::string& id)
{
    return stage::request_text({.path = "/status/1", .method = "GET", .attempt_id = id, .deadline_ms = 3000});
}

/** A client that keeps using its connections until the node closes them. */
class soak_client {
public:
    soak_client(std::string name_to_use, unsigned seed, std::array<int, 2> ports_to_use)
        : name(std::move(name_to_use)), ports(ports_to_use), random(seed), thread([this] { this->run(); })
    {
    }

    ~soak_client()
    {
        this->stop();
    }

    soak_client(const soak_client&) = delete;
    soak_client& operator=(const soak_client&) = delete;

    void stop()
    {
        this->is_over = true;
        if (this->thread.joinable()) {
            this->thread.join();
        }
    }

    /** Returns the ids of answers that seemed complete and were not right. */
    const std::vector<std::string>& wrong_answers() const
    {
        return this->wrong;
    }

    int served_count() const
    {
        return this->served;
    }

private:
    void run()
    {
        for (int number = 1; !this->is_over; ++number) {
            const std::size_t slot = this->random() % this->connections.size();
            try {
                if (!this->ask(this->connections.at(slot), this->ports.at(slot % 2),
                               this->name + std::to_string(number))) {
                    this->connections.at(slot).reset();
                }
            }
            catch (const std::exception&) {
                this->connections.at(slot).reset(); // The node does not listen at the moment.
            }
            std::this_thread::sleep_for(milliseconds(this->random() % 10));
        }
    }

    /** Sends a request. Returns whether the connection can be used again. */
    bool ask(std::unique_ptr<stage::channel>& to, int port, const std::string& id)
    {
        if (to == nullptr) {
            to = stage::channel::connect(port);
            const timeval limit{.tv_sec = 5, .tv_usec = 0};
            ::setsockopt(to->fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
        }
        if (!to->write(status_request(id))) {
            return false;
        }
        const stage::response received = stage::read_response(*to);
        if (received.status == 200 && received.is_complete) {
            ++this->served;
            if (received.body != expected_body(id)) {
                this->wrong.push_back(id);
            }
        }
        return received.is_complete;
    }

    const std::string name;
    const std::array<int, 2> ports;
    std::mt19937 random;
    std::array<std::unique_ptr<stage::channel>, 6> connections;
    std::vector<std::string> wrong;
    int served = 0;
    std::atomic<bool> is_over{false};
    std::thread thread;
};

/** A node with the ends that the soak has caused. */
class soak_node {
public:
    explicit soak_node(gateway_process_options options) : process(std::move(options))
    {
        std::ifstream written(this->process.settings_path());
        this->settings.assign(std::istreambuf_iterator<char>(written), {});
    }

    void hang_up()
    {
        if (this->can_signal()) {
            this->process.signal(SIGHUP);
        }
    }

    void stop()
    {
        if (!this->can_signal()) {
            return;
        }
        this->process.signal(SIGTERM);
        if (!this->is_stopping) {
            this->is_stopping = true;
            this->end_by = steady::now() + end_time;
        }
    }

    void kill()
    {
        if (this->process.is_running()) {
            this->is_killed = true;
            this->process.signal(SIGKILL);
        }
    }

    /** Writes a part of the settings, from 0 to 1. */
    void write_settings(double part) const
    {
        const double bytes = part * static_cast<double>(this->settings.size());
        std::ofstream(this->process.settings_path())
            << this->settings.substr(0, static_cast<std::size_t>(bytes));
    }

    /** Checks that the process runs or has ended as it should. Returns what is wrong. */
    std::string check()
    {
        if (this->process.is_running()) {
            const bool is_late = this->is_stopping && !this->is_killed && steady::now() > this->end_by;
            return is_late ? "still runs after its grace; " + this->process.describe_end() : "";
        }
        const bool is_right = (this->is_killed && this->process.was_killed()) ||
                              (this->is_stopping && this->process.has_succeeded());
        return is_right ? "" : this->process.describe_end();
    }

    bool is_running()
    {
        return this->process.is_running();
    }

    void start_again()
    {
        if (!this->process.is_running()) {
            this->is_stopping = false;
            this->is_killed = false;
            this->process.start();
        }
    }

    bool is_ending() const
    {
        return this->is_stopping || this->is_killed;
    }

    gateway_process process;

private:
    /** A signal while the process is loaded ends it, which a node cannot prevent. */
    bool can_signal()
    {
        return this->process.is_running() && this->process.handles_signals();
    }

    std::string settings;
    bool is_stopping = false;
    bool is_killed = false;
    steady::time_point end_by;
};

/** Plays a series of events that a seed chooses, which overlap. */
class soak {
public:
    explicit soak(unsigned seed) : random(seed)
    {
        this->first_engine.emplace(this->deployment.store, this->deployment.notes,
                                   stage::engine_options{.id = "i-desk-1", .service = "desk"}, serve);
        this->second_engine.emplace(this->deployment.store, this->deployment.notes,
                                    stage::engine_options{.id = "z-desk-2", .service = "desk"}, serve);
        for (const char* const id : {"node-1", "node-2"}) {
            this->nodes.push_back(std::make_unique<soak_node>(this->deployment.node_options(id)));
        }
    }

    ~soak()
    {
        this->nodes.clear();
        this->first_engine->stop();
        this->second_engine->stop();
    }

    soak(const soak&) = delete;
    soak& operator=(const soak&) = delete;

    std::array<int, 2> ports() const
    {
        return {this->nodes[0]->process.requester_port(), this->nodes[1]->process.requester_port()};
    }

    /** Plays the events until every process that they ended has been started again. Returns what is wrong. */
    std::string play()
    {
        const auto last_event = steady::now() + read_event_time();
        auto next_event = steady::now();
        while (steady::now() < last_event || !this->due.empty() || this->is_ending()) {
            if (steady::now() >= next_event && steady::now() < last_event) {
                this->add_event();
                next_event = steady::now() + this->pick(50, 500);
            }
            this->run_due();
            for (const std::unique_ptr<soak_node>& node : this->nodes) {
                std::string wrong = node->check();
                if (!wrong.empty()) {
                    return wrong;
                }
                if (!node->is_running() && !this->is_restarting[node.get()]) {
                    this->is_restarting[node.get()] = true;
                    this->after(this->pick(0, 800), [this, &node] {
                        this->is_restarting[node.get()] = false;
                        node->start_again();
                    });
                }
            }
            std::this_thread::sleep_for(step);
        }
        return "";
    }

    std::vector<std::unique_ptr<soak_node>> nodes;

private:
    milliseconds pick(int least, int most)
    {
        return milliseconds(std::uniform_int_distribution<int>(least, most)(this->random));
    }

    void after(milliseconds delay, std::function<void()> action)
    {
        this->due.emplace(steady::now() + delay, std::move(action));
    }

    void run_due()
    {
        while (!this->due.empty() && this->due.begin()->first <= steady::now()) {
            const std::function<void()> action = std::move(this->due.begin()->second);
            this->due.erase(this->due.begin());
            action();
        }
    }

    bool is_ending() const
    {
        return std::any_of(this->nodes.begin(), this->nodes.end(),
                           [](const std::unique_ptr<soak_node>& node) { return node->is_ending(); });
    }

    void add_event()
    {
        soak_node& node = *this->nodes[this->random() % this->nodes.size()];
        switch (this->random() % 9) {
        case 0:
        case 1:
            for (unsigned count = 1 + this->random() % 20; count > 0; --count) {
                this->after(this->pick(0, 200), [&node] { node.hang_up(); });
            }
            break;
        case 2:
        case 3:
            this->replace_settings(node);
            break;
        case 4:
        case 5:
            node.stop();
            for (unsigned count = this->random() % 3; count > 0; --count) {
                this->after(this->pick(0, 300), [&node] { node.hang_up(); });
            }
            break;
        case 6:
            node.kill();
            break;
        case 7:
            this->deployment.store.set("config", "main", stage::small_configuration(++this->version));
            break;
        default:
            this->add_foreign_entry();
        }
    }

    void replace_settings(soak_node& node)
    {
        node.write_settings(std::uniform_real_distribution<double>(0, 1)(this->random));
        const milliseconds whole_after = this->pick(0, 500);
        if (this->random() % 2 == 0) {
            this->after(whole_after / 2, [&node] { node.hang_up(); });
        }
        this->after(whole_after, [&node] {
            node.write_settings(1);
            node.hang_up();
        });
    }

    void add_foreign_entry()
    {
        const std::vector<std::string> names{"m&x", "m#x", "m%41x", "m%x",  "m+x", "m x",
                                             "m/x", "m?x", "m=x",   "zz&x", "0#x", std::string(1000, 'm')};
        this->deployment.add_foreign_entry(names[this->random() % names.size()]);
    }

    std::mt19937 random;
    int version = 7;
    small_deployment deployment{2};
    std::optional<stage::engine> first_engine;
    std::optional<stage::engine> second_engine;
    std::multimap<steady::time_point, std::function<void()>> due;
    std::map<soak_node*, bool> is_restarting;
};

/** Sends requests to a node. Returns whether all were served with their own answers. */
bool serves_all(const gateway_process& node)
{
    for (int number = 0; number < requests_afterwards; ++number) {
        const std::string id = "e" + std::to_string(number);
        try {
            const auto to = stage::channel::connect(node.requester_port());
            const timeval limit{.tv_sec = 5, .tv_usec = 0};
            ::setsockopt(to->fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
            to->write(status_request(id));
            const stage::response received = stage::read_response(*to);
            if (received.status != 200 || received.body != expected_body(id)) {
                return false;
            }
        }
        catch (const std::exception&) {
            return false;
        }
    }
    return true;
}

} // namespace

// Guards against processes that end by themselves, or do not serve again, when signals, restarts and changes
// overlap.
Test(soak, overlapping_events, .timeout = 120)
{
    const unsigned seed = read_seed();
    soak played(seed);
    for (const auto& node : played.nodes) {
        cr_assert(node->process.wait_ready(10s), "seed %u: %s", seed, node->process.describe_end().c_str());
    }
    soak_client first("a", seed, played.ports());
    soak_client second("b", seed + 1, played.ports());
    const std::string wrong = played.play();
    const auto deadline = steady::now() + service_time;
    cr_expect(wrong.empty(), "seed %u: %s", seed, wrong.c_str());
    first.stop();
    second.stop();
    for (const soak_client* const client : {&first, &second}) {
        cr_expect_gt(client->served_count(), 0, "seed %u", seed);
        for (const std::string& id : client->wrong_answers()) {
            cr_expect(false, "seed %u: the answer to %s is wrong", seed, id.c_str());
        }
    }
    for (const auto& node : played.nodes) {
        const auto left = std::chrono::duration_cast<milliseconds>(deadline - steady::now());
        const bool is_ready = node->process.wait_ready(left);
        bool is_served = is_ready && serves_all(node->process);
        while (!is_served && is_ready && steady::now() < deadline) {
            std::this_thread::sleep_for(100ms);
            is_served = serves_all(node->process);
        }
        cr_expect(is_served, "seed %u: %s, ready %d", seed, node->process.describe_end().c_str(), is_ready);
    }
    std::printf("soak, seed %u: %d and %d answers\n", seed, first.served_count(), second.served_count());
}
