#include "core/json/stored_json.h"

#include "core/json/json.h"

#include <charconv>
#include <memory>
#include <string_view>

namespace samphireway::core {

namespace {

constexpr std::string_view null_value = "null";

/** Copies a JSON text without the values that the parser would refuse. */
class value_filter {
public:
    explicit value_filter(std::string_view text_to_use) : text(text_to_use)
    {
        this->copy.reserve(text_to_use.size());
    }

    std::string run()
    {
        while (this->position < this->text.size()) {
            const char next = this->text[this->position];
            if (next == '"') {
                this->copy += this->take_string();
            }
            else if (next == '{' || next == '[') {
                this->open();
            }
            else if (next == '-' || (next >= '0' && next <= '9')) {
                this->copy_number();
            }
            else {
                this->depth -= next == '}' || next == ']' ? 1 : 0;
                this->copy += next;
                ++this->position;
            }
        }
        return std::move(this->copy);
    }

private:
    std::string_view take_string()
    {
        const std::size_t begin = this->position++;
        while (this->position < this->text.size() && this->text[this->position] != '"') {
            this->position += this->text[this->position] == '\\' ? 2 : 1;
        }
        this->position = std::min(this->position + 1, this->text.size());
        return this->text.substr(begin, this->position - begin);
    }

    void open()
    {
        if (this->depth < maximum_stored_depth) {
            ++this->depth;
            this->copy += this->text[this->position++];
            return;
        }
        this->skip_container();
        this->copy += null_value;
    }

    void skip_container()
    {
        std::size_t open_containers = 0;
        do {
            const char next = this->text[this->position];
            if (next == '"') {
                this->take_string();
                continue;
            }
            open_containers += next == '{' || next == '[' ? 1 : 0;
            open_containers -= next == '}' || next == ']' ? 1 : 0;
            ++this->position;
        } while (open_containers > 0 && this->position < this->text.size());
    }

    void copy_number()
    {
        const std::size_t end =
            std::min(this->text.find_first_not_of("+-.0123456789eE", this->position), this->text.size());
        const std::string_view number = this->text.substr(this->position, end - this->position);
        double value = 0;
        const auto parsed = std::from_chars(number.data(), number.data() + number.size(), value);
        this->copy += parsed.ec == std::errc::result_out_of_range ? null_value : number;
        this->position = end;
    }

    const std::string_view text;
    std::string copy;
    std::size_t position = 0;
    int depth = 0;
};

} // namespace

result<Json::Value> parse_stored_json(const std::string& text)
{
    static const Json::CharReaderBuilder builder = [] {
        Json::CharReaderBuilder reader;
        reader["allowComments"] = false;
        reader["allowTrailingCommas"] = false;
        reader["collectComments"] = false;
        reader["failIfExtra"] = true;
        reader["rejectDupKeys"] = false;
        reader["stackLimit"] = maximum_json_depth;
        return reader;
    }();
    return detail::parse_json_with(value_filter(text).run(), builder);
}

} // namespace samphireway::core
