// A configuration adds a tenant with prepaid tokens and a route for it; its requests begin at once.
#include "stage.hh"

#include <csignal>
#include <iostream>

using namespace stage;

namespace {

constexpr milliseconds request_interval{18}; // at each node; the rate of cotizacion-armado, 55.6 a second
constexpr milliseconds steady_time{20000};   // after the configuration
constexpr milliseconds settling_time{5000};  // the first requests don't count
constexpr int answer_events = 5;
constexpr std::size_t event_bytes = 55;
constexpr std::chrono::microseconds event_interval{18180}; // 6 tokens of 3.03 ms

bool answer_stream(channel& to, request& received)
{
    if (!to.write(head_of_success(received, "text/event-stream") + "Transfer-Encoding: chunked\r\n\r\n")) {
        return false;
    }
    const auto begin = steady::now();
    for (int id = 1; id <= answer_events; ++id) {
        std::this_thread::sleep_until(begin + id * event_interval);
        if (!to.write(chunk(event_text(id, event_bytes)))) {
            return false;
        }
    }
    return to.write("0\r\n\r\n");
}

struct tally {
    std::atomic<int> sent{0};
    std::atomic<int> served{0};
};

/** Asks a node again and again, on a kept channel, until told to stop. */
class requester {
public:
    requester(record& notes_to_use, node& target_to_use, std::string path_to_use, std::string key_to_use,
              std::string prefix_to_use)
        : notes(notes_to_use), target(target_to_use), path(std::move(path_to_use)), key(std::move(key_to_use)),
          prefix(std::move(prefix_to_use)), thread([this] { this->run(); })
    {
    }

    ~requester()
    {
        this->is_over = true;
        this->thread.join();
    }

    tally counted;
    std::atomic<bool> is_counting{false};

private:
    void run()
    {
        std::vector<std::thread> asked;
        auto next = steady::now();
        for (int number = 0; !this->is_over; ++number) {
            asked.emplace_back([this, number] { this->ask(number); });
            next += request_interval;
            std::this_thread::sleep_until(next);
        }
        for (std::thread& each : asked) {
            each.join();
        }
    }

    void ask(int number)
    {
        const std::string id = this->prefix + std::to_string(100000 + number);
        const bool counts = this->is_counting;
        try {
            const auto to = channel::connect(this->target.ports.front);
            request_options asked{.path = this->path, .method = "GET", .attempt_id = id, .deadline_ms = 4000};
            asked.key = this->key;
            if (this->path.starts_with("/quote/")) {
                asked.method = "POST";
                asked.usage = "828,30";
                asked.prompt = "5c1e07a2:119," + id + ":709";
                asked.body = "32 spokes, two wheels";
            }
            to->write(request_text(asked));
            const response received = read_response(*to);
            const bool is_served = received.status == 200 && received.is_complete;
            this->counted.sent += counts ? 1 : 0;
            this->counted.served += counts && is_served ? 1 : 0;
            this->notes.line("requester of " + id + " " + this->path + " at " + this->target.name + ": status " +
                             std::to_string(received.status) + (received.is_complete ? "" : ", not complete") +
                             (is_served ? "" : " " + received.body));
        }
        catch (const std::exception& error) {
            this->counted.sent += counts ? 1 : 0;
            this->notes.line("requester of " + id + " at " + this->target.name + ": " + error.what());
        }
    }

    record& notes;
    node& target;
    const std::string path;
    const std::string key;
    const std::string prefix;
    std::atomic<bool> is_over{false};
    std::thread thread;
};

/** Lacks the route "quote", which is added later. */
Json::Value first_configuration()
{
    Json::Value configuration = small_configuration(7);
    Json::Value routes(Json::arrayValue);
    for (const Json::Value& route : configuration["routes"]) {
        if (route["name"] != "quote") {
            routes.append(route);
        }
    }
    configuration["routes"] = routes;
    return configuration;
}

/** Adds the tenant "shops", with prepaid tokens, and the route "quote". */
Json::Value second_configuration()
{
    Json::Value configuration = small_configuration(9);
    Json::Value added;
    added["name"] = "shops";
    added["apiKeys"].append("key-two");
    added["priority"] = 1;
    added["prepaid"] = 10394207;
    configuration["tenants"].append(added);
    return configuration;
}

} // namespace

int main(int, char** arguments)
try {
    record notes(std::string(arguments[1]) + "/record.txt");
    const std::string folder = temporary_folder();
    store platform(notes);
    platform.set("config", "main", has_trouble() ? first_configuration() : second_configuration());
    engine quoting_1(platform, notes, {.id = "i-quoting-1", .service = "quoting"}, answer_stream);
    engine quoting_2(platform, notes, {.id = "i-quoting-2", .service = "quoting"}, answer_stream);
    engine desk(platform, notes, {.id = "i-desk-1", .service = "desk", .slots = 6},
                [](channel& to, request& received) {
                    return to.write(head_of_success(received, "text/plain") + "Content-Length: 4\r\n\r\nopen");
                });
    node front_1(notes, "frontend-toto-1", "toto", platform.port(), folder);
    node front_2(notes, "frontend-toto-2", "toto", platform.port(), folder);
    std::vector<node*> nodes{&front_1, &front_2};
    for (node* each : nodes) {
        each->start();
    }
    for (node* each : nodes) {
        if (!each->wait_ready(milliseconds(15000))) {
            notes.line("the nodes did not become ready");
            return 2;
        }
    }
    std::this_thread::sleep_for(milliseconds(10000)); // traffic starts 10 s after the machines
    int first_sent = 0;
    int first_served = 0;
    int added_sent = 0;
    int added_served = 0;
    {
        std::vector<std::unique_ptr<requester>> of_first_route;
        std::vector<std::unique_ptr<requester>> of_added_route;
        for (node* each : nodes) {
            of_first_route.push_back(
                std::make_unique<requester>(notes, *each, "/status/1", "key-one", "a" + each->name.substr(14)));
        }
        std::this_thread::sleep_for(milliseconds(2000));
        if (has_trouble()) {
            platform.set("config", "main", second_configuration());
            notes.line("configuration 9 is acknowledged");
        }
        for (node* each : nodes) {
            of_added_route.push_back(
                std::make_unique<requester>(notes, *each, "/quote/wheel", "key-two", "b" + each->name.substr(14)));
        }
        std::this_thread::sleep_for(settling_time);
        for (const auto* group : {&of_first_route, &of_added_route}) {
            for (const auto& each : *group) {
                each->is_counting = true;
            }
        }
        std::this_thread::sleep_for(steady_time - settling_time);
        for (const auto* group : {&of_first_route, &of_added_route}) {
            for (const auto& each : *group) {
                each->is_counting = false;
            }
        }
        std::this_thread::sleep_for(milliseconds(1000));
        for (const auto& each : of_first_route) {
            first_sent += each->counted.sent;
            first_served += each->counted.served;
        }
        for (const auto& each : of_added_route) {
            added_sent += each->counted.sent;
            added_served += each->counted.served;
        }
    }
    notes.line("on the first route " + std::to_string(first_served) + " of " + std::to_string(first_sent) +
               " requests were served");
    notes.line("on the added route " + std::to_string(added_served) + " of " + std::to_string(added_sent) +
               " requests were served, from " + std::to_string(settling_time.count() / 1000) + " s to " +
               std::to_string(steady_time.count() / 1000) + " s after it was added");
    notes.line("the ledger: " + platform.get("ledger", "budget.0").toStyledString());
    for (node* each : nodes) {
        each->signal(SIGTERM);
    }
    for (node* each : nodes) {
        each->await_end(milliseconds(9000));
    }
    quoting_1.stop();
    quoting_2.stop();
    desk.stop();
    platform.stop();
    if (added_sent < 20 || first_served == 0) {
        return 2;
    }
    const double first_share = static_cast<double>(first_served) / first_sent;
    const double added_share = static_cast<double>(added_served) / added_sent;
    return 4 * added_share < first_share ? 1 : 0;
}
catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return 2;
}
