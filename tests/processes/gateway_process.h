#pragma once

#include "stage.hh"

#include <chrono>
#include <string>
#include <sys/types.h>

namespace samphireway::testing {

/** A directory for settings and logs that is removed with the object, unless SAMPHIREWAY_TEST_KEEP_LOGS is
 * set. */
class temporary_directory {
public:
    temporary_directory();
    ~temporary_directory();
    temporary_directory(const temporary_directory&) = delete;
    temporary_directory& operator=(const temporary_directory&) = delete;

    const std::string path;
};

/** Settings of a gateway process under test. */
struct gateway_process_options {
    std::string id;
    int store_port = 0;
    std::string directory;
    int memory_mb = 260;
    int maximum_descriptors = 0; ///< Soft and hard limit of the process; 0 leaves the inherited one.
    int first_descriptors = 0;   ///< Soft limit alone, which `limit_descriptors` can raise; 0 leaves it.
    bool starts_at_once = true;
    int relay_minimum_nodes = 0; ///< Smallest fleet with relays; 0 leaves the default.
    std::string program;         ///< Path of another build; empty for the one under test.
};

/** `samphireway gateway` as a process of its own on loopback addresses; killed with the object. */
class gateway_process {
public:
    explicit gateway_process(gateway_process_options options_to_use);
    ~gateway_process();
    gateway_process(const gateway_process&) = delete;
    gateway_process& operator=(const gateway_process&) = delete;

    /** Starts the process, unless the constructor has done so. */
    void start();

    void signal(int number) const;

    /** Waits until the process counts as ready. Returns false after the time. */
    bool wait_ready(std::chrono::milliseconds time);

    /** Waits until the log holds a text. Returns false after the time. */
    bool wait_log(const std::string& text, std::chrono::milliseconds time) const;

    /** Waits until the process has ended. Returns false after the time. */
    bool wait_end(std::chrono::milliseconds time);

    /** Returns whether the process has ended with status 0. */
    bool has_succeeded() const;

    /** Returns whether the process has ended by SIGKILL. */
    bool was_killed() const;

    bool is_running();

    /** Returns whether SIGHUP and SIGTERM have an effect of the node's own; before that they end the process
     * while it is loaded. */
    bool handles_signals() const;

    std::string read_log() const;

    /** Returns how the process ended, with the end of its log. */
    std::string describe_end() const;

    /** Returns the largest resident memory so far, in kilobytes. */
    long peak_kilobytes() const;

    std::size_t open_descriptors() const;

    /** Sets the soft limit of open descriptors of the process. Returns whether the system allows it. */
    bool limit_descriptors(int count) const;

    int requester_port() const noexcept
    {
        return this->front;
    }

    int internal_port() const noexcept
    {
        return this->internal;
    }

    std::string settings_path() const;

private:
    void write_settings() const;
    std::string log_path() const;

    const gateway_process_options options;
    const int front;
    const int probes;
    const int internal;
    pid_t process = 0;
    int wait_status = 0;
};

} // namespace samphireway::testing
