#pragma once

#include <chrono>
#include <filesystem>
#include <string>

namespace samphireway::gateway {

/** Notices that a settings file was replaced or rewritten, also without a signal. */
class settings_watch {
public:
    explicit settings_watch(std::string watched_file);

    /** Returns whether the file has changed since the last call. */
    bool has_changed();

private:
    const std::string file;
    std::filesystem::file_time_type modified_at;
    std::chrono::steady_clock::time_point next_check;
};

} // namespace samphireway::gateway
