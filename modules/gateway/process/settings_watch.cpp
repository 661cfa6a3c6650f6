#include "gateway/process/settings_watch.h"

namespace samphireway::gateway {

namespace {

constexpr std::chrono::seconds check_interval{1};

std::filesystem::file_time_type modification_time(const std::string& file)
{
    std::error_code ignored; // A file that is missing while it is replaced is checked again next time.
    return std::filesystem::last_write_time(file, ignored);
}

} // namespace

settings_watch::settings_watch(std::string file_to_use)
    : file(std::move(file_to_use)), modified_at(modification_time(this->file)),
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
