#include "settings/settings.h"

#include <criterion/criterion.h>
#include <random>

namespace {

using namespace samphireway;

constexpr const char* valid_document = R"({
  // Comments are allowed.
  "node": {"id": "n", "availability_zone": "z"},
  "listen": {"address": "127.0.0.1", "caller_port": 1, "admin_port": 2, "peer_port": 3},
  "platform": {"address": "127.0.0.1", "port": 4}
})";

Json::Value document()
{
    return *core::parse_json_with_comments(valid_document);
}

bool has_fault(const Json::Value& changed, const std::string& key)
{
    const settings::node_settings_result result = settings::read_node_settings(changed);
    for (const settings::settings_fault& fault : result.faults) {
        if (fault.key == key && !fault.found.empty() && !fault.allowed.empty()) {
            return true;
        }
    }
    return false;
}

} // namespace

// Guards against refusing a settings file that has only the required keys.
Test(node_settings, minimal_document_is_valid)
{
    cr_assert(settings::read_node_settings(document()).faults.empty());
}

// Guards against accepting a setting with a misspelt key, a wrong type, a value out of range, or a
// value that contradicts another one.
Test(node_settings, faults_name_their_key)
{
    Json::Value unknown = document();
    unknown["listen"]["cller_port"] = 5;
    cr_assert(has_fault(unknown, "listen.cller_port"));
    Json::Value wrong_type = document();
    wrong_type["node"]["id"] = 7;
    cr_assert(has_fault(wrong_type, "node.id"));
    Json::Value out_of_range = document();
    out_of_range["platform"]["port"] = 70000;
    cr_assert(has_fault(out_of_range, "platform.port"));
    Json::Value contradictory = document();
    contradictory["traffic"]["request_timeout_ms"] = 1000;
    contradictory["traffic"]["gap_timeout_ms"] = 2000;
    cr_assert(has_fault(contradictory, "traffic.gap_timeout_ms"));
}

// Guards against a crash, or a fault without a key, when bytes, types or members of a document are
// changed at random.
Test(node_settings, randomly_changed_documents_do_not_crash)
{
    std::mt19937_64 random(20261204);
    const std::string text = valid_document;
    const std::vector<Json::Value> values{Json::Value(),
                                          Json::Value(-1),
                                          Json::Value(1e300),
                                          Json::Value("x"),
                                          Json::Value(true),
                                          Json::Value(Json::arrayValue),
                                          Json::Value(Json::objectValue)};
    for (int round = 0; round < 5000; ++round) {
        std::string changed = text;
        changed[random() % changed.size()] = static_cast<char>(random());
        const core::result<Json::Value> parsed = core::parse_json_with_comments(changed);
        if (parsed) {
            settings::read_node_settings(*parsed);
        }
        Json::Value mutated = document();
        const std::vector<std::string> sections{"node",      "listen",    "platform", "peers",
                                                "peer_keys", "operators", "shards"};
        Json::Value& section = mutated[sections[random() % sections.size()]];
        const std::vector<std::string> names =
            section.isObject() ? section.getMemberNames() : std::vector<std::string>{};
        Json::Value& target =
            names.empty() || random() % 4 == 0 ? section : section[names[random() % names.size()]];
        target = values[random() % values.size()];
        for (const settings::settings_fault& fault : settings::read_node_settings(mutated).faults) {
            cr_assert(!fault.key.empty());
            cr_assert(!fault.allowed.empty());
        }
    }
}
