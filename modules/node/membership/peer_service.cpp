#include "node/membership/peer_service.h"

#include "node/membership/fleet_report.h"

#include <algorithm>
#include <future>

namespace samphireway::node {

namespace {

using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

constexpr std::size_t call_thread_count = 4;
constexpr milliseconds tick_interval{100};
// Bounds the objects that are pushed after one comparison; later comparisons push the others.
constexpr int maximum_pushes_per_comparison = 4;
// Part of the 9 KB/s budget for control traffic that reading the VM list may use.
constexpr double vm_list_bytes_per_second = 2000;
// Size of one entry of the VM list.
constexpr double vm_entry_bytes = 110;
constexpr milliseconds minimum_vm_list_interval{1000};

membership::peer_facts facts_of_self(const peer_service_options& options)
{
    const settings::node_settings& settings = options.settings;
    return {.endpoint = {.identity = {.id = settings.node.id, .incarnation = options.incarnation},
                         .address = settings.listen.address,
                         .port = settings.listen.peer_port},
            .availability_zone = settings.node.availability_zone,
            .started_ms = core::to_unix_ms(std::chrono::system_clock::now())};
}

std::string address_of(const membership::peer_facts& facts)
{
    return facts.endpoint.address + ":" + std::to_string(facts.endpoint.port);
}

std::vector<membership::peer_endpoint> read_seeds(const settings::node_settings& settings)
{
    std::vector<membership::peer_endpoint> seeds;
    const std::string own = settings.listen.address + ":" + std::to_string(settings.listen.peer_port);
    for (const std::string& seed : settings.peers.seeds) {
        const std::size_t colon = seed.rfind(':');
        if (seed != own && colon != std::string::npos) {
            seeds.push_back({.identity = {.id = seed, .incarnation = ""},
                             .address = seed.substr(0, colon),
                             .port = std::stoi(seed.substr(colon + 1))});
        }
    }
    return seeds;
}

std::vector<std::string> read_strings(const Json::Value& json)
{
    std::vector<std::string> strings;
    for (const Json::Value& entry : json) {
        if (entry.isString()) {
            strings.push_back(entry.asString());
        }
    }
    return strings;
}

} // namespace

peer_service::peer_service(peer_service_options options_to_use, configuration::repository& repository_to_use,
                           configuration::distributor& distributor_to_use, leaving_upstreams& leaving_to_use)
    : options(std::move(options_to_use)), repository(repository_to_use), distributor(distributor_to_use),
      leaving(leaving_to_use),
      writer(facts_of_self(this->options).endpoint.identity, this->options.settings.peer_keys, core::clock{}),
      reader(facts_of_self(this->options).endpoint.identity, this->options.settings.peer_keys, core::clock{},
             address_of(facts_of_self(this->options))),
      tracker({.self = facts_of_self(this->options),
               .seeds = read_seeds(this->options.settings),
               .random_seed = core::hash64(this->options.incarnation),
               .configuration_digest = [this] { return core::to_hex(this->repository.current()->digest); },
               .requests_in_flight = this->options.requests_in_flight}),
      server(
          {.address = this->options.settings.listen.address, .port = this->options.settings.listen.peer_port},
          this->writer, this->reader),
      calls(this->writer, this->reader, call_thread_count)
{
    this->add_methods();
}

peer_service::~peer_service()
{
    this->stop();
}

core::result<void> peer_service::start()
{
    if (!this->options.settings.peer_keys.empty()) {
        const core::result<void> started = this->server.start();
        if (!started) {
            return started;
        }
    }
    this->thread = std::thread([this] { this->run_periodic_tasks(); });
    return {};
}

void peer_service::stop()
{
    this->is_stopping = true;
    if (this->thread.joinable()) {
        this->thread.join();
    }
    this->server.stop();
    this->calls.stop();
}

void peer_service::start_leaving()
{
    this->tracker.start_leaving();
}

membership::peer_view peer_service::view() const
{
    return this->tracker.view(steady::now());
}

void peer_service::add_methods()
{
    using membership::peer_identity;
    this->server.add_method(membership::heartbeat_method,
                            [this](const peer_identity& sender, const Json::Value& parameters) {
                                this->receive_heartbeat(sender, parameters);
                                return this->make_heartbeat();
                            });
    this->server.add_method("peers", [this](const peer_identity&, const Json::Value&) {
        return membership::to_json(this->tracker.known_peers(steady::now()));
    });
    this->server.add_method("configuration_parts", [this](const peer_identity&, const Json::Value&) {
        return this->distributor.describe_parts();
    });
    this->server.add_method("configuration_generations",
                            [this](const peer_identity&, const Json::Value& parameters) {
                                return this->distributor.describe_generations(parameters);
                            });
    this->server.add_method(
        "configuration_object", [this](const peer_identity&, const Json::Value& parameters) {
            return this->repository.stored(parameters.isString() ? parameters.asString() : "");
        });
    this->server.add_method(
        "push_configuration", [this](const peer_identity& sender, const Json::Value& parameters) {
            const std::string key = core::string_member(parameters, "key");
            this->distributor.receive(key, parameters["value"], sender.id, steady::now());
            return Json::Value(static_cast<Json::UInt64>(this->repository.current()->generation_of(key)));
        });
    this->server.add_method("report", [this](const peer_identity&, const Json::Value& parameters) {
        return this->report(parameters);
    });
    this->server.add_method("version_fault", [this](const peer_identity&, const Json::Value& parameters) {
        if (this->options.on_version_fault) {
            this->options.on_version_fault(parameters);
        }
        return Json::Value(true);
    });
    this->server.add_method("move_evidence", [this](const peer_identity&, const Json::Value& parameters) {
        if (this->options.on_move_evidence) {
            this->options.on_move_evidence(parameters);
        }
        return Json::Value(true);
    });
    this->server.add_method("idle_grants", [this](const peer_identity&, const Json::Value& parameters) {
        return this->options.on_grant_request ? this->options.on_grant_request(parameters) : Json::Value();
    });
}

void peer_service::run_periodic_tasks()
{
    core::steady_time next_heartbeat = steady::now();
    while (!this->is_stopping) {
        const core::steady_time now = steady::now();
        this->start_due_reads();
        if (now >= this->next_vm_list_read) {
            // Provisional: read_vm_list sets the time of the next reading when it returns. A minute bounds
            // the wait if it does not.
            this->next_vm_list_read = now + std::chrono::minutes(1);
            this->read_vm_list();
        }
        if (now >= next_heartbeat || this->distributor.take_change_from_peer()) {
            next_heartbeat = now + this->options.settings.peers.heartbeat_interval;
            this->send_heartbeats();
        }
        this->leaving.observe_configuration(*this->repository.current(), now);
        std::this_thread::sleep_for(tick_interval);
    }
}

void peer_service::send_heartbeats()
{
    if (this->options.settings.peer_keys.empty()) {
        return;
    }
    for (const membership::peer_endpoint& target : this->tracker.targets(steady::now())) {
        this->calls.submit(
            [this, target](membership::peer_client& client) { this->send_heartbeat(client, target); });
    }
}

void peer_service::read_vm_list()
{
    const core::result<platform::vm_list_reading> reading = this->options.read_vms();
    const core::steady_time now = steady::now();
    milliseconds interval = minimum_vm_list_interval;
    if (reading) {
        const double bytes = vm_entry_bytes * static_cast<double>(reading->vms.size());
        interval = std::max(interval,
                            milliseconds(static_cast<std::int64_t>(1000 * bytes / vm_list_bytes_per_second)));
        this->tracker.observe_vms(*reading, now);
        this->leaving.observe_vms(*reading, now);
    }
    this->next_vm_list_read = now + interval;
}

Json::Value peer_service::make_heartbeat()
{
    const core::steady_time now = steady::now();
    Json::Value json = membership::to_json(this->tracker.next_heartbeat());
    Json::Value changes = this->distributor.describe_recent_changes(now);
    if (!changes.empty()) {
        json["c"] = std::move(changes);
    }
    for (const std::string& id : this->leaving.recently_leaving(now)) {
        json["u"].append(id);
    }
    return json;
}

void peer_service::receive_heartbeat(const membership::peer_identity& sender, const Json::Value& received)
{
    const core::result<membership::heartbeat> read = membership::heartbeat_from_json(received);
    if (!read) {
        return;
    }
    const core::steady_time now = steady::now();
    this->tracker.observe_heartbeat(sender, *read, now);
    this->distributor.observe_recent_changes(sender.id, received["c"], now);
    this->leaving.observe_peer(read_strings(received["u"]), now);
    std::uint64_t digest = 0;
    if (read->configuration_digest.size() == 16) {
        digest = std::strtoull(read->configuration_digest.c_str(), nullptr, 16);
    }
    if (this->distributor.observe_digest(sender.id, digest, now)) {
        const membership::peer_endpoint endpoint{
            .identity = sender, .address = read->self.endpoint.address, .port = read->self.endpoint.port};
        this->calls.submit([this, endpoint](membership::peer_client& client) {
            this->compare_configuration(client, endpoint);
        });
    }
}

void peer_service::send_heartbeat(membership::peer_client& client, const membership::peer_endpoint& endpoint)
{
    const core::result<membership::peer_answer> answer = client.call(
        endpoint, {{.method = membership::heartbeat_method, .parameters = this->make_heartbeat()}});
    this->tracker.observe_call(endpoint.identity.id, answer.has_value(), steady::now());
    if (!answer) {
        core::log_event(core::log_level::debug, "peer_call_failed",
                        {{"peer", endpoint.identity.id}, {"reason", answer.error().message}});
        return;
    }
    this->receive_heartbeat(answer->responder, answer->results.at(0));
    if (!this->has_learned_peers.exchange(true)) {
        membership::peer_endpoint found = endpoint;
        found.identity = answer->responder;
        this->learn_peers(client, found);
    }
}

void peer_service::learn_peers(membership::peer_client& client, const membership::peer_endpoint& endpoint)
{
    const core::result<membership::peer_answer> answer =
        client.call(endpoint, {{.method = "peers", .parameters = Json::Value()}});
    if (answer) {
        this->tracker.learn_peers(membership::rumours_from_json(answer->results.at(0)), steady::now());
    }
    this->has_learned_peers = answer.has_value();
}

void peer_service::compare_configuration(membership::peer_client& client,
                                         const membership::peer_endpoint& endpoint)
{
    const core::result<membership::peer_answer> description =
        client.call(endpoint, {{.method = "configuration_parts", .parameters = Json::Value()}});
    if (!description) {
        return;
    }
    const Json::Value parts = this->distributor.find_different_parts(description->results.at(0));
    const core::result<membership::peer_answer> generations =
        client.call(endpoint, {{.method = "configuration_generations", .parameters = parts}});
    if (generations) {
        const Json::Value& theirs = generations->results.at(0);
        this->distributor.observe_generations(endpoint.identity.id, theirs, steady::now());
        this->push_newer_objects(client, endpoint, parts, theirs);
    }
}

void peer_service::push_newer_objects(membership::peer_client& client,
                                      const membership::peer_endpoint& endpoint, const Json::Value& parts,
                                      const Json::Value& generations)
{
    const Json::Value own = this->distributor.describe_generations(parts);
    int pushed = 0;
    for (auto entry = own.begin(); entry != own.end() && pushed < maximum_pushes_per_comparison; ++entry) {
        const std::string key = entry.name();
        if (core::integer_member(generations, key.c_str()) >= entry->asInt64()) {
            continue;
        }
        Json::Value parameters(Json::objectValue);
        parameters["key"] = key;
        parameters["value"] = this->repository.stored(key);
        const auto answer =
            client.call(endpoint, {{.method = "push_configuration", .parameters = std::move(parameters)}});
        if (!answer) {
            return;
        }
        ++pushed;
    }
}

void peer_service::start_due_reads()
{
    for (const configuration::due_read& read : this->distributor.take_due_reads(steady::now())) {
        this->calls.submit(
            [this, read](membership::peer_client& client) { this->read_object(client, read); });
    }
}

void peer_service::read_object(membership::peer_client& client, const configuration::due_read& read)
{
    if (read.peer.empty()) {
        const core::result<platform::object_reading> reading = this->options.store.get(read.key);
        if (reading && reading->found) {
            this->distributor.receive(read.key, reading->found->value, "", steady::now());
        }
        return;
    }
    const std::optional<membership::peer_endpoint> endpoint = this->find_peer(read.peer);
    if (!endpoint) {
        return;
    }
    const core::result<membership::peer_answer> answer =
        client.call(*endpoint, {{.method = "configuration_object", .parameters = read.key}});
    if (answer && answer->results.at(0).isObject()) {
        this->distributor.receive(read.key, answer->results.at(0), read.peer, steady::now());
    }
}

std::optional<membership::peer_endpoint> peer_service::find_peer(const std::string& id) const
{
    const membership::peer_view current = this->view();
    const auto found = current.find(id);
    if (found == current.end() || found->second.facts.endpoint.identity.incarnation.empty()) {
        return std::nullopt;
    }
    return found->second.facts.endpoint;
}

void peer_service::call_live_peers(const membership::peer_call& call,
                                   const std::function<void(const Json::Value&)>& on_result)
{
    for (const auto& [id, record] : this->view()) {
        if (record.state == membership::peer_state::gone || !record.is_reachable ||
            record.facts.endpoint.identity.incarnation.empty()) {
            continue;
        }
        const membership::peer_endpoint endpoint = record.facts.endpoint;
        this->calls.submit([endpoint, call, on_result](membership::peer_client& client) {
            const core::result<membership::peer_answer> answer = client.call(endpoint, {call});
            if (answer && on_result) {
                on_result(answer->results.at(0));
            }
        });
    }
}

void peer_service::notify_version_fault(const Json::Value& notice)
{
    this->call_live_peers({.method = "version_fault", .parameters = notice}, {});
}

void peer_service::send_move_evidence(const std::string& incarnation, const Json::Value& evidence)
{
    for (const auto& [id, record] : this->view()) {
        if (record.facts.endpoint.identity.incarnation != incarnation) {
            continue;
        }
        this->calls.submit([endpoint = record.facts.endpoint, evidence](membership::peer_client& client) {
            static_cast<void>(client.call(endpoint, {{.method = "move_evidence", .parameters = evidence}}));
        });
        return;
    }
}

void peer_service::request_idle_grants(const Json::Value& request,
                                       const std::function<void(const Json::Value&)>& on_result)
{
    this->call_live_peers({.method = "idle_grants", .parameters = request}, on_result);
}

Json::Value peer_service::report(const Json::Value& parameters) const
{
    const auto in_force = this->repository.current();
    Json::Value json(Json::objectValue);
    json["lag"] = this->distributor.lag_report(steady::now());
    json["ready"] = this->distributor.is_ready();
    json["digest"] = core::to_hex(in_force->digest);
    if (core::string_member(parameters, "digest") != core::to_hex(in_force->digest)) {
        json["generations"] = Json::Value(Json::objectValue);
        for (const auto& [key, generation] : in_force->generations) {
            json["generations"][key] = static_cast<Json::UInt64>(generation);
        }
    }
    return json;
}

Json::Value peer_service::fleet_status()
{
    fleet_report fleet(this->options.settings.node.id, this->report(Json::Value(Json::objectValue)));
    Json::Value parameters(Json::objectValue);
    parameters["digest"] = core::to_hex(this->repository.current()->digest);
    std::vector<std::pair<std::string, std::future<Json::Value>>> answers;
    for (const auto& [id, record] : this->view()) {
        fleet.add_peer(record);
        const membership::peer_endpoint endpoint = record.facts.endpoint;
        if (record.state == membership::peer_state::gone || endpoint.identity.incarnation.empty()) {
            continue;
        }
        auto promise = std::make_shared<std::promise<Json::Value>>();
        answers.emplace_back(id, promise->get_future());
        this->calls.submit([endpoint, parameters, promise](membership::peer_client& client) {
            const auto answer = client.call(endpoint, {{.method = "report", .parameters = parameters}});
            promise->set_value(answer ? answer->results.at(0) : Json::Value());
        });
    }
    const core::steady_time deadline = steady::now() + std::chrono::seconds(10);
    for (auto& [id, answer] : answers) {
        if (answer.wait_until(deadline) == std::future_status::ready) {
            try {
                fleet.add_report(id, answer.get());
            }
            catch (const std::future_error&) {
                core::log_event(core::log_level::debug, "fleet_report_dropped", {{"peer", id}});
            }
        }
    }
    return fleet.combined_report();
}

} // namespace samphireway::node
