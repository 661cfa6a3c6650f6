#include "metrics/exposition/text_writer.h"

#include <cstdio>

namespace samphireway::metrics {

namespace {

void append_escaped(std::string& output, std::string_view value)
{
    for (const char character : value) {
        if (character == '\n') {
            output += "\\n";
            continue;
        }
        if (character == '"' || character == '\\') {
            output += '\\';
        }
        output += character;
    }
}

std::string format(double value)
{
    constexpr std::size_t maximum_length = 32;
    std::string text(maximum_length, '\0');
    const int length = std::snprintf(text.data(), text.size(), "%.10g", value);
    text.resize(static_cast<std::size_t>(length));
    return text;
}

} // namespace

void text_writer::begin(std::string_view metric, std::string_view type, std::string_view help)
{
    this->name = metric;
    this->output.append("# HELP ").append(metric).append(" ").append(help).append("\n");
    this->output.append("# TYPE ").append(metric).append(" ").append(type).append("\n");
}

void text_writer::add_line(std::string_view suffix, const labels& series, std::string_view bound,
                           std::string_view value)
{
    this->output.append(this->name).append(suffix);
    char separator = '{';
    for (const auto& [label, content] : series) {
        this->output += separator;
        this->output.append(label).append("=\"");
        append_escaped(this->output, content);
        this->output += '"';
        separator = ',';
    }
    if (!bound.empty()) {
        this->output += separator;
        this->output.append("le=\"").append(bound).append("\"");
        separator = ',';
    }
    this->output += separator == ',' ? "} " : " ";
    this->output.append(value).append("\n");
}

void text_writer::add(const labels& series, std::int64_t value)
{
    this->add_line("", series, "", std::to_string(value));
}

void text_writer::add(const labels& series, const histogram_reading& reading)
{
    std::uint64_t cumulative = 0;
    for (std::size_t index = 0; index < duration_bounds.size(); ++index) {
        cumulative += reading.buckets.at(index);
        this->add_line("_bucket", series, format(duration_bounds.at(index)), std::to_string(cumulative));
    }
    this->add_line("_bucket", series, "+Inf", std::to_string(reading.count));
    this->add_line("_sum", series, "", format(reading.sum_seconds));
    this->add_line("_count", series, "", std::to_string(reading.count));
}

const std::string& text_writer::text() const
{
    return this->output;
}

} // namespace samphireway::metrics
