#include "membership/rpc/peer_server.h"

#include "membership/rpc/peer_client.h"

#include <httplib.h>
#include <jsonrpccpp/server.h>
#include <thread>

namespace samphireway::membership {

namespace {

// Each connection occupies a thread, so idle ones are closed. Ring neighbours send every second and stay
// connected.
constexpr time_t keep_alive_seconds = 5;
constexpr std::size_t keep_alive_requests = 1000000;
constexpr time_t transfer_timeout_seconds = 2;

/** Passes the bodies of HTTP requests to the JSON-RPC library. */
class http_connector : public jsonrpc::AbstractServerConnector {
public:
    explicit http_connector(const peer_server_options& options_to_use) : options(options_to_use)
    {
        const std::size_t threads = options_to_use.threads;
        this->http.new_task_queue = [threads] {
            return new httplib::ThreadPool(threads);
        };
        this->http.set_tcp_nodelay(true);
        // By default the library lets a second process bind the same port and receive some of the messages.
        this->http.set_socket_options([](socket_t socket) {
            const int enabled = 1;
            setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
        });
        this->http.set_keep_alive_timeout(keep_alive_seconds);
        this->http.set_keep_alive_max_count(keep_alive_requests);
        this->http.set_read_timeout(transfer_timeout_seconds);
        this->http.set_write_timeout(transfer_timeout_seconds);
        this->http.set_payload_max_length(options_to_use.maximum_body_bytes);
        this->http.Post("/", [this](const httplib::Request& request, httplib::Response& response) {
            this->OnRequest(request.body, &response);
        });
    }

    bool StartListening() override
    {
        if (this->options.port == 0) {
            this->bound_port = this->http.bind_to_any_port(this->options.address.c_str());
        }
        else if (this->http.bind_to_port(this->options.address.c_str(), this->options.port)) {
            this->bound_port = this->options.port;
        }
        if (this->bound_port <= 0) {
            return false;
        }
        this->thread = std::thread([this] { this->http.listen_after_bind(); });
        return true;
    }

    bool StopListening() override
    {
        if (this->thread.joinable()) {
            this->http.stop();
            this->thread.join();
        }
        return true;
    }

    int port() const
    {
        return this->bound_port;
    }

    bool SendResponse(const std::string& response, void* target) override
    {
        static_cast<httplib::Response*>(target)->set_content(response, "application/json");
        return true;
    }

private:
    const peer_server_options options;
    httplib::Server http;
    int bound_port = 0;
    std::thread thread;
};

} // namespace

class peer_server::implementation : public jsonrpc::AbstractServer<peer_server::implementation> {
public:
    implementation(peer_server& owner_to_use, std::unique_ptr<http_connector> connector_to_use)
        : AbstractServer(*connector_to_use), connector(std::move(connector_to_use)), owner(owner_to_use)
    {
        const jsonrpc::Procedure exchange(exchange_method, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, "m",
                                          jsonrpc::JSON_OBJECT, nullptr);
        this->bindAndAddMethod(exchange, &implementation::exchange);
    }

    ~implementation() override
    {
        this->connector->StopListening();
    }

    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;

    int port() const
    {
        return this->connector->port();
    }

    void exchange(const Json::Value& parameters, Json::Value& result)
    {
        core::result<Json::Value> answer = this->owner.handle(parameters["m"]);
        if (!answer) {
            throw jsonrpc::JsonRpcException(core::http_status(answer.error().code), answer.error().message);
        }
        result = std::move(*answer);
    }

private:
    std::unique_ptr<http_connector> connector;
    peer_server& owner;
};

peer_server::peer_server(const peer_server_options& options, envelope_writer& writer_to_use,
                         envelope_reader& reader_to_use)
    : writer(writer_to_use), reader(reader_to_use),
      state(std::make_unique<implementation>(*this, std::make_unique<http_connector>(options)))
{
}

peer_server::~peer_server() = default;

void peer_server::add_method(const std::string& name, peer_method method)
{
    this->methods[name] = std::move(method);
}

core::result<void> peer_server::start()
{
    if (!this->state->StartListening()) {
        return core::failure(core::error_code::invalid_argument,
                             "cannot bind the address and port for peer messages");
    }
    return {};
}

int peer_server::port() const
{
    return this->state->port();
}

void peer_server::stop()
{
    this->state->StopListening();
}

core::result<Json::Value> peer_server::handle(const Json::Value& message)
{
    const core::result<envelope> accepted = this->reader.read(message);
    if (!accepted) {
        core::log_event(core::log_level::warning, "peer_message_refused",
                        {{"reason", accepted.error().message}});
        return tl::unexpected(accepted.error());
    }
    std::vector<Json::Value> results;
    for (const peer_call& call : accepted->calls) {
        const auto method = this->methods.find(call.method);
        results.push_back(method == this->methods.end() ? Json::Value()
                                                        : method->second(accepted->sender, call.parameters));
    }
    return this->writer.write_answer(*accepted, results);
}

} // namespace samphireway::membership
