#include "core/json/stored_json.h"

#include "core/json/json.h"

#include <charconv>
#include <memory>
#include <optional>
#include <string_view>

namespace samphireway::core {

namespace {

constexpr std::string_view null_value = "null";
constexpr std::string_view replacement_character = "\\ufffd";
constexpr std::size_t unicode_escape_length = 6;

/** Returns the UTF-16 unit of the escape `\uXXXX` with which a text begins; nothing without one. */
std::optional<unsigned> leading_unicode_escape(std::string_view text)
{
    constexpr int hexadecimal = 16;
    if (!text.starts_with("\\u") || text.size() < unicode_escape_length) {
        return std::nullopt;
    }
    unsigned unit = 0;
    const char* const end = text.data() + unicode_escape_length;
    const auto parsed = std::from_chars(text.data() + 2, end, unit, hexadecimal);
    return parsed.ptr == end ? std::optional(unit) : std::nullopt;
}

bool is_high_surrogate(std::optional<unsigned> unit)
{
    return unit && *unit >= 0xd800 && *unit <= 0xdbff;
}

bool is_low_surrogate(std::optional<unsigned> unit)
{
    return unit && *unit >= 0xdc00 && *unit <= 0xdfff;
}

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
                this->copy_string();
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

    /** Copies a string, or `null` for a value with half of a surrogate pair: valid JSON, but no text. The
     * name of a member cannot be `null`, so its halves are replaced. */
    void copy_string()
    {
        std::string_view rest = this->take_string();
        std::string readable;
        bool has_half = false;
        while (!rest.empty()) {
            const std::size_t plain = std::min(rest.find('\\'), rest.size());
            readable += rest.substr(0, plain);
            rest.remove_prefix(plain);
            const std::optional<unsigned> unit = leading_unicode_escape(rest);
            const bool is_pair = is_high_surrogate(unit) &&
                                 is_low_surrogate(leading_unicode_escape(rest.substr(unicode_escape_length)));
            const bool is_half = !is_pair && (is_high_surrogate(unit) || is_low_surrogate(unit));
            const std::size_t length =
                std::min(unit ? unicode_escape_length * (is_pair ? 2 : 1) : 2, rest.size());
            readable += is_half ? replacement_character : rest.substr(0, length);
            rest.remove_prefix(length);
            has_half = has_half || is_half;
        }
        const std::size_t next = this->text.find_first_not_of(" \t\r\n", this->position);
        const bool is_member_name = next != std::string_view::npos && this->text[next] == ':';
        this->copy += has_half && !is_member_name ? null_value : readable;
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
