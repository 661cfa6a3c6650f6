#pragma once

#include <chrono>
#include <filesystem>
#include <string>

namespace samphireway::gateway {

/** Detects by its modification time that a settings file was replaced or rewritten, without a signal. */
class settings_watch {
public:
    explicit settings_watch(std::string file_to_use);

    /** Returns whether the file has changed since the last check. Checks at most once a second and
     * otherwise returns false. */
    bool has_changed();

private:
    const std::string file;
    std::filesystem::file_time_type modified_at;
    std::chrono::steady_clock::time_point next_check;
};

} // namespace samphireway::gateway
