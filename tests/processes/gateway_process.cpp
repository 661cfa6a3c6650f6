#include "processes/gateway_process.h"

#include <algorithm>
#include <arpa/inet.h>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace samphireway::testing {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds poll_interval{50};

std::string make_directory()
{
    std::string pattern = (std::filesystem::temp_directory_path() / "samphireway-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("cannot create a temporary directory");
    }
    return pattern;
}

/** Returns a free port below those that the system gives to other sockets, which could take it before the
 * node listens. Tests that run at the same time begin at different ports. */
int reserve_port()
{
    constexpr int first = 10000;
    constexpr int count = 20000;
    constexpr int per_test = 20;
    static int offset = ::getpid() * per_test;
    while (true) {
        const int port = first + offset++ % count;
        const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        const bool is_free = ::bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
        ::close(descriptor);
        if (is_free) {
            return port;
        }
    }
}

std::string loopback_address(int port)
{
    return "\"127.0.0.1:" + std::to_string(port) + "\"";
}

} // namespace

temporary_directory::temporary_directory() : path(make_directory()) {}

temporary_directory::~temporary_directory()
{
    if (std::getenv("SAMPHIREWAY_TEST_KEEP_LOGS") == nullptr) {
        std::error_code ignored; // What cannot be removed stays in the system's temporary directory.
        std::filesystem::remove_all(this->path, ignored);
    }
}

gateway_process::gateway_process(gateway_process_options options_to_use)
    : options(std::move(options_to_use)), front(reserve_port()), probes(reserve_port()),
      internal(reserve_port())
{
    this->write_settings();
    if (this->options.starts_at_once) {
        this->start();
    }
}

gateway_process::~gateway_process()
{
    if (this->process > 0) {
        ::kill(this->process, SIGKILL);
        ::waitpid(this->process, nullptr, 0);
    }
}

void gateway_process::write_settings() const
{
    std::ofstream(this->settings_path())
        << "{\"node\": {\"id\": \"" << this->options.id
        << "\", \"availability_zone\": \"toto\", \"cpu_share\": 0.25, \"link_mbps\": "
           "1000.0, \"memory_mb\": "
        << this->options.memory_mb << "},\n\"listen\": {\"requesters\": " << loopback_address(this->front)
        << ", \"probes\": " << loopback_address(this->probes)
        << ", \"internal\": " << loopback_address(this->internal)
        << "},\n\"object_api\": {\"address\": " << loopback_address(this->options.store_port) << "},\n"
        << (this->options.relay_minimum_nodes == 0
                ? ""
                : "\"relays\": {\"minimum_nodes\": " + std::to_string(this->options.relay_minimum_nodes) +
                      "},\n")
        << "\"rollouts\": {\"exposure_share\": 0.1, \"exposure_slack\": 54},\n"
        << "\"stop\": {\"grace_ms\": 8000}}\n";
}

void gateway_process::start()
{
    const std::string settings = this->settings_path();
    const std::string log = this->log_path();
    const pid_t child = ::fork();
    if (child == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL); // The node ends with the test, also if that is killed.
        ::setenv("SAMPHIREWAY_TEST_SETTINGS", settings.c_str(), 1);
        const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(out, STDOUT_FILENO);
        ::dup2(out, STDERR_FILENO);
        if (this->options.maximum_descriptors > 0) {
            const auto count = static_cast<rlim_t>(this->options.maximum_descriptors);
            const rlimit limit{.rlim_cur = count, .rlim_max = count};
            ::setrlimit(RLIMIT_NOFILE, &limit);
        }
        if (this->options.first_descriptors > 0) {
            ::close_range(STDERR_FILENO + 1, ~0U, 0); // Those of the test would count.
            rlimit limit{};
            ::getrlimit(RLIMIT_NOFILE, &limit);
            limit.rlim_cur = static_cast<rlim_t>(this->options.first_descriptors);
            ::setrlimit(RLIMIT_NOFILE, &limit);
        }
        const char* const program =
            this->options.program.empty() ? SAMPHIREWAY_PROGRAM : this->options.program.c_str();
        ::execl(program, program, "gateway", "--settings-variable", "SAMPHIREWAY_TEST_SETTINGS", nullptr);
        ::_exit(127);
    }
    this->process = child;
}

bool gateway_process::wait_ready(milliseconds time)
{
    const auto deadline = std::chrono::steady_clock::now() + time;
    while (std::chrono::steady_clock::now() < deadline) {
        try {
            const auto probe = stage::channel::connect(this->probes);
            probe->write("GET /readiness HTTP/1.1\r\nHost: node\r\n\r\n");
            if (probe->wait_readable(milliseconds(500)) && stage::read_response(*probe).status == 200) {
                return true;
            }
        }
        catch (const std::exception&) {
            // The node does not listen yet.
        }
        std::this_thread::sleep_for(poll_interval);
    }
    return false;
}

void gateway_process::signal(int number) const
{
    ::kill(this->process, number);
}

bool gateway_process::wait_log(const std::string& text, milliseconds time) const
{
    const auto deadline = std::chrono::steady_clock::now() + time;
    while (std::chrono::steady_clock::now() < deadline) {
        if (this->read_log().find(text) != std::string::npos) {
            return true;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    return false;
}

bool gateway_process::wait_end(milliseconds time)
{
    const auto deadline = std::chrono::steady_clock::now() + time;
    while (this->is_running() && std::chrono::steady_clock::now() < deadline) {
        std::this_thread::sleep_for(poll_interval);
    }
    return !this->is_running();
}

bool gateway_process::has_succeeded() const
{
    return this->process == 0 && WIFEXITED(this->wait_status) && WEXITSTATUS(this->wait_status) == 0;
}

bool gateway_process::was_killed() const
{
    return this->process == 0 && WIFSIGNALED(this->wait_status) && WTERMSIG(this->wait_status) == SIGKILL;
}

bool gateway_process::handles_signals() const
{
    std::ifstream status("/proc/" + std::to_string(this->process) + "/status");
    std::string line;
    unsigned long long handled = 0;
    while (std::getline(status, line)) {
        if (line.starts_with("SigBlk:") || line.starts_with("SigCgt:")) {
            handled |= std::stoull(line.substr(line.find(':') + 1), nullptr, 16);
        }
    }
    const auto bit = [](int number) {
        return 1ULL << static_cast<unsigned>(number - 1);
    };
    return (handled & bit(SIGHUP)) != 0 && (handled & bit(SIGTERM)) != 0;
}

std::string gateway_process::read_log() const
{
    std::ifstream log(this->log_path());
    return {std::istreambuf_iterator<char>(log), {}};
}

bool gateway_process::is_running()
{
    if (this->process > 0 && ::waitpid(this->process, &this->wait_status, WNOHANG) != 0) {
        this->process = 0;
    }
    return this->process > 0;
}

std::string gateway_process::describe_end() const
{
    constexpr std::streamoff shown_bytes = 2000;
    std::ifstream log(this->log_path(), std::ios::ate);
    log.seekg(std::max<std::streamoff>(0, static_cast<std::streamoff>(log.tellg()) - shown_bytes));
    const std::string end((std::istreambuf_iterator<char>(log)), std::istreambuf_iterator<char>());
    const std::string cause = WIFSIGNALED(this->wait_status)
                                  ? "signal " + std::to_string(WTERMSIG(this->wait_status))
                                  : "exit code " + std::to_string(WEXITSTATUS(this->wait_status));
    return this->options.id + " ended with " + cause + "; its log ends with\n" + end;
}

std::string gateway_process::settings_path() const
{
    return this->options.directory + "/" + this->options.id + ".json";
}

std::string gateway_process::log_path() const
{
    return this->options.directory + "/" + this->options.id + ".log";
}

long gateway_process::peak_kilobytes() const
{
    std::ifstream status("/proc/" + std::to_string(this->process) + "/status");
    std::string line;
    while (std::getline(status, line)) {
        if (line.starts_with("VmHWM:")) {
            return std::stol(line.substr(6));
        }
    }
    return 0;
}

std::size_t gateway_process::open_descriptors() const
{
    const std::filesystem::directory_iterator entries("/proc/" + std::to_string(this->process) + "/fd");
    return static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

bool gateway_process::limit_descriptors(int count) const
{
    rlimit limit{};
    ::prlimit(this->process, RLIMIT_NOFILE, nullptr, &limit);
    limit.rlim_cur = static_cast<rlim_t>(count);
    return ::prlimit(this->process, RLIMIT_NOFILE, &limit, nullptr) == 0;
}

} // namespace samphireway::testing
