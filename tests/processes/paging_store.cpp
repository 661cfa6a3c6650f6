#include "processes/paging_store.h"

#include <cctype>
#include <map>
#include <sstream>

namespace samphireway::testing {

namespace {

constexpr const char* half_pair_escape = "\\ud83d";

/** Decodes a value of a form. */
std::string decode(const std::string& text)
{
    std::string result;
    for (std::size_t at = 0; at < text.size(); ++at) {
        const bool is_escape = text[at] == '%' && at + 2 < text.size() &&
                               std::isxdigit(static_cast<unsigned char>(text[at + 1])) != 0 &&
                               std::isxdigit(static_cast<unsigned char>(text[at + 2])) != 0;
        if (is_escape) {
            result += static_cast<char>(std::stoi(text.substr(at + 1, 2), nullptr, 16));
            at += 2;
        }
        else {
            result += text[at] == '+' ? ' ' : text[at];
        }
    }
    return result;
}

std::map<std::string, std::string> parse_query(const std::string& target)
{
    std::map<std::string, std::string> result;
    const std::size_t mark = target.find('?');
    std::istringstream items(mark == std::string::npos ? "" : target.substr(mark + 1));
    for (std::string item; std::getline(items, item, '&');) {
        const std::size_t equals = item.find('=');
        result[item.substr(0, equals)] = equals == std::string::npos ? "" : decode(item.substr(equals + 1));
    }
    return result;
}

std::string replace_all(std::string text, const std::string& before, const std::string& after)
{
    for (std::size_t at = text.find(before); at != std::string::npos;
         at = text.find(before, at + after.size())) {
        text.replace(at, before.size(), after);
    }
    return text;
}

} // namespace

paging_store::paging_store(stage::store& whole_to_use, std::size_t page_entries_to_use)
    : whole(whole_to_use), page_entries(page_entries_to_use)
{
}

void paging_store::forget_history()
{
    this->oldest_watched = this->whole.set("marks", "history", Json::Value(Json::objectValue));
}

void paging_store::stop()
{
    this->front.stop();
}

void paging_store::serve(stage::channel& from)
{
    const auto to = stage::channel::connect(this->whole.port());
    while (std::optional<stage::request> call = stage::read_request_head(from)) {
        if (!stage::read_request_body(from, *call)) {
            return;
        }
        const stage::response answered = this->answer(*to, *call);
        if (answered.status == 0 ||
            !from.write("HTTP/1.1 " + std::to_string(answered.status) +
                        " X\r\nContent-Type: application/json\r\nContent-Length: " +
                        std::to_string(answered.body.size()) + "\r\n\r\n" + answered.body)) {
            return;
        }
    }
}

stage::response paging_store::answer(stage::channel& to, const stage::request& call)
{
    if (call.target.find('#') != std::string::npos) {
        return {.status = 400, .headers = {}, .body = "{}"};
    }
    const std::map<std::string, std::string> query = parse_query(call.target);
    const std::string path = call.target.substr(0, call.target.find('?'));
    const bool is_watch = query.contains("watch");
    const bool is_list = call.method == "GET" && !is_watch &&
                         path.find('/', std::string("/objects/").size()) == std::string::npos;
    to.write(call.method + " " + (is_list ? path : call.target) +
             " HTTP/1.1\r\nHost: store\r\nContent-Length: " + std::to_string(call.body.size()) + "\r\n\r\n" +
             call.body);
    stage::response answered = stage::read_response(to);
    if (is_watch && answered.status != 0 && std::stoll(query.at("watch")) < this->oldest_watched) {
        return {.status = 410, .headers = {}, .body = "{}"};
    }
    if (is_list && answered.status == 200) {
        answered.body = this->cut_page(answered.body, query.contains("afterRev") ? query.at("afterRev") : "");
    }
    return answered;
}

std::string paging_store::cut_page(const std::string& list, const std::string& after) const
{
    // The parser takes no half of a surrogate pair.
    std::istringstream text(replace_all(list, half_pair_escape, stage::store::half_pair));
    Json::Value page;
    text >> page;
    Json::Value items(Json::arrayValue);
    for (const Json::Value& item : page["items"]) {
        if (item["metadata"]["name"].asString() <= after) {
            continue;
        }
        if (items.size() == this->page_entries) {
            page["hasMore"] = true;
            break;
        }
        items.append(item);
    }
    page["items"] = items;
    Json::StreamWriterBuilder writer;
    writer["indentation"] = "";
    writer["emitUTF8"] = true;
    return replace_all(Json::writeString(writer, page), stage::store::half_pair, half_pair_escape);
}

} // namespace samphireway::testing
