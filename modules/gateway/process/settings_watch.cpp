#include "gateway/process/settings_watch.h"

namespace samphireway::gateway {

namespace {

constexpr std::chrono::seconds check_interval{1};

std::filesystem::file_time_type modification_time(const std::string& file)
{
    std::error_code missing; // A file that is being replaced is looked at again at the next check.
    return std::filesystem::last_write_time(file, missing);
}

} // namespace

settings_watch::settings_watch(std::string watched_file)
    : file(std::move(watched_file)), modified_at(modification_time(this->file)),
      next_check(std::chrono::steady_clock::now() + check_interval)
{
}

bool settings_watch::has_changed()
{
    const auto now = std::chrono::steady_clock::now();
    if (now < this->next_check) {
        return false;
    }
    this->next_check = now + check_interval;
    const std::filesystem::file_time_type time = modification_time(this->file);
    const bool is_changed = time != this->modified_at;
    this->modified_at = time;
    return is_changed;
}

} // namespace samphireway::gateway
