#include "processes/crash_fleet.h"

#include "processes/gateway_process.h"

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cmath>
#include <criterion/criterion.h>
#include <netinet/in.h>
#include <random>
#include <sstream>
#include <sys/socket.h>
#include <unistd.h>

namespace samphireway::testing {

namespace {

using namespace std::chrono_literals;
using stage::steady;
using std::chrono::milliseconds;

constexpr int upstream_count = 6;
constexpr int events_per_answer = 10;
constexpr milliseconds event_interval{60};
constexpr milliseconds request_interval{25};
constexpr int sound_per_deadly = 9; // Of ten requests one has the deadly part.
constexpr milliseconds downtime{1000};
constexpr milliseconds warm_up{2000};
// Time in which every node knows what the fleet knows.
constexpr milliseconds contact_time{3000};
constexpr std::size_t crashes_to_know = 5;
const std::string deadly_part = "deadbeef";

int listen_on_free_port(int& descriptor)
{
    descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof address;
    cr_assert_eq(::bind(descriptor, reinterpret_cast<sockaddr*>(&address), length), 0);
    cr_assert_eq(::listen(descriptor, 256), 0);
    ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &length);
    return ntohs(address.sin_port);
}

/** What the upstreams of a scenario saw, in the order of time. */
class observer {
public:
    void add_crash()
    {
        const std::lock_guard lock(this->mutex);
        this->crashes.push_back(steady::now());
    }

    void add_deadly_arrival()
    {
        const std::lock_guard lock(this->mutex);
        this->arrivals.push_back(steady::now());
    }

    int crash_count() const
    {
        const std::lock_guard lock(this->mutex);
        return static_cast<int>(this->crashes.size());
    }

    int late_arrivals() const
    {
        const std::lock_guard lock(this->mutex);
        if (this->crashes.size() < crashes_to_know) {
            return 0;
        }
        const auto known = this->crashes[crashes_to_know - 1] + contact_time;
        return static_cast<int>(std::count_if(this->arrivals.begin(), this->arrivals.end(),
                                              [known](steady::time_point time) { return time > known; }));
    }

private:
    mutable std::mutex mutex;
    std::vector<steady::time_point> crashes;
    std::vector<steady::time_point> arrivals;
};

/** An upstream that crashes as a process does: its listener and all its connections end at once. */
class crashing_upstream {
public:
    crashing_upstream(stage::store& store_to_use, observer& seen_to_use,
                      const crash_scenario& scenario_to_use, int index)
        : store(store_to_use), seen(seen_to_use), scenario(scenario_to_use),
          name("i-quoting-" + std::to_string(index)), id(this->name)
    {
        this->start();
    }

    ~crashing_upstream()
    {
        this->is_over = true;
        if (this->revival.joinable()) {
            this->revival.join();
        }
        this->end_process();
        for (std::thread& thread : this->threads) {
            thread.join();
        }
    }

    crashing_upstream(const crashing_upstream&) = delete;
    crashing_upstream& operator=(const crashing_upstream&) = delete;

    /** Ends one run of the upstream; does nothing if that run has ended. */
    void crash(int of_run)
    {
        const std::lock_guard lock(this->crash_mutex);
        if (this->is_over || of_run != this->run) {
            return;
        }
        ++this->run;
        this->seen.add_crash();
        if (this->scenario.restart == crash_restart::at_once_same_port) {
            this->cut_connections();
            this->register_run();
            return;
        }
        this->end_process();
        if (this->revival.joinable()) {
            this->revival.join();
        }
        this->revival = std::thread([this] {
            std::this_thread::sleep_for(downtime);
            if (!this->is_over) {
                this->start();
            }
        });
    }

    int current_run() const
    {
        return this->run;
    }

private:
    void start()
    {
        if (this->scenario.restart == crash_restart::renamed && this->run > 0) {
            this->id = this->name + "-" + std::to_string(this->run);
        }
        this->port = listen_on_free_port(this->listener);
        this->acceptor = std::thread([this] { this->accept(); });
        this->register_run();
    }

    void register_run()
    {
        Json::Value entry;
        entry["service"] = "quoting";
        entry["address"] = "127.0.0.1:" + std::to_string(this->port);
        entry["zone"] = "toto";
        entry["version"] = "v1";
        entry["slots"] = 64;
        entry["state"] = "ready";
        entry["coldLeftMs"] = 0;
        entry["sequence"] = 1;
        entry["born"] = static_cast<Json::Int64>(
            std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
                .count());
        this->store.set("servers", this->id, entry);
    }

    void end_process()
    {
        if (this->acceptor.joinable()) {
            ::shutdown(this->listener, SHUT_RDWR);
            this->acceptor.join();
            ::close(this->listener);
        }
        this->cut_connections();
    }

    void cut_connections()
    {
        const std::lock_guard lock(this->channel_mutex);
        for (const std::weak_ptr<stage::channel>& each : this->channels) {
            if (const auto open = each.lock()) {
                ::shutdown(open->fd, SHUT_RDWR); // Closed by its thread, so that the number is not reused.
            }
        }
        this->channels.clear();
    }

    void accept()
    {
        while (true) {
            const int descriptor = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (descriptor < 0) {
                return;
            }
            const auto accepted = std::make_shared<stage::channel>(descriptor);
            const std::lock_guard lock(this->channel_mutex);
            this->channels.push_back(accepted);
            this->threads.emplace_back([this, accepted] { this->serve(*accepted); });
        }
    }

    void serve(stage::channel& from)
    {
        while (std::optional<stage::request> received = stage::read_request_head(from)) {
            const int at_run = this->run;
            if (!stage::read_request_body(from, *received) || !this->answer(from, *received, at_run)) {
                return;
            }
        }
    }

    bool answer(stage::channel& to, const stage::request& received, int at_run)
    {
        const bool is_deadly =
            received.header("X-Samphireway-Sw-Prefix-Hash").find(deadly_part) != std::string::npos;
        if (is_deadly) {
            this->seen.add_deadly_arrival();
        }
        return this->scenario.is_stream ? this->stream(to, received, is_deadly, at_run)
                                        : this->answer_whole(to, received, is_deadly, at_run);
    }

    bool stream(stage::channel& to, const stage::request& received, bool is_deadly, int at_run)
    {
        const auto crashes_at = [&](crash_moment moment) {
            if (is_deadly && this->scenario.moment == moment) {
                this->crash(at_run);
                return true;
            }
            return false;
        };
        std::this_thread::sleep_for(event_interval);
        if (crashes_at(crash_moment::before_head)) {
            return false;
        }
        to.write(stage::head_of_success(received, "text/event-stream") +
                 "Transfer-Encoding: chunked\r\n\r\n");
        for (int event = 1; event <= events_per_answer; ++event) {
            std::this_thread::sleep_for(event_interval);
            if (event == 1 && crashes_at(crash_moment::after_head)) {
                return false;
            }
            if (!to.write(stage::chunk(stage::event_text(event, 55)))) {
                return false;
            }
            if ((event == 1 && crashes_at(crash_moment::after_first_event)) ||
                (event == events_per_answer / 2 && crashes_at(crash_moment::in_the_middle))) {
                return false;
            }
        }
        return to.write("0\r\n\r\n");
    }

    bool answer_whole(stage::channel& to, const stage::request& received, bool is_deadly, int at_run)
    {
        const std::string body(800, 'x');
        std::string head =
            stage::head_of_success(received, "text/plain") + "Content-Length: " + std::to_string(body.size());
        head += "\r\n\r\n";
        std::this_thread::sleep_for(event_interval * events_per_answer / 2);
        if (is_deadly && this->scenario.moment == crash_moment::before_head) {
            this->crash(at_run);
            return false;
        }
        to.write(head);
        std::this_thread::sleep_for(event_interval);
        if (is_deadly) {
            const std::size_t sent = this->scenario.moment == crash_moment::after_head ? 0 : body.size() / 2;
            to.write(body.substr(0, sent));
            this->crash(at_run);
            return false;
        }
        std::this_thread::sleep_for(event_interval * events_per_answer / 2);
        return to.write(body);
    }

    stage::store& store;
    observer& seen;
    const crash_scenario& scenario;
    const std::string name;
    std::string id;
    int listener = -1;
    int port = 0;
    std::atomic<int> run{0};
    std::atomic<bool> is_over{false};
    std::thread acceptor;
    std::thread revival;
    std::mutex crash_mutex;
    std::mutex channel_mutex;
    std::vector<std::weak_ptr<stage::channel>> channels;
    std::vector<std::thread> threads;
};

/** The configuration of the review's stage with a route for whole answers of the same upstreams. */
Json::Value make_configuration()
{
    Json::Value configuration = stage::small_configuration();
    Json::Value draft = configuration["routes"][0];
    draft["name"] = "draft";
    draft["pathPrefix"] = "/draft/";
    draft["kind"] = "safe";
    draft["canResume"] = false;
    configuration["routes"].append(draft);
    return configuration;
}

std::string hexadecimal(std::uint64_t number)
{
    std::ostringstream text;
    text << std::hex << number;
    return text.str();
}

/** Returns a prompt of a part that all requests share, a subject that some share, and one of its own. */
std::string make_prompt(const crash_scenario& scenario, bool is_deadly, std::uint64_t number)
{
    constexpr std::uint64_t subjects = 12;
    std::vector<std::string> parts{"5c1e07a2:119", "a0" + hexadecimal(number % subjects + 16) + ":60",
                                   "b000" + hexadecimal(number) + ":200"};
    if (is_deadly) {
        parts.insert(parts.begin() + static_cast<std::ptrdiff_t>(scenario.deadly_position),
                     deadly_part + ":90");
    }
    std::string text;
    for (const std::string& part : parts) {
        text += (text.empty() ? "" : ",") + part;
    }
    return text;
}

/** Sends the requests of a scenario to the nodes and counts what callers of sound ones see. */
class crash_load {
public:
    crash_load(const crash_scenario& scenario_to_use, std::vector<int> ports_to_use)
        : scenario(scenario_to_use), ports(std::move(ports_to_use))
    {
    }

    void run(const std::function<void(milliseconds elapsed)>& on_request)
    {
        std::mt19937 random(this->scenario.seed);
        std::vector<std::thread> requests;
        const auto begin = steady::now();
        for (int number = 0; steady::now() < begin + warm_up + this->scenario.duration; ++number) {
            const auto elapsed = std::chrono::duration_cast<milliseconds>(steady::now() - begin);
            const bool is_deadly =
                this->scenario.has_deadly_part && elapsed > warm_up && random() % (sound_per_deadly + 1) == 0;
            const int port = this->ports[random() % this->ports.size()];
            requests.emplace_back([this, number, is_deadly, port] { this->ask(number, is_deadly, port); });
            on_request(elapsed);
            std::this_thread::sleep_until(begin + (number + 1) * request_interval);
        }
        for (std::thread& request : requests) {
            request.join();
        }
    }

    std::atomic<int> sound{0};
    std::atomic<int> served{0};
    std::atomic<int> refused{0};

private:
    void ask(int number, bool is_deadly, int port)
    {
        constexpr std::uint64_t first_id = 0x900000;
        const std::string id = hexadecimal(first_id + static_cast<std::uint64_t>(number));
        stage::response received;
        try {
            const auto to = stage::channel::connect(port);
            to->write(stage::request_text(
                {.path = this->scenario.is_stream ? "/chat/wheel" : "/draft/wheel",
                 .attempt_id = id,
                 .deadline_ms = 4000,
                 .usage = "469,60",
                 .prompt = make_prompt(this->scenario, is_deadly, static_cast<std::uint64_t>(number)),
                 .body = "32 spokes"}));
            received = stage::read_response(*to);
        }
        catch (const std::exception&) {
            // Counts as not served.
        }
        if (is_deadly) {
            return;
        }
        ++this->sound;
        this->served += received.status == 200 && received.is_complete ? 1 : 0;
        this->refused += received.body.find("part of the prompt") != std::string::npos ? 1 : 0;
    }

    const crash_scenario& scenario;
    const std::vector<int> ports;
};

} // namespace

crash_outcome play(const crash_scenario& scenario)
{
    const temporary_directory directory;
    stage::record notes(directory.path + "/record.txt");
    stage::store store(notes);
    store.set("config", "main", make_configuration());
    observer seen;
    std::vector<std::unique_ptr<crashing_upstream>> upstreams;
    for (int index = 0; index < upstream_count; ++index) {
        upstreams.push_back(std::make_unique<crashing_upstream>(store, seen, scenario, index));
    }
    crash_outcome outcome;
    {
        gateway_process first({.id = "node-1", .store_port = store.port(), .directory = directory.path});
        gateway_process second({.id = "node-2", .store_port = store.port(), .directory = directory.path});
        for (gateway_process* const node : {&first, &second}) {
            cr_assert(node->wait_ready(15s), "%s", node->describe_end().c_str());
        }
        std::this_thread::sleep_for(contact_time);
        crash_load load(scenario, {first.requester_port(), second.requester_port()});
        std::size_t losses = 0;
        load.run([&](milliseconds elapsed) {
            const bool is_due = !scenario.has_deadly_part && elapsed > warm_up + losses * 1s;
            if (is_due) {
                crashing_upstream& lost = *upstreams[losses++ % upstreams.size()];
                lost.crash(lost.current_run());
            }
        });
        for (gateway_process* const node : {&first, &second}) {
            cr_assert(node->is_running(), "%s", node->describe_end().c_str());
        }
        outcome.sound = load.sound;
        outcome.sound_served = load.served;
        outcome.sound_refused = load.refused;
    }
    outcome.crashes = seen.crash_count();
    outcome.late = seen.late_arrivals();
    upstreams.clear();
    store.stop();
    return outcome;
}

std::string describe(const crash_outcome& outcome)
{
    // Upper limit of the Wilson score interval.
    constexpr double z = 1.96;
    const double n = std::max(outcome.sound, 1);
    const double share = outcome.sound_refused / n;
    const double limit =
        (share + z * z / (2 * n) + z * std::sqrt(share * (1 - share) / n + z * z / (4 * n * n))) /
        (1 + z * z / n);
    std::ostringstream text;
    text << "crashes " << outcome.crashes << ", late " << outcome.late << ", sound served "
         << outcome.sound_served << " of " << outcome.sound << ", refused " << outcome.sound_refused
         << " (at most " << limit * 100 << " in 100 with 95 % confidence)";
    return text.str();
}

} // namespace samphireway::testing
