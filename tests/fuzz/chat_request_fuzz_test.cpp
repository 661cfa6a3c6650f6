#include "fuzz/mutation.h"
#include "traffic/traffic.h"

#include <criterion/criterion.h>

namespace {

using namespace samphireway;

constexpr int rounds = 20000;

const std::vector<std::string> seeds{
    R"({"model":"m","max_tokens":5,"stream":true,"messages":[{"role":"user","content":"x \u00e9 \ud83d\ude00"}]})",
    R"({"model":"m","messages":[{"role":"system","content":""},{"role":"user","content":"y"}]})",
    R"({"model":"m","max_tokens":9223372036854775807,"messages":[{"role":"user","content":"z"}]})",
    R"({"messages":[[[[[[{"a":{"b":[1e308,-0.0,null,true]}}]]]]]],"model":{"x":"y"}})",
    "[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[["};

} // namespace

// Guards against a request body that crashes the parser, is accepted beyond the limits, or is refused with a
// verdict other than `not_run`.
Test(fuzz_chat_request, mutated_bodies_are_parsed_or_refused)
{
    const traffic::chat_limits limits{.default_output_tokens = 16, .maximum_output_tokens = 100};
    tests::mutation mutate(20261204);
    int accepted = 0;
    for (int round = 0; round < rounds; ++round) {
        const std::string body = mutate(seeds[static_cast<std::size_t>(round) % seeds.size()]);
        const core::result<traffic::chat_request> parsed = traffic::parse_chat_request(body, limits);
        if (!parsed) {
            cr_assert_eq(parsed.error().code, core::error_code::invalid_argument);
            cr_assert_eq(parsed.error().run, core::verdict::not_run);
            continue;
        }
        ++accepted;
        cr_assert(parsed->output_bound >= 1 && parsed->output_bound <= limits.maximum_output_tokens);
        cr_assert(parsed->prompt_bound > 0);
        cr_assert(parsed->body["messages"].isArray());
        cr_assert_eq(parsed->body["max_tokens"].asInt64(), parsed->output_bound);
    }
    cr_assert(accepted > 0,
              "no mutated body was accepted, so the test did not reach the code for valid requests");
}

// Guards against a parser that converts members of a wrong JSON type instead of refusing the request.
Test(fuzz_chat_request, every_wrong_type_is_refused)
{
    const std::vector<std::string> values{"null",  "1",  "-1", "1.5", "1e400",
                                          "\"x\"", "[]", "{}", "[1]", "\"\""};
    const core::result<Json::Value> valid = core::parse_json(seeds[0]);
    for (const std::string member : {"model", "stream", "messages", "max_tokens"}) {
        for (const std::string& value : values) {
            const core::result<Json::Value> replacement = core::parse_json("{\"v\":" + value + "}");
            if (!replacement) {
                continue;
            }
            Json::Value body = *valid;
            body[member] = (*replacement)["v"];
            const bool is_right_type =
                (member == "model" && body[member].isString()) || (member == "max_tokens" && value == "1");
            cr_assert_eq(traffic::parse_chat_request(core::write_json(body), {}).has_value(), is_right_type,
                         "%s: %s", member.c_str(), value.c_str());
        }
    }
}
