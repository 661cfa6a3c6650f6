#include "gateway/quarantine/quarantine_book.h"

#include "support/fake_object_store.h"

#include <cmath>
#include <criterion/criterion.h>
#include <cstdio>
#include <memory>
#include <random>

namespace {

using namespace samphireway;
using namespace std::chrono_literals;
using gateway::crash_report;
using gateway::prompt_parts;

constexpr core::steady_time start{1h};

/** Quarantine books of several nodes over one store, which each of them hears of at once. */
class quarantine_fleet {
public:
    explicit quarantine_fleet(std::size_t count)
    {
        for (std::size_t index = 0; index < count; ++index) {
            this->nodes.push_back(std::make_unique<node>());
            this->restart(index);
        }
    }

    void restart(std::size_t index)
    {
        node& target = *this->nodes[index];
        const std::string id = "n" + std::to_string(index);
        target.book = std::make_unique<gateway::quarantine_book>(gateway::quarantine_book_options{
            .node = id,
            .answered = target.answered,
            .publish = [&target](auto verdicts) { target.verdicts = *verdicts; },
            .write =
                [this, id](const Json::Value& report, platform::object_version expected,
                           const auto& on_done) {
                    on_done(this->store.hooks().put(gateway::crashes_prefix + id, report, expected));
                },
            .time = {.now = [this] { return core::wall_time(this->now.time_since_epoch()); },
                     .steady =
                         [this] {
                             return this->now;
                         }}});
        target.verdicts = {};
        this->deliver(index, true);
    }

    /** Lets tenths of a second pass, in which all reports are stored and heard of. */
    void settle(int tenths = 10)
    {
        for (int step = 0; step < tenths; ++step) {
            this->now += 100ms;
            for (std::size_t index = 0; index < this->nodes.size(); ++index) {
                this->nodes[index]->book->tick();
            }
            for (std::size_t index = 0; index < this->nodes.size(); ++index) {
                this->deliver(index, false);
            }
        }
    }

    /** Replaces all reports by none, as a copy of the store from before them has it. */
    void restore_empty_store()
    {
        this->store.forget(gateway::crashes_prefix);
        for (auto& target : this->nodes) {
            target->book->apply({.batch = {.revision = 1}, .is_full_list = true, .is_after_restore = true});
        }
    }

    /** Lets every node have answers to prompts that share no part with the tests' ones. */
    void answer_others()
    {
        for (auto& target : this->nodes) {
            for (int answer = 0; answer < 40; ++answer) {
                target->answered.add({"other-prompt"});
            }
        }
    }

    bool is_quarantined(std::size_t index, const std::string& part) const
    {
        return this->nodes[index]->verdicts.quarantined.contains(part);
    }

    struct node {
        gateway::answered_parts answered;
        std::unique_ptr<gateway::quarantine_book> book;
        gateway::part_verdicts verdicts;
    };

    testing::fake_object_store store;
    std::vector<std::unique_ptr<node>> nodes;
    core::steady_time now = start;

private:
    void deliver(std::size_t index, bool is_full_list)
    {
        auto batch = this->store.hooks().list(gateway::crashes_prefix);
        this->nodes[index]->book->apply({.batch = *batch, .is_full_list = is_full_list});
    }
};

std::string upstream(int index)
{
    return "u" + std::to_string(index) + "@1";
}

} // namespace

// Guards against requests of one kind that crash one upstream after the other: each node sees one crash only.
Test(quarantine, part_that_crashes_upstreams_is_refused_by_every_node)
{
    quarantine_fleet fleet(8);
    fleet.answer_others();
    for (int crash = 0; crash < 3; ++crash) {
        const std::string own = "thing-" + std::to_string(crash);
        fleet.nodes[crash]->book->record_crash(upstream(crash), {"shared", "deadly", own});
        for (auto& node : fleet.nodes) {
            node->answered.add({"shared"});
        }
    }
    fleet.settle();
    for (std::size_t index = 0; index < 8; ++index) {
        cr_assert(fleet.is_quarantined(index, "deadly"), "node %zu", index);
        cr_assert_not(fleet.is_quarantined(index, "shared"));
        cr_assert_not(fleet.is_quarantined(index, "thing-0"));
    }
    fleet.restart(7);
    cr_assert(fleet.is_quarantined(7, "deadly"), "a restarted node knows it from its first list");
    fleet.restart(0);
    fleet.nodes[0]->book->record_crash(upstream(9), {"other"});
    fleet.settle();
    cr_assert(fleet.is_quarantined(0, "deadly"), "the report of its earlier process is kept");
    cr_assert(fleet.is_quarantined(5, "deadly"));
}

// Guards against a deadly part whose requests are served again, since a copy of the store lacks the reports.
Test(quarantine, part_stays_refused_when_the_store_loses_the_reports)
{
    quarantine_fleet fleet(3);
    fleet.answer_others();
    for (int crash = 0; crash < 3; ++crash) {
        fleet.nodes[crash]->book->record_crash(upstream(crash), {"deadly"});
    }
    fleet.settle();
    fleet.restore_empty_store();
    for (std::size_t index = 0; index < 3; ++index) {
        cr_expect(fleet.is_quarantined(index, "deadly"), "node %zu", index);
    }
    fleet.settle();
    fleet.restart(1);
    cr_expect(fleet.is_quarantined(1, "deadly"), "the reports are stored again");
}

// Guards against a sound part that is refused because one node alone does not know that it was answered.
Test(quarantine, answer_at_any_node_clears_a_part)
{
    quarantine_fleet fleet(4);
    fleet.answer_others();
    for (int crash = 0; crash < 3; ++crash) {
        fleet.nodes[0]->book->record_crash(upstream(crash), {"rare"});
    }
    fleet.nodes[0]->book->tick();
    cr_assert(fleet.is_quarantined(0, "rare"));
    fleet.nodes[3]->answered.add({"rare"});
    fleet.settle();
    for (std::size_t index = 0; index < 4; ++index) {
        cr_assert_not(fleet.is_quarantined(index, "rare"));
    }
}

// Guards against crashes that are counted once for each node that saw them.
Test(quarantine, one_crash_seen_by_many_nodes_counts_once)
{
    quarantine_fleet fleet(8);
    fleet.answer_others();
    for (auto& node : fleet.nodes) {
        node->book->record_crash(upstream(1), {"popular"});
    }
    fleet.settle();
    cr_assert_not(fleet.is_quarantined(0, "popular"));
}

// Guards against a quarantine that no operator can lift, and that lasts for ever.
Test(quarantine, removed_reports_and_time_lift_a_quarantine)
{
    for (const bool is_removed : {true, false}) {
        quarantine_fleet fleet(3);
        fleet.answer_others();
        for (int crash = 0; crash < 3; ++crash) {
            fleet.nodes[crash]->book->record_crash(upstream(crash), {"deadly"});
        }
        fleet.settle();
        cr_assert(fleet.is_quarantined(1, "deadly"));
        if (is_removed) {
            for (int index = 0; index < 3; ++index) {
                for (auto& node : fleet.nodes) {
                    platform::object removed{.key = gateway::crashes_prefix + "n" + std::to_string(index)};
                    node->book->apply({.batch = {.revision = 100, .changed = {removed}}});
                }
            }
            fleet.nodes[1]->book->tick();
        }
        else {
            fleet.now += 11min;
            for (auto& node : fleet.nodes) {
                node->book->tick();
            }
        }
        cr_assert_not(fleet.is_quarantined(1, "deadly"));
    }
}

// Guards against sound parts that are refused after upstreams were lost for other reasons, in a series of
// losses that hit many requests in flight.
Test(quarantine, losses_of_upstreams_condemn_no_sound_part)
{
    for (const int in_flight : {2, 8}) {
        std::mt19937 random(7);
        std::vector<double> weights;
        for (int index = 1; index <= 500; ++index) {
            weights.push_back(1 / std::pow(index, 0.3));
        }
        std::discrete_distribution<int> prompt(weights.begin(), weights.end());
        const auto draw = [&prompt, &random] {
            return prompt_parts{"system", "thing-" + std::to_string(prompt(random))};
        };
        int condemned = 0;
        constexpr int days = 20;
        for (int day = 0; day < days; ++day) {
            quarantine_fleet fleet(3);
            std::set<std::string> refused;
            for (int request = 0; request < 3000; ++request) {
                // Of 3,000 requests in about 30 s, 60 losses of an upstream hit those in flight there.
                if (request % 50 == 0) {
                    for (int hit = 0; hit < in_flight; ++hit) {
                        fleet.nodes[random() % 3]->book->record_crash(upstream(request), draw());
                    }
                    fleet.settle(3);
                    for (const auto& [part, crashes] : fleet.nodes[0]->verdicts.quarantined) {
                        refused.insert(part);
                    }
                    continue;
                }
                fleet.nodes[random() % 3]->answered.add(draw());
            }
            condemned += static_cast<int>(refused.size());
        }
        std::printf("%d in flight: sound parts quarantined: %d in %d days\n", in_flight, condemned, days);
        cr_expect_eq(condemned, 0, "%d in flight", in_flight);
    }
}

// Guards against a part that is taken for sound for ever because it was answered before it became deadly.
Test(quarantine, part_that_becomes_deadly_is_refused)
{
    quarantine_fleet fleet(3);
    for (auto& node : fleet.nodes) {
        node->answered.add({"late"});
    }
    for (int crash = 0; crash < 5; ++crash) {
        fleet.answer_others();
        fleet.nodes[static_cast<std::size_t>(crash % 3)]->book->record_crash(upstream(crash), {"late"});
        fleet.settle();
    }
    cr_assert(fleet.is_quarantined(1, "late"));
}

// Guards against a part that every prompt has and that is refused when upstreams crash before the first
// answer.
Test(quarantine, part_of_every_prompt_is_not_refused_before_the_first_answers)
{
    quarantine_fleet fleet(3);
    for (int crash = 0; crash < 4; ++crash) {
        for (auto& node : fleet.nodes) {
            node->book->record_crash(upstream(crash), {"system", "deadly"});
            node->book->record_crash(upstream(crash), {"system"});
        }
    }
    fleet.settle();
    cr_assert_not(fleet.is_quarantined(0, "system"));
    for (int answer = 0; answer < 40; ++answer) {
        fleet.nodes[2]->answered.add({"system"});
    }
    fleet.settle();
    cr_assert_not(fleet.is_quarantined(0, "system"));
    cr_assert(fleet.is_quarantined(0, "deadly"));
}

// Guards against a guilty part that a part explains away which was in flight beside it.
Test(quarantine, rare_deadly_part_beside_a_common_one_is_refused)
{
    quarantine_fleet fleet(3);
    fleet.answer_others();
    for (int crash = 0; crash < 20; ++crash) {
        fleet.nodes[0]->book->record_crash(upstream(crash), {"common", "system"});
        fleet.nodes[0]->answered.add({"system"});
        fleet.answer_others();
        fleet.settle();
    }
    for (int crash = 20; crash < 25; ++crash) {
        fleet.nodes[1]->book->record_crash(upstream(crash), {"rare", "system"});
    }
    fleet.settle();
    cr_assert(fleet.is_quarantined(2, "common"));
    cr_assert(fleet.is_quarantined(2, "rare"));
    cr_assert_not(fleet.is_quarantined(2, "system"));
}

// Guards against exceptions and unbounded memory on damaged reports.
Test(quarantine, damaged_reports_never_throw)
{
    for (const char* text :
         {"[]", "5", R"({"crashes":5})", R"({"crashes":[5,{"id":3}],"answered":{"a":1}})",
          R"({"crashes":[{"id":"x","prompts":"y"}]})",
          R"({"crashes":[{"id":"x","parts":["a",5,{"b":1}]}],"answered":[1],"unanswered":{}})",
          R"({"acquitted":[1],"crashes":[]})", R"({"acquitted":{"a":5,"b":[1,"c"]}})"}) {
        const auto report = gateway::crash_report_from_json(*core::parse_json(text));
        if (report) {
            static_cast<void>(gateway::judge_parts({{"n", *report}}));
        }
    }
    crash_report report;
    for (int index = 0; index < 5000; ++index) {
        report.add(upstream(index), prompt_parts(100, std::string(100, 'x')), core::wall_time(1h));
    }
    cr_assert_leq(report.crashes.size(), 64U);
}
