#include "scene.hh"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>

using namespace scene;

namespace {

constexpr int stride = 6;
constexpr int events = 10;
constexpr int prompt_tokens = 9000;
constexpr int output_tokens = stride * events;
constexpr int tokens_of_request = prompt_tokens + output_tokens;
constexpr milliseconds away_time{800};

/** A temporary directory for settings and logs. */
struct workspace {
    workspace()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "scene-XXXXXX").string();
        if (::mkdtemp(pattern.data()) == nullptr) {
            throw cannot_run{"no temporary directory"};
        }
        this->path = pattern;
    }
    ~workspace()
    {
        if (std::getenv("KEEP_LOGS") == nullptr) {
            std::error_code ignored;
            std::filesystem::remove_all(this->path, ignored);
        }
        else {
            std::printf("logs: %s\n", this->path.c_str());
        }
    }
    std::string path;
};

/** Nodes, two engines, a store and requesters of one tenant that send at a fixed rate. */
class deployment {
public:
    deployment(record& notes_to_use, std::int64_t prepaid, int node_count)
        : notes(notes_to_use), platform(notes_to_use), config(make_config(1, prepaid, stride))
    {
        for (const char* const id : {"i-1", "i-2"}) {
            this->engines.push_back(
                std::make_unique<engine>(notes_to_use, engine::options{.id = id, .service = "taller"}));
        }
        this->write_from_outside();
        for (int number = 1; number <= node_count; ++number) {
            this->nodes.push_back(std::make_unique<node>("frontend-toto-" + std::to_string(number),
                                                         this->platform.port(), this->place.path));
            this->nodes.back()->start();
        }
        for (const auto& each : this->nodes) {
            each->wait_ready(milliseconds(15000));
        }
        this->notes.line(std::to_string(node_count) + " nodes are ready");
        std::this_thread::sleep_for(milliseconds(4000));
    }

    ~deployment()
    {
        this->stop_requesters();
        this->nodes.clear();
        this->platform.stop();
    }

    /** What the operator and the engines write, also again after a drill. */
    void write_from_outside()
    {
        this->platform.set("config", "main", this->config);
        for (const auto& each : this->engines) {
            this->platform.set("servers", each->setup.id, each->entry("ready"));
        }
    }

    void start_requesters(int per_second_and_node)
    {
        for (const auto& each : this->nodes) {
            this->requesters.emplace_back([this, &to = *each, per_second_and_node] {
                const milliseconds interval(1000 / per_second_and_node);
                for (int number = 1; !this->is_over; ++number) {
                    const auto next = steady::now() + interval;
                    this->send(to, to.id + "-" + std::to_string(number));
                    std::this_thread::sleep_until(next);
                }
            });
        }
    }

    void stop_requesters()
    {
        this->is_over = true;
        for (std::thread& each : this->requesters) {
            each.join();
        }
        this->requesters.clear();
    }

    struct answer {
        long long sent_ms = 0;
        int status = 0;
        std::int64_t used_at_most_before = 0; ///< What all requests sent before may have used at most.
    };

    std::int64_t delivered()
    {
        const std::lock_guard lock(this->mutex);
        return this->delivered_tokens;
    }

    std::vector<answer> all_answers()
    {
        const std::lock_guard lock(this->mutex);
        return this->answers;
    }

    record& notes;
    const workspace place;
    store platform;
    std::vector<std::unique_ptr<engine>> engines;
    std::vector<std::unique_ptr<node>> nodes;
    Json::Value config;

private:
    void send(const node& to, const std::string& id)
    {
        answer seen{.sent_ms = this->notes.now_ms()};
        {
            const std::lock_guard lock(this->mutex);
            seen.used_at_most_before = this->used_at_most;
            this->used_at_most += tokens_of_request;
        }
        this->notes.line("requester sends " + id);
        int received = 0;
        if (const auto connected = channel::connect(to.front)) {
            connected->write(request_text({.id = id,
                                           .path = "/chat/1",
                                           .key = "key-alfa",
                                           .prompt_tokens = prompt_tokens,
                                           .output_tokens = output_tokens}));
            const std::optional<message> got = connected->read(true);
            seen.status = got ? got->status() : 0;
            received = got && got->status() == 200 ? count_events(got->body) : 0;
        }
        // Input tokens count once per request, and output tokens that were delivered.
        const std::int64_t used = received > 0 ? prompt_tokens + received * stride : 0;
        const std::lock_guard lock(this->mutex);
        this->delivered_tokens += used;
        if (seen.status != 200) {
            this->used_at_most -= tokens_of_request;
        }
        this->answers.push_back(seen);
        this->notes.line("requester got " + std::to_string(seen.status) + " for " + id + " with " +
                         std::to_string(received) + " events; delivered so far " +
                         std::to_string(this->delivered_tokens) + " tokens");
    }

    std::mutex mutex;
    std::vector<answer> answers;
    std::int64_t delivered_tokens = 0;
    std::int64_t used_at_most = 0;
    std::atomic<bool> is_over{false};
    std::vector<std::thread> requesters;
};

void pause(int ms)
{
    std::this_thread::sleep_for(milliseconds(ms));
}

/** The store comes back from a copy that is older than the first use of a tenant's budget. */
int lost_spend(record& notes)
{
    constexpr std::int64_t prepaid = 1'500'000;
    deployment all(notes, prepaid, 3);
    if (has_trouble()) {
        all.platform.copy();
    }
    all.start_requesters(4);
    pause(3200);
    if (has_trouble()) {
        all.platform.go_away();
        std::this_thread::sleep_for(away_time);
        all.platform.come_back([&all] { all.write_from_outside(); });
    }
    pause(28000);
    all.stop_requesters();
    const std::int64_t used = all.delivered();
    notes.line("prepaid " + std::to_string(prepaid) + ", delivered " + std::to_string(used));
    std::printf("prepaid %lld tokens, delivered %lld\n", static_cast<long long>(prepaid),
                static_cast<long long>(used));
    if (used < prepaid / 2) {
        throw cannot_run{"hardly anything was served"};
    }
    return used > prepaid ? 1 : 0;
}

/** The store comes back from a copy that is older than a top-up, which the operator writes again. */
int lost_top_up(record& notes)
{
    constexpr std::int64_t first_prepaid = 700'000;
    constexpr std::int64_t raised_prepaid = 3'000'000;
    // A version is in force everywhere after configApplyMs, stretched by outerMs while the store is unstable;
    // a machine is in touch contactMs after the store's return.
    constexpr int settled_ms = 8000;
    deployment all(notes, first_prepaid, 3);
    all.start_requesters(2);
    pause(3000);
    if (has_trouble()) {
        all.platform.copy();
    }
    pause(1000);
    all.config = make_config(2, raised_prepaid, stride);
    all.platform.set("config", "main", all.config);
    pause(2500);
    if (has_trouble()) {
        all.platform.go_away();
        std::this_thread::sleep_for(away_time);
        all.platform.come_back([&all] { all.write_from_outside(); });
    }
    const long long counted_from = notes.now_ms() + settled_ms;
    pause(settled_ms + 22000);
    all.stop_requesters();
    int counted = 0;
    int denied = 0;
    int served = 0;
    for (const auto& each : all.all_answers()) {
        // Only requests that fit, at their most, into 97 in 100 of what is prepaid.
        const bool fits = each.used_at_most_before + tokens_of_request <= raised_prepaid * 97 / 100;
        if (each.sent_ms >= counted_from && fits) {
            ++counted;
            denied += each.status == 402 ? 1 : 0;
            served += each.status == 200 ? 1 : 0;
        }
    }
    const int allowed = 5 + static_cast<int>(all.all_answers().size()) / 500;
    const std::string result =
        "prepaid " + std::to_string(raised_prepaid) + ", delivered " + std::to_string(all.delivered()) +
        "; of " + std::to_string(counted) + " requests that fit, served " + std::to_string(served) +
        ", answered 402: " + std::to_string(denied) + ", allowed " + std::to_string(allowed);
    notes.line(result);
    std::printf("%s\n", result.c_str());
    if (counted < 50) {
        throw cannot_run{"too few requests"};
    }
    return denied > allowed ? 1 : 0;
}

/** An engine that comes back some seconds after each crash, under a new id. */
class crashing_engine {
public:
    crashing_engine(record& notes_to_use, store& platform_to_use, int number_to_use, engine::options base)
        : notes(notes_to_use), platform(platform_to_use), number(number_to_use), setup(std::move(base))
    {
        this->start();
        this->watch = std::thread([this] { this->revive(); });
    }

    ~crashing_engine()
    {
        this->is_over = true;
        this->watch.join();
    }

private:
    void start()
    {
        engine::options next = this->setup;
        next.id = "i-" + std::to_string(this->number) + "-" + std::to_string(++this->run);
        next.on_crash = [this, on_crash = this->setup.on_crash] {
            on_crash();
            this->is_down = true;
        };
        this->current = std::make_unique<engine>(this->notes, next);
        this->platform.set("servers", next.id, this->current->entry("ready"));
    }

    void revive()
    {
        while (!this->is_over) {
            std::this_thread::sleep_for(milliseconds(20));
            if (!this->is_down) {
                continue;
            }
            // Three beats of silence end the entry; the engine is back at the same time.
            for (int step = 0; step < 180 && !this->is_over; ++step) {
                std::this_thread::sleep_for(milliseconds(20));
            }
            this->platform.remove("servers", this->current->setup.id);
            this->current.reset();
            this->is_down = false;
            if (!this->is_over) {
                this->start();
            }
        }
        this->current.reset();
    }

    record& notes;
    store& platform;
    const int number;
    const engine::options setup;
    int run = 0;
    std::unique_ptr<engine> current;
    std::atomic<bool> is_down{false};
    std::atomic<bool> is_over{false};
    std::thread watch;
};

/** How the engines of a scene with a deadly part answer. */
struct deadly_scene {
    bool is_framed = false;           ///< In chunks; else with neither a length nor chunks.
    bool crashes_before_head = false; ///< Else after the first event.
    bool has_desk = false;            ///< Whether a plain service is asked as well.
};

/** What requesters and engines saw in such a scene; times are those of the record. */
struct deadly_result {
    std::vector<long long> arrivals; ///< Of requests with the part at engines.
    std::vector<long long> crashes;
    std::vector<std::pair<long long, bool>> sound; ///< When a sound request was sent, and whether it began.
    long long deadly_from = 0;
    long long deadly_until = 0;
};

constexpr int contact_ms = 3000;
constexpr std::size_t crashes_to_know = 5;

/** One part of a prompt crashes each engine that begins to write an answer on it. */
deadly_result play_deadly_part(record& notes, const deadly_scene& scene_to_play)
{
    constexpr int engine_count = 10;
    constexpr int interval_ms = 50;
    constexpr int requests_sent = 35000 / interval_ms;
    constexpr int warm_up = 6000 / interval_ms;
    constexpr int one_deadly_of = 20;
    const std::string deadly = "deadbeef";
    deadly_result result;
    std::mutex mutex;
    const workspace place;
    store platform(notes);
    platform.set("config", "main", make_config(1, 1'000'000'000, stride, scene_to_play.has_desk));
    engine::options base{.id = {}, .service = "taller", .events = events, .event_gap = milliseconds(30)};
    base.is_framed = scene_to_play.is_framed;
    base.crashes_before_head = scene_to_play.crashes_before_head;
    base.deadly_part = deadly;
    base.on_deadly_arrival = [&] {
        const std::lock_guard lock(mutex);
        result.arrivals.push_back(notes.now_ms());
        notes.line("the deadly part reaches an engine");
    };
    base.on_crash = [&] {
        const std::lock_guard lock(mutex);
        result.crashes.push_back(notes.now_ms());
        notes.line("crash " + std::to_string(result.crashes.size()) + " of an engine");
    };
    engine desk(notes, engine::options{.id = "i-desk", .service = "desk", .slots = 6, .is_plain = true});
    if (scene_to_play.has_desk) {
        platform.set("servers", desk.setup.id, desk.entry("ready"));
    }
    std::vector<std::unique_ptr<crashing_engine>> engines;
    for (int number = 1; number <= engine_count; ++number) {
        engines.push_back(std::make_unique<crashing_engine>(notes, platform, number, base));
    }
    std::vector<std::unique_ptr<node>> nodes;
    for (int number = 1; number <= 3; ++number) {
        nodes.push_back(
            std::make_unique<node>("frontend-toto-" + std::to_string(number), platform.port(), place.path));
        nodes.back()->start();
    }
    for (const auto& each : nodes) {
        each->wait_ready(milliseconds(15000));
    }
    pause(4000);
    std::vector<std::thread> requests;
    const auto begin = steady::now();
    for (int number = 0; number < requests_sent; ++number) {
        const bool is_deadly = has_trouble() && number > warm_up && number % one_deadly_of == 0;
        const bool is_plain = scene_to_play.has_desk && !is_deadly && number % 2 == 1;
        if (is_deadly) {
            result.deadly_from = result.deadly_from == 0 ? notes.now_ms() : result.deadly_from;
            result.deadly_until = notes.now_ms();
        }
        requests.emplace_back([&, number, is_deadly, is_plain] {
            const std::string id = "a" + std::to_string(100000 + number);
            request sent{.id = id,
                         .path = is_plain ? "/status/1" : "/chat/1",
                         .key = "key-alfa",
                         .prompt_tokens = 1000,
                         .output_tokens = output_tokens};
            sent.is_plain = is_plain;
            sent.parts = "5c1e07a2:600," + (is_deadly ? deadly : "ab" + std::to_string(10 + number % 12)) +
                         ":150," + id + ":250";
            const long long sent_ms = notes.now_ms();
            int status = 0;
            int received = 0;
            if (const auto connected = channel::connect(nodes[static_cast<std::size_t>(number) % 3]->front)) {
                connected->write(request_text(sent));
                const std::optional<message> got = connected->read(true);
                status = got ? got->status() : 0;
                received = got ? count_events(got->body) : 0;
            }
            const char* const kind = is_deadly ? "deadly " : is_plain ? "plain " : "sound ";
            notes.line(kind + id + " got " + std::to_string(status) + " with " + std::to_string(received) +
                       " events");
            if (!is_deadly && !is_plain) {
                const std::lock_guard lock(mutex);
                result.sound.emplace_back(sent_ms, status == 200 && received > 0);
            }
        });
        std::this_thread::sleep_until(begin + milliseconds(interval_ms) * (number + 1));
    }
    for (std::thread& each : requests) {
        each.join();
    }
    nodes.clear();
    engines.clear();
    platform.stop();
    return result;
}

/** BUDGET: at most three requests with the part reach engines later than contactMs after the fifth crash. */
int check_deadly_budget(record& notes, const deadly_scene& scene_to_play)
{
    constexpr std::size_t allowed = 3;
    const deadly_result seen = play_deadly_part(notes, scene_to_play);
    std::size_t late = 0;
    if (seen.crashes.size() >= crashes_to_know) {
        late = static_cast<std::size_t>(
            std::count_if(seen.arrivals.begin(), seen.arrivals.end(), [&](long long time) {
                return time > seen.crashes[crashes_to_know - 1] + contact_ms;
            }));
    }
    const auto began = static_cast<std::size_t>(
        std::count_if(seen.sound.begin(), seen.sound.end(), [](const auto& each) { return each.second; }));
    const std::string text =
        "crashes " + std::to_string(seen.crashes.size()) +
        ", requests with the part that reached engines later than 3 s after the fifth: " +
        std::to_string(late) + ", allowed " + std::to_string(allowed) + "; sound requests that began " +
        std::to_string(began) + " of " + std::to_string(seen.sound.size());
    notes.line(text);
    std::printf("%s\n", text.c_str());
    if (began < seen.sound.size() / 4) {
        throw cannot_run{"hardly anything was served"};
    }
    return late > allowed ? 1 : 0;
}

/** LOST: from twice contactMs after the fifth crash, or the last of fewer, while requests with the part still
 * come, sound ones begin at least half as often as before. */
int check_sound_begin(record& notes, const deadly_scene& scene_to_play)
{
    constexpr std::size_t least_requests = 20;
    const deadly_result seen = play_deadly_part(notes, scene_to_play);
    const bool has_crashes = !seen.crashes.empty();
    const long long from =
        has_crashes ? seen.crashes[std::min(seen.crashes.size(), crashes_to_know) - 1] + 2 * contact_ms : 0;
    std::size_t sent_before = 0;
    std::size_t began_before = 0;
    std::size_t sent_after = 0;
    std::size_t began_after = 0;
    for (const auto& [time, began] : seen.sound) {
        if (seen.deadly_from == 0 || time < seen.deadly_from) {
            ++sent_before;
            began_before += began ? 1 : 0;
        }
        else if (has_crashes && time >= from && time <= seen.deadly_until) {
            ++sent_after;
            began_after += began ? 1 : 0;
        }
    }
    const std::string text = "crashes " + std::to_string(seen.crashes.size()) +
                             "; sound requests that began: " + std::to_string(began_before) + " of " +
                             std::to_string(sent_before) + " before the first request with the part, " +
                             std::to_string(began_after) + " of " + std::to_string(sent_after) +
                             " from 6 s after the crashes";
    notes.line(text);
    std::printf("%s\n", text.c_str());
    if (sent_before < least_requests || (has_trouble() && has_crashes && sent_after < least_requests)) {
        throw cannot_run{"too few requests"};
    }
    const bool is_broken = sent_after > 0 && 2 * began_after * sent_before < began_before * sent_after;
    return is_broken ? 1 : 0;
}

int deadly_part(record& notes)
{
    return check_deadly_budget(notes, {.is_framed = false});
}

int deadly_part_in_chunks(record& notes)
{
    return check_deadly_budget(notes, {.is_framed = true});
}

int refused_sound(record& notes)
{
    return check_sound_begin(notes, {.is_framed = false, .crashes_before_head = true, .has_desk = true});
}

int refused_sound_in_chunks(record& notes)
{
    return check_sound_begin(notes, {.is_framed = true, .crashes_before_head = true, .has_desk = true});
}

/** The store cuts off watches that wait; then servers leave whose entries are removed. */
int late_removal(record& notes)
{
    constexpr int drain_ms = 2000;
    // Nodes let a watch wait for two seconds, so about half of the watches are cut off.
    constexpr int least_watch_ms = 100;
    constexpr int longest_watch_ms = 4000;
    // A server that leaves serves for drainMs and a little longer.
    constexpr int exit_ms = drain_ms + 450;
    constexpr int leaving_count = 12;
    const workspace place;
    store platform(notes);
    platform.set("config", "main", make_config(1, 1'000'000'000, stride, true));
    if (has_trouble()) {
        platform.cut_watches(milliseconds(least_watch_ms), milliseconds(longest_watch_ms));
    }
    std::mutex mutex;
    std::vector<long long> removed(leaving_count, 0);
    std::vector<long long> last(leaving_count, 0);
    int late = 0;
    std::vector<std::unique_ptr<engine>> servers;
    for (int number = 0; number < leaving_count + 2; ++number) {
        engine::options setup{
            .id = "i-desk-" + std::to_string(number), .service = "desk", .slots = 6, .is_plain = true};
        setup.work = milliseconds(60);
        setup.on_run = [&, number] {
            const std::lock_guard lock(mutex);
            if (number < leaving_count && removed[number] != 0) {
                const long long after = notes.now_ms() - removed[number];
                last[number] = after;
                late += after > drain_ms ? 1 : 0;
            }
        };
        servers.push_back(std::make_unique<engine>(notes, setup));
        platform.set("servers", setup.id, servers.back()->entry("ready"));
    }
    std::vector<std::unique_ptr<node>> nodes;
    for (int number = 1; number <= 3; ++number) {
        nodes.push_back(
            std::make_unique<node>("frontend-toto-" + std::to_string(number), platform.port(), place.path));
        nodes.back()->start();
    }
    for (const auto& each : nodes) {
        each->wait_ready(milliseconds(15000));
    }
    pause(4000);
    std::atomic<bool> is_over{false};
    std::atomic<int> sent_count{0};
    std::atomic<int> lost_count{0};
    std::vector<std::thread> requesters;
    for (int number = 0; number < 18; ++number) {
        requesters.emplace_back([&, number] {
            for (int count = 0; !is_over; ++count) {
                const auto connected = channel::connect(nodes[static_cast<std::size_t>(number) % 3]->front);
                if (connected == nullptr) {
                    continue;
                }
                request sent{.id = "r" + std::to_string(number) + "-" + std::to_string(count),
                             .path = "/orders/1",
                             .key = "key-alfa"};
                sent.is_plain = true;
                connected->write(request_text(sent));
                const std::optional<message> got = connected->read(true);
                ++sent_count;
                if (!got || got->status() != 200) {
                    ++lost_count;
                    notes.line("order " + sent.id + " got " + std::to_string(got ? got->status() : 0));
                }
                pause(15);
            }
        });
    }
    pause(3000);
    for (int number = 0; number < leaving_count; ++number) {
        {
            const std::lock_guard lock(mutex);
            platform.remove("servers", "i-desk-" + std::to_string(number));
            removed[number] = notes.now_ms();
            notes.line("the entry of i-desk-" + std::to_string(number) + " is removed");
        }
        pause(exit_ms);
        servers[number]->front.crash();
        notes.line("i-desk-" + std::to_string(number) + " has left");
        pause(600);
    }
    is_over = true;
    for (std::thread& each : requesters) {
        each.join();
    }
    std::string text =
        "requests that reached servers later than 2 s after the removal: " + std::to_string(late) +
        "; last ones after ms:";
    for (const long long time : last) {
        text += " " + std::to_string(time);
    }
    text += "; orders not answered with success: " + std::to_string(lost_count) + " of " +
            std::to_string(sent_count);
    notes.line(text);
    std::printf("%s\n", text.c_str());
    return late > 0 ? 1 : 0;
}

} // namespace

int main(int count, char** arguments)
{
    std::signal(SIGPIPE, SIG_IGN);
    const std::map<std::string, int (*)(record&)> cases{{"lost-spend", lost_spend},
                                                        {"lost-top-up", lost_top_up},
                                                        {"deadly-part", deadly_part},
                                                        {"deadly-part-in-chunks", deadly_part_in_chunks},
                                                        {"refused-sound", refused_sound},
                                                        {"late-removal", late_removal},
                                                        {"refused-sound-in-chunks", refused_sound_in_chunks}};
    const auto chosen = count == 3 ? cases.find(arguments[1]) : cases.end();
    if (chosen == cases.end()) {
        std::fprintf(stderr, "usage: scene CASE RECORD\n");
        return 2;
    }
    try {
        record notes(arguments[2]);
        return chosen->second(notes);
    }
    catch (const cannot_run& cause) {
        std::fprintf(stderr, "the case could not run: %s\n", cause.reason.c_str());
        return 2;
    }
    catch (const std::exception& cause) {
        std::fprintf(stderr, "the case could not run: %s\n", cause.what());
        return 2;
    }
}
