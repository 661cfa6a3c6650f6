#include "gateway/loopback_gateway.h"

#include "gateway/control/prepaid_deposits.h"
#include "platform/wire/header_names.h"
#include "platform/wire/request_headers.h"
#include "support/fake_object_store.h"

#include <algorithm>
#include <boost/algorithm/string/predicate.hpp>
#include <boost/algorithm/string/replace.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>
#include <list>
#include <sstream>

namespace samphireway::testing {

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using boost::system::error_code;
using std::chrono::milliseconds;

// Time limit of a test whose response never arrives; far longer than any passing test takes.
constexpr std::chrono::seconds test_limit{20};
// A response counts as complete when no byte arrives for this long.
constexpr milliseconds quiet_time{60};

const std::string workspace = "rim";
constexpr std::int64_t prepaid = 1'000'000;

const tcp::endpoint any_port(asio::ip::address_v4::loopback(), 0);

std::size_t body_length(const received_request& request)
{
    const std::string length = request.header("Content-Length");
    return length.empty() ? 0 : std::stoul(length);
}

} // namespace

std::string received_request::header(const std::string& name) const
{
    std::istringstream lines(this->head);
    std::string line;
    while (std::getline(lines, line)) {
        if (boost::algorithm::istarts_with(line, name + ": ")) {
            return line.substr(name.size() + 2, line.find('\r') - name.size() - 2);
        }
    }
    return {};
}

class scripted_upstream::implementation {
public:
    implementation(asio::io_context& context_to_use, std::string name_to_use, script script_to_use)
        : context(context_to_use), acceptor(context_to_use, any_port), name(std::move(name_to_use)),
          answer(std::move(script_to_use))
    {
        this->accept();
    }

    asio::io_context& context;
    tcp::acceptor acceptor;
    const std::string name;
    const script answer;
    std::vector<received_request> received;
    int closed = 0;
    int accepted = 0;
    bool reads_bodies_late = false;

private:
    struct connection {
        explicit connection(tcp::socket socket_to_use)
            : socket(std::move(socket_to_use)), timer(this->socket.get_executor())
        {
        }

        tcp::socket socket;
        asio::steady_timer timer;
        std::string buffer;
        received_request request;
        upstream_reply reply;
        std::size_t next_part = 0;
    };

    void accept()
    {
        this->acceptor.async_accept([this](error_code failure, tcp::socket socket) {
            if (!failure) {
                const auto client = std::make_shared<connection>(std::move(socket));
                client->request.connection = ++this->accepted;
                this->read(client);
                this->accept();
            }
        });
    }

    void read(const std::shared_ptr<connection>& client)
    {
        asio::async_read_until(client->socket, asio::dynamic_buffer(client->buffer), "\r\n\r\n",
                               [this, client](error_code failure, std::size_t length) {
                                   if (failure) {
                                       ++this->closed;
                                       return;
                                   }
                                   client->request.head = client->buffer.substr(0, length);
                                   client->buffer.erase(0, length);
                                   client->request.body.clear();
                                   this->reads_bodies_late ? this->reply_to(client) : this->read_body(client);
                               });
    }

    void read_body(const std::shared_ptr<connection>& client)
    {
        const std::size_t length = body_length(client->request);
        if (client->buffer.size() >= length) {
            client->request.body = client->buffer.substr(0, length);
            client->buffer.erase(0, length);
            this->reads_bodies_late ? this->read(client) : this->reply_to(client);
            return;
        }
        asio::async_read(client->socket, asio::dynamic_buffer(client->buffer),
                         asio::transfer_exactly(length - client->buffer.size()),
                         [this, client](error_code failure, std::size_t) {
                             failure ? static_cast<void>(++this->closed) : this->read_body(client);
                         });
    }

    void reply_to(const std::shared_ptr<connection>& client)
    {
        this->received.push_back(client->request);
        client->reply = this->answer(client->request);
        client->next_part = 0;
        this->write(client);
    }

    void write(const std::shared_ptr<connection>& client)
    {
        if (client->next_part >= client->reply.parts.size()) {
            this->end_reply(client);
            return;
        }
        const bool is_last = client->next_part + 1 == client->reply.parts.size();
        std::string& part = client->reply.parts[client->next_part];
        client->next_part += is_last && client->reply.is_endless ? 0 : 1;
        boost::algorithm::replace_all(part, "{id}",
                                      client->request.header(std::string(adapter::header_names::attempt_id)));
        asio::async_write(client->socket, asio::buffer(part),
                          [this, client](error_code failure, std::size_t) {
                              if (failure) {
                                  ++this->closed;
                                  return;
                              }
                              client->timer.expires_after(client->reply.pause);
                              client->timer.async_wait([this, client](error_code) { this->write(client); });
                          });
    }

    void end_reply(const std::shared_ptr<connection>& client)
    {
        error_code ignored; // The peer may have closed first.
        if (client->reply.is_reset) {
            client->socket.set_option(asio::socket_base::linger(true, 0), ignored);
        }
        if (client->reply.is_reset || client->reply.is_closed) {
            client->socket.close(ignored);
            return;
        }
        this->reads_bodies_late ? this->read_body(client) : this->read(client);
    }
};

scripted_upstream::scripted_upstream(asio::io_context& context, std::string name, script script_to_use)
    : state(std::make_unique<implementation>(context, std::move(name), std::move(script_to_use)))
{
}

scripted_upstream::~scripted_upstream() = default;

gateway::upstream scripted_upstream::entry() const
{
    return gateway::upstream{.id = this->state->name,
                             .service = "desk",
                             .address = "127.0.0.1",
                             .port = this->state->acceptor.local_endpoint().port(),
                             .availability_zone = "here",
                             .version = "v1"};
}

const std::vector<received_request>& scripted_upstream::requests() const
{
    return this->state->received;
}

void scripted_upstream::read_bodies_late()
{
    constexpr int receive_buffer_bytes = 8192;
    this->state->reads_bodies_late = true;
    this->state->acceptor.set_option(asio::socket_base::receive_buffer_size(receive_buffer_bytes));
}

int scripted_upstream::closed_connections() const
{
    return this->state->closed;
}

class loopback_gateway::implementation {
public:
    explicit implementation(std::size_t response_memory)
        : grant_pool({.holder = "node.0", .draw = {.horizon = std::chrono::seconds(10)}}),
          budget(this->grant_pool, {.can_draw = [] { return true; },
                                    .is_ledger_writer = [] { return true; },
                                    .borrow = [](const std::string&, std::int64_t,
                                                 auto on_loan) { on_loan(tl::unexpected(core::error{})); },
                                    .report =
                                        [](const gateway::outgoing_loan_report&, auto) {
                                        }}),
          rollouts(this->rollout_options()),
          responses(response_memory), context{.io = this->io,
                                              .availability_zone = this->zone,
                                              .dialect = this->dialect,
                                              .budget = this->budget,
                                              .rollouts = this->rollouts,
                                              .crashes = this->crashes,
                                              .answered = this->answered,
                                              .limits = this->limits,
                                              .requests = this->requests,
                                              .responses = this->responses,
                                              .output = this->output},
          ledger(budget::grant_pool::object_key(0))
    {
        const auto stored =
            gateway::store_deposits(this->store.hooks(), this->grant_pool,
                                    {.totals = {{workspace, prepaid}}, .node = "x", .holder = "x.0"});
        cr_assert(stored.has_value());
    }

    gateway::rollout_controller_options rollout_options()
    {
        return {.node = "node",
                .process = "node.0",
                .orders = [this] { return this->context.board.rollouts.read(); },
                .members = [this] { return this->context.board.members.read(); },
                .upstreams = [this] { return this->context.board.upstreams.read(); },
                .in_flight = [this](const std::string& id) { return this->context.loads.read(id).in_flight; },
                .send =
                    [this](const gateway::member&, const gateway::rollout_report& report, core::steady_time,
                           const auto& on_answer) {
                        this->reported = report.evidence;
                        on_answer(tl::unexpected(core::error{}));
                    },
                .write =
                    [](const gateway::rollout_order&, gateway::rollout_state, const auto& on_done) {
                        on_done(platform::put_outcome{.applied = true});
                    }};
    }

    /** Draws budget from the ledger and settles it, as the control thread of a node does. */
    void update_budget()
    {
        for (const budget::shard_update& update :
             this->grant_pool.collect_updates(std::chrono::steady_clock::now())) {
            const auto written = budget::execute_update(this->ledger, this->store.hooks(), update);
            cr_assert(written.has_value());
            this->grant_pool.finish_update(update, *written);
        }
        this->budget.check(std::chrono::steady_clock::now());
    }

    bool run_until(const std::function<bool()>& condition)
    {
        const auto limit = std::chrono::steady_clock::now() + test_limit;
        while (!condition() && std::chrono::steady_clock::now() < limit) {
            this->update_budget();
            this->io.run_for(milliseconds(2));
            this->io.restart();
        }
        return condition();
    }

    asio::io_context io;
    const std::string zone = "here";
    const gateway::header_dialect dialect = adapter::make_header_dialect();
    fake_object_store store;
    budget::grant_pool grant_pool;
    gateway::budget_access budget;
    gateway::version_evidence reported;
    gateway::rollout_controller rollouts;
    gateway::crash_watch crashes{this->io};
    gateway::answered_parts answered;
    gateway::upstream_limits limits{{.node = "node", .members = [] {
                                         return nullptr;
                                     }}};
    gateway::memory_account requests{std::size_t{64} << 20U};
    gateway::memory_account responses;
    gateway::memory_account output{std::size_t{64} << 20U};
    gateway::gateway_context context;
    escrow::ledger_client ledger;
    std::list<std::unique_ptr<scripted_upstream>> upstreams;
    std::unique_ptr<gateway::front_listener> front;
    std::uint16_t port = 0;
    std::optional<tcp::socket> silent_requester;
};

loopback_gateway::loopback_gateway(std::size_t response_memory)
    : state(std::make_unique<implementation>(response_memory))
{
    tcp::acceptor probe(this->state->io, any_port);
    this->state->port = probe.local_endpoint().port();
    probe.close();
    this->state->front = std::make_unique<gateway::front_listener>(
        this->state->context, tcp::endpoint(asio::ip::address_v4::loopback(), this->state->port));
    cr_assert(this->state->front->start().has_value());
}

loopback_gateway::~loopback_gateway()
{
    this->state->io.stop();
}

scripted_upstream& loopback_gateway::add_upstream(scripted_upstream::script script_to_use)
{
    const std::string name = "upstream-" + std::to_string(this->state->upstreams.size());
    this->state->upstreams.push_back(
        std::make_unique<scripted_upstream>(this->state->io, name, std::move(script_to_use)));
    auto table = std::make_shared<gateway::upstream_table>();
    for (const std::unique_ptr<scripted_upstream>& entry : this->state->upstreams) {
        table->by_service["desk"].push_back(std::make_shared<gateway::upstream>(entry->entry()));
    }
    this->state->context.board.upstreams.publish(table);
    return *this->state->upstreams.back();
}

void loopback_gateway::configure(gateway::route changed, std::size_t body_limit)
{
    changed.host = "shop.example";
    changed.path_prefix = "/r/";
    changed.shares = {{"desk", 1}};
    gateway::configuration source{.version = 1};
    source.routes.push_back(std::move(changed));
    source.services["desk"] = {.name = "desk", .engine = gateway::engine_facts{.tokens_per_event = 5}};
    source.workspaces.push_back({.name = workspace, .keys = {"k1"}, .prepaid_tokens = prepaid});
    source.limits.header_bytes = 4096;
    source.limits.body_bytes = body_limit;
    this->state->context.board.routes.publish(std::make_shared<gateway::route_table>(std::move(source)));
}

std::string loopback_gateway::send(const std::string& bytes)
{
    return this->send_together({bytes}).front();
}

std::vector<std::string> loopback_gateway::send_together(const std::vector<std::string>& requests)
{
    struct requester {
        explicit requester(asio::io_context& context) : socket(context) {}

        tcp::socket socket;
        std::string response;
        std::array<char, 4096> part{};
        bool is_over = false;
        std::function<void()> read;
    };
    std::list<requester> requesters;
    auto last_byte = std::chrono::steady_clock::now();
    for (const std::string& bytes : requests) {
        requester& client = requesters.emplace_back(this->state->io);
        client.socket.connect(tcp::endpoint(asio::ip::address_v4::loopback(), this->state->port));
        asio::write(client.socket, asio::buffer(bytes));
        client.read = [&client, &last_byte] {
            client.socket.async_read_some(asio::buffer(client.part),
                                          [&client, &last_byte](error_code failure, std::size_t count) {
                                              client.response.append(client.part.data(), count);
                                              last_byte = std::chrono::steady_clock::now();
                                              if (failure) {
                                                  client.is_over = true;
                                                  return;
                                              }
                                              client.read();
                                          });
        };
        client.read();
    }
    auto last_busy = last_byte;
    this->state->run_until([&] {
        const auto now = std::chrono::steady_clock::now();
        // The end of a response is still on its way when its request has just ended after a pause.
        last_busy = this->state->context.counts.requests_in_flight == 0 ? last_busy : now;
        const bool is_quiet = now - std::max(last_byte, last_busy) > quiet_time;
        return std::all_of(requesters.begin(), requesters.end(), [is_quiet](const requester& client) {
            return client.is_over || (is_quiet && !client.response.empty());
        });
    });
    std::vector<std::string> responses;
    for (requester& client : requesters) {
        client.socket.close();
        responses.push_back(std::move(client.response));
    }
    this->state->io.run_for(milliseconds(1));
    this->state->io.restart();
    return responses;
}

void loopback_gateway::send_without_reading(const std::string& bytes)
{
    constexpr int receive_buffer_bytes = 8192;
    this->state->silent_requester.emplace(this->state->io);
    tcp::socket& socket = *this->state->silent_requester;
    socket.open(tcp::v4());
    socket.set_option(asio::socket_base::receive_buffer_size(receive_buffer_bytes));
    socket.connect(tcp::endpoint(asio::ip::address_v4::loopback(), this->state->port));
    asio::write(socket, asio::buffer(bytes));
}

std::string loopback_gateway::read_rest()
{
    std::string response;
    bool is_over = false;
    asio::async_read(*this->state->silent_requester, asio::dynamic_buffer(response),
                     [&is_over](error_code, std::size_t) { is_over = true; });
    this->state->run_until([&is_over] { return is_over; });
    this->state->silent_requester.reset();
    this->state->io.run_for(milliseconds(1));
    this->state->io.restart();
    return response;
}

void loopback_gateway::leave()
{
    this->state->silent_requester.reset();
}

void loopback_gateway::close_all_but_deliveries()
{
    this->state->front->close_all_but_deliveries();
}

void loopback_gateway::send_and_leave(const std::string& bytes)
{
    tcp::socket socket(this->state->io);
    socket.connect(tcp::endpoint(asio::ip::address_v4::loopback(), this->state->port));
    asio::write(socket, asio::buffer(bytes));
    cr_assert(this->state->run_until([this] { return !this->state->upstreams.front()->requests().empty(); }));
    socket.close();
}

bool loopback_gateway::run_until(const std::function<bool()>& condition)
{
    return this->state->run_until(condition);
}

void loopback_gateway::answer_by(core::steady_time latest)
{
    this->state->front->answer_by(latest);
}

gateway::drain_state& loopback_gateway::drain()
{
    return this->state->context.drain;
}

gateway::counters& loopback_gateway::counts()
{
    return this->state->context.counts;
}

std::int64_t loopback_gateway::billed_tokens() const
{
    const auto found = this->state->store.peek(budget::grant_pool::object_key(0));
    std::int64_t total = 0;
    const escrow::ledger ledger = *escrow::ledger_from_json(found->value);
    for (const auto& [holder, entry] : ledger.accounts.at(workspace).holders) {
        total += entry.granted;
    }
    return total - this->state->grant_pool.free(workspace);
}

void loopback_gateway::start_rollout(const std::string& target)
{
    auto members = std::make_shared<gateway::member_list>();
    members->members = {{.id = "node"}, {.id = "judge"}};
    this->state->context.board.members.publish(members);
    auto orders = std::make_shared<gateway::rollout_table>();
    (*orders)["desk"] = {.order = {.service = "desk", .target = target, .duration = std::chrono::seconds(60)},
                         .first_seen = std::chrono::steady_clock::now()};
    this->state->context.board.rollouts.publish(orders);
    this->state->rollouts.tick();
}

gateway::version_evidence loopback_gateway::rollout_evidence()
{
    const auto next_report = std::chrono::steady_clock::now() + std::chrono::milliseconds(500);
    this->run_until([next_report] { return std::chrono::steady_clock::now() >= next_report; });
    this->state->rollouts.tick();
    return this->state->reported;
}

} // namespace samphireway::testing
