#include "configuration/configuration.h"
#include "support/fake_object_store.h"

#include <criterion/criterion.h>

namespace {

using namespace samphireway;
using configuration::edit_request;

Json::Value parse(const std::string& text)
{
    return *core::parse_json(text);
}

/** An editor on a fake platform, and a repository that takes the platform's objects. */
struct editor_fixture {
    configuration::editor make_editor()
    {
        return {this->store.hooks(),
                4,
                {.stored = [this](const std::string& key) { return this->repository.stored(key); },
                 .current =
                     [this] {
                         return this->repository.current();
                     }}};
    }

    void update_repository()
    {
        const auto batch = this->store.hooks().list("config/");
        for (const platform::object& object : batch->changed) {
            this->repository.offer(object.key, object.value);
        }
    }

    testing::fake_object_store store;
    configuration::repository repository{4};
    configuration::editor editor = make_editor();
};

const char* const engine =
    R"({"address": "10.0.0.1", "port": 80, "models": [{"model": "m", "version": "1"}]})";

} // namespace

// Guards against applying an edit twice when it is sent again with its idempotency key, also after
// another edit was made in between.
Test(editor, repeated_edit_is_applied_once)
{
    editor_fixture fixture;
    const auto location = fixture.editor.plan_location("p");
    const edit_request first{.idempotency_key = "k1", .operator_name = "ann"};
    const Json::Value one = parse(R"({"workspace": "one"})");
    cr_assert_eq(fixture.editor.apply(location, one, first)->in_force, 1);
    cr_assert_eq(
        fixture.editor.apply(location, parse(R"({"workspace": "two"})"), {.operator_name = "ben"})->in_force,
        2);
    const auto repeated = fixture.editor.apply(location, one, first);
    cr_assert(repeated.has_value());
    cr_assert(repeated->is_repeated);
    cr_assert_eq(repeated->in_force, 1);
    cr_assert_eq(fixture.editor.read(location)->value["workspace"].asString(), "two");
    const auto misused = fixture.editor.apply(location, parse(R"({"workspace": "three"})"), first);
    cr_assert(misused.error().cause.code == core::error_code::duplicate_request);
    const edit_request other{.idempotency_key = "k1", .operator_name = "ben"};
    cr_assert_eq(fixture.editor.apply(location, one, other)->in_force, 3, "keys are scoped to the operator");
}

// Guards against an edit that conflicts with its own first write, or is written twice, when the
// platform's answer is lost.
Test(editor, lost_write_answer_is_recognised)
{
    editor_fixture fixture;
    const auto location = fixture.editor.plan_location("p");
    fixture.store.lose_answers = 1;
    cr_assert_eq(fixture.editor.apply(location, parse(R"({"workspace": "one"})"), {.expected = 0})->in_force,
                 1);
    fixture.store.lose_writes = 1;
    cr_assert_eq(fixture.editor.apply(location, parse(R"({"workspace": "two"})"), {.expected = 1})->in_force,
                 2);
    cr_assert_eq(fixture.editor.read(location)->in_force, 2);
}

// Guards against a conflict that does not report the entry in force and the edits made since.
Test(editor, conflict_returns_the_entry_and_the_changes)
{
    editor_fixture fixture;
    const auto location = fixture.editor.plan_location("p");
    fixture.editor.apply(location, parse(R"({"workspace": "one"})"), {.operator_name = "ann"});
    fixture.editor.apply(location, parse(R"({"workspace": "two"})"), {.expected = 1, .operator_name = "ben"});
    const auto conflicting =
        fixture.editor.apply(location, parse(R"({"workspace": "three"})"), {.expected = 1});
    cr_assert(conflicting.error().cause.code == core::error_code::conflict);
    cr_assert_eq(conflicting.error().current["workspace"].asString(), "two");
    cr_assert_eq(conflicting.error().in_force, 2);
    cr_assert_eq(core::write_json(conflicting.error().changes),
                 R"([{"entry":"p","fields":["workspace"],"generation":2,"operator":"ben"}])");
    const auto created =
        fixture.editor.apply(location, parse(R"({"workspace": "x"})"), {.must_not_exist = true});
    cr_assert(created.error().cause.code == core::error_code::conflict);
    const auto absent = fixture.editor.apply(fixture.editor.plan_location("q"), Json::Value(), {});
    cr_assert(absent.error().cause.code == core::error_code::not_found);
}

// Guards against access entries that name an unknown upstream or model, and against the removal of
// upstreams that access entries name.
Test(editor, checks_references_across_lists)
{
    editor_fixture fixture;
    const auto access = fixture.editor.access_location("p");
    const auto upstream = fixture.editor.upstream_location("u");
    const Json::Value entry = parse(R"([{"model": "m", "upstream": "u"}])");
    const auto unknown = fixture.editor.apply(access, entry, {});
    cr_assert(unknown.error().cause.message.find("access[0].upstream") != std::string::npos);
    cr_assert(fixture.editor.apply(upstream, parse(engine), {}).has_value());
    cr_assert(fixture.editor.apply(access, entry, {}).has_value());
    const auto model = fixture.editor.apply(access, parse(R"([{"model": "m"}, {"model": "n"}])"), {});
    cr_assert(model.error().cause.message.find("access[1].model") != std::string::npos);
    fixture.update_repository();
    const auto removed = fixture.editor.apply(upstream, Json::Value(), {});
    cr_assert(removed.error().cause.message.find("plan p") != std::string::npos);
    cr_assert(fixture.editor.apply(access, Json::Value(), {}).has_value());
    fixture.update_repository();
    cr_assert(fixture.editor.apply(upstream, Json::Value(), {}).has_value());
}

// Guards against an edit that no node accepts because its object was removed from the platform, and the
// generation started at one again.
Test(editor, removed_object_is_rewritten_with_a_higher_generation)
{
    editor_fixture fixture;
    const auto location = fixture.editor.plan_location("p");
    fixture.editor.apply(location, parse(R"({"workspace": "one"})"), {});
    fixture.editor.apply(location, parse(R"({"workspace": "two"})"), {});
    fixture.update_repository();
    const auto stored = fixture.store.hooks().get(location.key);
    fixture.store.hooks().remove(location.key, stored->found->version);
    const auto again = fixture.editor.apply(location, parse(R"({"workspace": "three"})"), {.expected = 2});
    cr_assert(again.has_value());
    cr_assert_eq(again->in_force, 3);
}

// Guards against storing entries that nodes would reject, and against errors that do not name the
// field.
Test(editor, validation_errors_name_the_field)
{
    editor_fixture fixture;
    const auto expect = [&fixture](const auto& location, const std::string& text, const std::string& field) {
        const auto refused = fixture.editor.apply(location, parse(text), {});
        cr_assert(!refused.has_value(), "%s", text.c_str());
        cr_assert(refused.error().cause.message.find("field " + field) != std::string::npos, "%s",
                  refused.error().cause.message.c_str());
    };
    const auto plan = fixture.editor.plan_location("p");
    expect(plan, R"({"workspace": "a b"})", "workspace");
    expect(plan, R"({"workspace": "w", "enabled": "yes"})", "enabled");
    expect(plan, R"({"workspace": "w", "key_hashes": ["short"]})", "key_hashes");
    expect(plan, R"({"workspace": "w", "colour": 1})", "colour");
    const auto upstream = fixture.editor.upstream_location("u");
    expect(upstream, R"({"address": "10.0.0.1", "port": "80"})", "port");
    expect(upstream, R"({"address": "10.0.0.1", "port": 80, "models": {}})", "models");
    expect(upstream, R"({"address": "10.0.0.1", "port": 80, "agreed_tokens": -1})", "agreed_tokens");
}
